package proxy

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/front/fleet"
)

// Guards against a request that ends one upstream after the other: what one front has seen ends with the attempt, and the next one begins at nothing.
func TestRequestThatEndsUpstreams(t *testing.T) {
	const limit = 3
	cases := map[string]struct {
		path     string
		header   map[string]string
		response string // of an upstream before it ends
		attempts int
		sends    int
		most     int // upstreams that may end
	}{
		"resumable stream, events":    {"/resume/", map[string]string{"Program": "p", "Budget": "9000"}, chunked + event1, 2, 3, limit},
		"resumable stream, no events": {"/resume/", map[string]string{"Program": "p", "Budget": "9000"}, chunked, 2, 3, limit},
		"resumable stream, no header": {"/resume/", map[string]string{"Program": "p", "Budget": "9000"}, "", 2, 3, limit},
		"stream":                      {"/stream/", map[string]string{"Program": "p", "Budget": "9000"}, chunked + event1, 2, 3, limit},
		"stored turn":                 {"/keep/", map[string]string{"Program": "p", "Budget": "9000"}, chunked + event1, 2, 3, limit},
		"without a budget":            {"/resume/", map[string]string{"Program": "p"}, chunked + event1, 2, 3, limit},
		"safe call":                   {"/safe/x", map[string]string{"Program": "p"}, "", 2, 1, limit},
		"safe call, half an answer":   {"/safe/x", nil, "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 9\r\n\r\ngood", 2, 1, limit},
		"unsafe call":                 {"/unsafe/x", map[string]string{"Program": "p"}, "", 1, 1, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				responses := make([][]string, 12)
				for i := range responses {
					responses[i] = []string{ok}
				}
				env := newTestEnv(responses...)
				fronts := []*testEnv{env, env.another(), env.another()}
				for _, u := range env.upstreams {
					u.endsOn, u.endsAfter = "poison", c.response
				}
				call := caller{fronts: fronts, path: c.path, header: c.header, body: "poison", attempts: c.attempts, sends: c.sends}
				_, complete := call.call(t)
				is.True(!complete)
				is.True(env.ended() <= c.most)
				for _, f := range fronts {
					f.close()
				}
			})
		})
	}
}

// Guards against a request that is refused for what others did: it only was there when upstreams ended, or its upstream lost an answer and goes on.
func TestInnocentRequestGoesOn(t *testing.T) {
	budget := map[string]string{"Program": "p", "Budget": "9000"}
	cases := map[string]struct {
		path   string
		header map[string]string
		ends   []string // upstreams that have ended under earlier attempts of the request
		broken int      // earlier runs that broke off at upstreams that went on
	}{
		"stream, a third ended":         {"/resume/", budget, []string{"up1", "up2"}, 0},
		"turn, a third ended":           {"/keep/", budget, []string{"up1", "up2"}, 0},
		"no budget, a third ended":      {"/resume/", map[string]string{"Program": "p"}, []string{"up1", "up2"}, 0},
		"one upstream loses answers":    {"/resume/", budget, nil, 5},
		"one ended, answers lost":       {"/resume/", budget, []string{"up1"}, 3},
		"the same start counted twice":  {"/resume/", budget, []string{"up1", "up1", "up2"}, 0},
		"safe call, two ended":          {"/safe/", map[string]string{"Program": "p"}, []string{"up1", "up2"}, 0},
		"unsafe call of another caller": {"/unsafe/", map[string]string{"Program": "p"}, []string{"up1", "up2"}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				response := completeStream
				if strings.HasPrefix(c.path, "/safe") || strings.HasPrefix(c.path, "/unsafe") {
					response = ok
				}
				responses := make([][]string, 6)
				for i := range responses {
					responses[i] = []string{response}
				}
				env := newTestEnv(responses...)
				defer env.close()
				env.recordEarlierRuns(t, c.path, c.header, c.ends, c.broken)
				for _, id := range c.ends {
					env.upstreams[id].end()
				}
				rec, aborted := env.do(t.Context(), c.path, c.header, "in")
				is.True(!aborted)
				is.Equal(rec.Code, 200)
			})
		})
	}
}

// Guards against an upstream that ended under an attempt whose front lost its power with it, and that nobody counts.
func TestFrontLostWithTheRun(t *testing.T) {
	cases := map[string]struct {
		ends   []string
		others int // like requests under way
		status int
	}{
		"two ended, one more was under way":  {[]string{"up1", "up2"}, 1, 502},
		"one ended, one more was under way":  {[]string{"up1"}, 1, 200},
		"one ended, many like it under way":  {[]string{"up1"}, 9, 200},
		"nothing ended, many like it so far": {nil, 9, 200},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv([]string{completeStream})
				defer env.close()
				header := map[string]string{"Program": "p", "Budget": "9000"}
				env.recordEarlierRuns(t, "/resume/", header, c.ends, 0)
				for i := range c.others {
					rec := index.Record{Program: "p", Attempt: fmt.Sprint("lost", i), Reserved: true, MaxTokens: 30, Run: &index.Run{Request: env.key(t, "/resume/", "p", "in")}}
					_, err := env.rec.Write(t.Context(), rec)
					is.NoErr(err)
				}
				rec, _ := env.do(t.Context(), "/resume/", header, "in")
				is.Equal(rec.Code, c.status)
			})
		})
	}
}

// Guards against a front that sends on what other fronts know to end upstreams.
func TestKnownToEndUpstreams(t *testing.T) {
	cases := map[string]struct {
		path   string
		ends   []string
		broken int
		status int
		sends  int
	}{
		"three ended":                         {"/resume/", []string{"up1", "up2", "up3"}, 0, 502, 0},
		"two ended, two broke off":            {"/resume/", []string{"up1", "up2"}, 2, 502, 0},
		"six broke off":                       {"/resume/", nil, 6, 502, 0},
		"a turn that is stored":               {"/keep/", []string{"up1", "up2", "up3"}, 0, 502, 0},
		"two ended":                           {"/resume/", []string{"up1", "up2"}, 0, 200, 1},
		"an upstream that started four times": {"/resume/", []string{"up1:1", "up1:2", "up1:3"}, 0, 502, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv([]string{completeStream})
				defer env.close()
				header := map[string]string{"Program": "p", "Budget": "9000"}
				env.recordEarlierRuns(t, c.path, header, c.ends, c.broken)
				rec, _ := env.do(t.Context(), c.path, header, "in")
				is.Equal(rec.Code, c.status)
				is.Equal(rec.Header().Get("Again"), "") // it would be refused again
				is.Equal(len(env.upstreams["up1"].requests()), c.sends)
				is.Equal(strings.Contains(rec.Body.String(), "upstreams_ended"), c.status != 200)
				rec, _ = env.do(t.Context(), c.path, header, "another turn of the program")
				is.Equal(rec.Code, 200) // only the request itself is refused
				synctest.Wait()
				is.Equal(env.rec.shares["r1"].Tokens, 6) // a refused turn is not charged
			})
		})
	}
}

// Guards against a front without records that sends a request to one upstream after the other, and against one that sends on nothing.
func TestEndsThatCannotBeRecorded(t *testing.T) {
	cases := map[string]struct {
		poison bool // it ends each upstream, else one
		alone  bool // other fronts are lost, too, in the first run
		ends   int
	}{
		"ends each upstream":        {true, false, 3},
		"one upstream ends":         {false, false, 1},
		"ends each, nobody is told": {true, true, 1},
		"one ends, nobody is told":  {false, true, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				responses := make([][]string, 6)
				for i := range responses {
					responses[i] = []string{chunked + event2 + end}
				}
				env := newTestEnv(responses...)
				defer env.close()
				for range 4 {
					env.another()
				}
				var runs atomic.Int64
				for _, u := range env.upstreams {
					u.respond = func(http.Header) (string, bool) {
						env.cut.Store(c.alone)
						if runs.Add(1) == 1 || c.poison {
							return chunked + event1, true
						}
						return chunked + event2 + end, false
					}
				}
				env.rec.down = true
				_, aborted := env.do(t.Context(), "/resume/", map[string]string{"Program": "p"}, "in")
				is.Equal(aborted, c.poison || c.alone)
				is.Equal(env.ended(), c.ends)
			})
		})
	}
}

// Guards against upstreams that lose answers and go on, and are taken for ones that ended.
func TestLostAnswersAreNoEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv([]string{closing, closing, closing, completeStream})
		defer env.close()
		header := map[string]string{"Program": "p", "Budget": "9000"}
		for i := range 3 {
			header["Id"] = fmt.Sprint("r", i)
			rec, _ := env.do(t.Context(), "/resume/", header, "in")
			is.Equal(rec.Code, 502)
		}
		header["Id"] = "r3"
		rec, _ := env.do(t.Context(), "/resume/", header, "in")
		is.Equal(rec.Code, 200)
		for _, r := range env.rec.runs.Runs("p", env.key(t, "/resume/", "p", "in"), "") {
			is.Equal(len(r.Ended), 0)
		}
	})
}

// Guards against a front that knows of two ends from the records, loses them, and counts only its own.
func TestRecordsLostInTheMiddle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(slices.Repeat([][]string{{ok}}, 6)...)
		defer env.close()
		header := map[string]string{"Program": "p", "Budget": "9000"}
		env.recordEarlierRuns(t, "/resume/", header, []string{"x1", "x2"}, 0)
		for _, u := range env.upstreams {
			u.endsOn, u.endsAfter = "in", chunked+event1
			u.onRequest = func() {
				env.rec.mu.Lock()
				defer env.rec.mu.Unlock()
				env.rec.down = true
			}
		}
		_, aborted := env.do(t.Context(), "/resume/", header, "in")
		is.True(aborted)
		is.Equal(env.ended(), 1)
	})
}

// Guards against an upstream that starts again under its id while a request ends it again and again: it is another start each time.
func TestUpstreamThatRestartsUnderItsID(t *testing.T) {
	cases := map[string]struct {
		told    bool // the store tells at once
		downFor int  // connections that are refused before
		ends    int
	}{
		"the store tells":                    {true, 0, 3},
		"it is seen to be down":              {false, 1, 3},
		"nothing shows it":                   {false, 0, 3},
		"the store tells, and it is seen so": {true, 1, 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv([]string{completeStream})
				other := env.another()
				u := env.upstreams["up1"]
				u.endsOn, u.endsAfter, u.downFor = "poison", chunked+event1, c.downFor
				ends := 0
				u.restart = func() {
					ends++
					if c.told {
						env.changeUpstreams(func(up *fleet.Upstream) { up.Born = int64(ends) })
					}
				}
				call := caller{fronts: []*testEnv{env, other}, path: "/resume/", header: map[string]string{"Program": "p", "Budget": "9000"}, body: "poison", attempts: 2, sends: 3}
				_, complete := call.call(t)
				env.close()
				other.close()
				is.True(!complete)
				is.Equal(ends, c.ends)
			})
		})
	}
}

// Guards against a front that goes on at once with a request that ended its upstream, and stops before it has told: the next front would begin at nothing.
func TestEndIsRecordedBeforeTheRequestIsSentOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv([]string{ok}, []string{ok}, []string{ok})
		for _, u := range env.upstreams {
			u.endsOn, u.endsAfter = "poison", chunked+event1
		}
		known := []int{}
		for _, u := range env.upstreams {
			u.onRequest = func() {
				env.rec.mu.Lock()
				defer env.rec.mu.Unlock()
				n := 0
				for _, r := range env.rec.runs.Runs("p", env.key(t, "/resume/", "p", "poison"), "") {
					n += len(r.Ended)
				}
				known = append(known, n)
			}
		}
		_, aborted := env.do(t.Context(), "/resume/", map[string]string{"Program": "p", "Budget": "9000"}, "poison")
		is.True(aborted)
		is.Equal(known, []int{0, 1, 2})
		env.close()
	})
}

// Guards against a request whose caller left, or did not take its events, and that is taken for one that breaks off at upstreams.
func TestCallersThatLeaveEndNoUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv([]string{chunked + event1 + "HANG"})
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, aborted := env.do(ctx, "/resume/", map[string]string{"Program": "p", "Budget": "9000"}, "in")
		is.True(aborted)
		synctest.Wait()
		for _, r := range env.rec.runs.Runs("p", env.key(t, "/resume/", "p", "in"), "") {
			is.Equal(len(r.Ended)+len(r.Broken), 0)
		}
		is.Equal(len(env.upstreams["up1"].requests()), 1)
		env.close()
	})
}

// Guards against an upstream that passes for ended because it closed an idle connection, as it does after its idle timeout, when a run broke off.
func TestIdleConnectionsThatCloseAreNoEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv([]string{chunked + event1 + strings.Repeat("PAUSE", 12) + "CLOSE"})
		u := env.upstreams["up1"]
		var runs atomic.Int64
		u.onRequest = func() {
			if runs.Add(1) > 1 { // the first has no further connection
				time.AfterFunc(time.Second, u.closeNewest)
			}
		}
		header := map[string]string{"Program": "p", "Budget": "9000"}
		for i := range 2 {
			header["Id"] = fmt.Sprint("r", i)
			_, aborted := env.do(t.Context(), "/resume/", header, "in")
			is.True(aborted)
		}
		env.close()
		time.Sleep(time.Second) // until all is recorded
		env.rec.mu.Lock()
		defer env.rec.mu.Unlock()
		broken := 0
		for _, r := range env.rec.runs.Runs("p", env.key(t, "/resume/", "p", "in"), "") {
			is.Equal(len(r.Ended), 0)
			broken += len(r.Broken)
		}
		is.True(broken >= 2)
	})
}
