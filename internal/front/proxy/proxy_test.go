package proxy

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/index"
)

const (
	ok             = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 4\r\n\r\ngood"
	full           = "HTTP/1.1 503 Full\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	wrongInstance  = "HTTP/1.1 421 Other\r\nId: ID\r\nUnsigned: 1\r\nContent-Length: 0\r\n\r\n"
	own421         = "HTTP/1.1 421 Own\r\nId: ID\r\nContent-Length: 0\r\n\r\n"
	upstream503    = "HTTP/1.1 503 Broken\r\nId: ID\r\nContent-Length: 0\r\n\r\n"
	upstream500    = "HTTP/1.1 500 Broken\r\nId: ID\r\nContent-Length: 3\r\n\r\nbad"
	wrongID        = "HTTP/1.1 200 OK\r\nId: another\r\nContent-Length: 4\r\n\r\nevil"
	truncated      = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 9\r\n\r\ngoodCLOSE"
	notHTTP        = "SSH-2.0-x\r\n\r\nCLOSE"
	silent         = "HANG"
	closing        = "CLOSE"
	streamHead     = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Type: text/event-stream\r\n"
	chunked        = streamHead + "Transfer-Encoding: chunked\r\n\r\n"
	event1         = "d\r\nid:1\ndata:a\n\n\r\n"
	event2         = "d\r\nid:2\ndata:b\n\n\r\n"
	event3         = "d\r\nid:3\ndata:c\n\n\r\n"
	end            = "0\r\n\r\n"
	partialEvent   = "6\r\nid:2\nd\r\n"
	completeStream = chunked + event1 + event2 + end
	text12         = "id:1\ndata:a\n\nid:2\ndata:b\n\n"
	unframed       = streamHead + "\r\nid:1\ndata:a\n\nCLOSE"
)

// An upstream refuses, closes the connection, sends a wrong response or none. The
// response to the caller must be correct about what ran: "not run" only if nothing did,
// and never another request's response or part of one.
func TestBuffered(t *testing.T) {
	cases := map[string]struct {
		path   string
		first  []string // responses of the upstream that is tried first
		second []string
		status int
		code   string
		sends  [2]int
	}{
		"safe, whole":                             {"/safe/", []string{ok}, []string{ok}, 200, "", [2]int{1, 0}},
		"safe, full":                              {"/safe/", []string{full}, []string{ok}, 200, "", [2]int{1, 1}},
		"safe, all full":                          {"/safe/", []string{full}, []string{full}, 503, "upstreams_full", [2]int{1, 1}},
		"safe, broken off":                        {"/safe/", []string{truncated}, []string{ok}, 200, "", [2]int{1, 1}},
		"safe, closed":                            {"/safe/", []string{closing}, []string{ok}, 200, "", [2]int{1, 1}},
		"safe, both closed":                       {"/safe/", []string{closing}, []string{closing}, 502, "answer_lost", [2]int{1, 1}},
		"safe, another's answer":                  {"/safe/", []string{wrongID}, []string{ok}, 200, "", [2]int{1, 1}},
		"safe, no HTTP":                           {"/safe/", []string{notHTTP}, []string{ok}, 200, "", [2]int{1, 1}},
		"safe, own failure":                       {"/safe/", []string{upstream500}, []string{ok}, 500, "", [2]int{1, 0}},
		"unsafe, whole":                           {"/unsafe/", []string{ok}, []string{ok}, 200, "", [2]int{1, 0}},
		"unsafe, full":                            {"/unsafe/", []string{full}, []string{ok}, 200, "", [2]int{1, 1}},
		"unsafe, another instance":                {"/unsafe/", []string{wrongInstance}, []string{ok}, 200, "", [2]int{1, 1}},
		"unsafe, broken off":                      {"/unsafe/", []string{truncated}, []string{ok}, 502, "answer_lost", [2]int{1, 0}},
		"unsafe, closed":                          {"/unsafe/", []string{closing}, []string{ok}, 502, "answer_lost", [2]int{1, 0}},
		"unsafe, another's answer":                {"/unsafe/", []string{wrongID}, []string{ok}, 504, "timeout", [2]int{1, 0}},
		"unsafe, another's answer, then closed":   {"/unsafe/", []string{wrongID + closing}, []string{ok}, 502, "answer_lost", [2]int{1, 0}},
		"unsafe, 503 that doesn't say not run":    {"/unsafe/", []string{upstream503}, []string{ok}, 502, "upstream_failed", [2]int{1, 0}},
		"unsafe, 421 of the application":          {"/unsafe/", []string{own421}, []string{ok}, 502, "upstream_failed", [2]int{1, 0}},
		"unsafe, silent":                          {"/unsafe/", []string{silent}, []string{ok}, 504, "timeout", [2]int{1, 0}},
		"unsafe, silent beyond the route's time":  {"/short/", []string{silent}, []string{ok}, 504, "timeout", [2]int{1, 0}},
		"no upstream at all":                      {"/nowhere/", []string{ok}, []string{ok}, 503, "no_upstream", [2]int{0, 0}},
		"no route":                                {"/other/", []string{ok}, []string{ok}, 404, "no_route", [2]int{0, 0}},
		"unsafe, full, then broken off elsewhere": {"/unsafe/", []string{full}, []string{closing}, 502, "answer_lost", [2]int{1, 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv(c.first, c.second)
				env.setLoad("up2", 1) // so that up1 is tried first
				began := time.Now()
				rec, aborted := env.do(t.Context(), c.path+"x?y=1", nil, "body")
				is.True(!aborted)
				is.Equal(rec.Code, c.status)
				is.True(strings.Contains(rec.Body.String(), c.code))
				is.Equal(rec.Header().Get("Again") != "", c.status == 503) // "not run" comes with a Retry-After time
				is.Equal([2]int{len(env.upstreams["up1"].requests()), len(env.upstreams["up2"].requests())}, c.sends)
				for _, g := range env.upstreams["up1"].requests() {
					is.Equal(g.method+g.target+g.body, "POST"+c.path+"x?y=1body") // unchanged
					is.Equal(g.header.Get("Instance"), "up1")
				}
				if c.path == "/short/" {
					is.Equal(time.Since(began), time.Second)
				}
				env.close()
			})
		})
	}
}

// An engine responds to every turn with an error, at once. Since it never has turns in
// progress, it looks idle. It must not attract all further turns while other engines are
// healthy.
func TestEngineThatFailsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv([]string{upstream500}, []string{completeStream})
		env.setLoad("up2", 2) // so that up1 is tried first
		h := map[string]string{"Program": "p", "Budget": "1000"}
		rec, _ := env.do(t.Context(), "/keep/", h, "in")
		is.Equal(rec.Code, 500) // the engine's own response
		for range 3 {
			rec, _ = env.do(t.Context(), "/keep/", h, "in")
			is.Equal(rec.Code, 200)
		}
		is.Equal(len(env.upstreams["up1"].requests()), 1)
		env.close()
	})
}

// setLoad sets the load that other daemons report for an upstream, in units of 4 requests,
// the batch of the last upstream.
func (env *testEnv) setLoad(id string, n int) {
	env.e.Picker.PeersUpdated(map[string]int{id: n * 4}, 1)
}

func TestUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv([]string{ok}, []string{ok})
		env.upstreams["up1"].refuse = true
		rec, _ := env.do(t.Context(), "/unsafe/x", nil, "")
		is.Equal(rec.Code, 200) // nothing was sent to the unreachable one
		env.upstreams["up2"].refuse = true
		env.close()
		rec, _ = env.do(t.Context(), "/unsafe/x", nil, "")
		is.Equal(rec.Code, 503)
		is.True(strings.Contains(rec.Body.String(), `"ran":"no"`))
	})
}

func TestBadRequests(t *testing.T) {
	cases := map[string]struct {
		id, body string
		status   int
	}{
		"no id":     {"", "", 400},
		"too large": {"r", strings.Repeat("x", 101), 413},
		"at most":   {"r", strings.Repeat("x", 100), 200},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv([]string{ok})
				rec, _ := env.do(t.Context(), "/unsafe/x", map[string]string{"Id": c.id}, c.body)
				is.New(t).Equal(rec.Code, c.status)
				env.close()
			})
		})
	}
}

// A daemon that has just started has no configuration. It must not respond that a route
// does not exist.
func TestNoConfiguration(t *testing.T) {
	is := is.New(t)
	env := newTestEnv()
	env.e.Fleet = newEmptyFleet()
	rec, _ := env.do(t.Context(), "/safe/x", nil, "")
	is.Equal(rec.Code, 503)
	is.True(rec.Header().Get("Again") != "")
}

func TestStream(t *testing.T) {
	cases := map[string]struct {
		path      string
		responses []string
		status    int
		body      string
		aborted   bool
		sends     int
		tokens    int // charged to the budget
	}{
		"whole":                      {"/stream/", []string{completeStream}, 200, text12, false, 1, 6},
		"ended by its connection":    {"/stream/", []string{unframed}, 200, "id:1\ndata:a\n\n", false, 1, 3},
		"broken off":                 {"/stream/", []string{chunked + event1 + "CLOSE"}, 200, "id:1\ndata:a\n\n", true, 1, 3},
		"broken off within an event": {"/stream/", []string{chunked + event1 + partialEvent + "CLOSE"}, 200, "id:1\ndata:a\n\n", true, 1, 3},
		"cut by its length":          {"/stream/", []string{chunked + event1 + partialEvent + end}, 200, "id:1\ndata:a\n\n", true, 1, 3},
		"silent":                     {"/stream/", []string{chunked + event1 + "HANG"}, 200, "id:1\ndata:a\n\n", true, 1, 3},
		"never began":                {"/stream/", []string{closing}, 502, "answer_lost", false, 1, 0},
		"full":                       {"/stream/", []string{full}, 503, "upstreams_full", false, 1, 0},
		"own failure":                {"/stream/", []string{upstream500}, 500, "bad", false, 1, 0},
		"resumed":                    {"/resume/", []string{chunked + event1 + partialEvent + "CLOSE", chunked + event2 + end}, 200, text12, false, 2, 6},
		"resumed twice":              {"/resume/", []string{chunked + event1 + "CLOSE", chunked + event2 + "CLOSE", chunked + event3 + end}, 200, text12 + "id:3\ndata:c\n\n", false, 3, 9},
		"not resumed for ever":       {"/resume/", []string{chunked + event1 + "CLOSE", chunked + "CLOSE"}, 200, "id:1\ndata:a\n\n", true, 3, 3},
		"kept":                       {"/keep/", []string{completeStream}, 200, text12, false, 1, 6},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv(c.responses)
				rec, aborted := env.do(t.Context(), c.path, map[string]string{"Program": "p", "Budget": "100"}, "in")
				is.Equal(aborted, c.aborted)
				is.Equal(rec.Code, c.status)
				is.True(strings.Contains(rec.Body.String(), c.body))
				is.Equal(len(env.upstreams["up1"].requests()), c.sends)
				synctest.Wait()
				share := env.rec.shares["r1"]
				is.Equal(share.Upstream != "", c.tokens > 0) // where the program's prompt is cached
				is.True(share.Request != 0)                  // kept when it is settled
				is.Equal(share.Front, env.e.Runs.Front())    // likewise
				share.Upstream, share.At, share.Request, share.Front = "", 0, 0, ""
				is.Equal(share, index.Charge{Attempt: "r1", Tokens: c.tokens, Settled: true})
				for i, g := range env.upstreams["up1"].requests()[1:] {
					is.Equal(g.header.Get("Last"), fmt.Sprint(i+1)) // resumes after the last event
					if name == "not resumed for ever" {
						break
					}
				}
				env.close()
			})
		})
	}
}

// A stream is interrupted and resumed. The route allows only one upstream to run it, so
// it must be resumed there although that one has just failed; another one may run it only
// if the first is gone.
func TestResumeStaysWhereItRan(t *testing.T) {
	cases := map[string]struct {
		second string // response of the first upstream to the second send
		gone   bool
		sends  [2]int
	}{
		"at once":          {chunked + event2 + end, false, [2]int{2, 0}},
		"when it has room": {full, false, [2]int{3, 0}},
		"elsewhere":        {"", true, [2]int{1, 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv([]string{chunked + event1 + "CLOSE", c.second, chunked + event2 + end}, []string{chunked + event2 + end})
				env.setLoad("up2", 2)
				env.upstreams["up1"].refuseNext = c.gone
				rec, aborted := env.do(t.Context(), "/resume/", map[string]string{"Program": "x"}, "in")
				is.True(!aborted)
				is.Equal(rec.Body.String(), text12)
				is.Equal([2]int{len(env.upstreams["up1"].requests()), len(env.upstreams["up2"].requests())}, c.sends)
				env.close()
			})
		})
	}
}

// A turn continues others. The upstream must get the input and output of all earlier
// turns, in order, and the next turn must find this one.
func TestStoredTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv([]string{completeStream})
		_, aborted := env.do(t.Context(), "/keep/", map[string]string{"Id": "t1"}, "one;")
		is.True(!aborted)
		_, aborted = env.do(t.Context(), "/keep/", map[string]string{"Id": "t2", "Previous": "t1"}, "two;")
		is.True(!aborted)
		_, aborted = env.do(t.Context(), "/keep/", map[string]string{"Id": "t3", "Previous": "t2"}, "three;")
		is.True(!aborted)
		reqs := env.upstreams["up1"].requests()
		is.Equal(reqs[1].body, "one;a\nb\ntwo;")
		is.Equal(reqs[2].body, "one;a\nb\ntwo;a\nb\nthree;")
		rec, _ := env.do(t.Context(), "/keep/", map[string]string{"Id": "t4", "Previous": "t0"}, "x")
		is.Equal(rec.Code, 404)
		is.Equal(len(env.upstreams["up1"].requests()), 3)
		env.close()
	})
}

// Records cannot be written or read. A turn whose record is not durable must not look
// complete, since the next one could not continue it; one whose tokens cannot be reserved
// must not run.
func TestRecordsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv([]string{completeStream})
		env.rec.down = true
		rec, _ := env.do(t.Context(), "/keep/", map[string]string{"Previous": "t1"}, "x")
		is.Equal(rec.Code, 503) // not 404: it is unknown whether the turn exists
		rec, _ = env.do(t.Context(), "/stream/", map[string]string{"Program": "p", "Budget": "100"}, "x")
		is.Equal(rec.Code, 503)
		is.Equal(len(env.upstreams["up1"].requests()), 0)
		_, aborted := env.do(t.Context(), "/keep/", nil, "x")
		is.True(aborted)
		env.close()
	})
}

// A looping program uses up its budget turn by turn. The turn that might exceed it must
// be refused before it runs.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv([]string{completeStream})
		status := []int{}
		for i := range 4 {
			rec, _ := env.do(t.Context(), "/stream/", map[string]string{"Id": fmt.Sprint("t", i), "Program": "p", "Budget": "44"}, "x")
			status = append(status, rec.Code)
			synctest.Wait()
		}
		is.Equal(status, []int{200, 200, 200, 402}) // 6 tokens each; one more might take 30
		is.Equal(len(env.upstreams["up1"].requests()), 3)
		is.Equal(env.rec.shares["t3"].Tokens, 0) // a refused turn is not charged
		env.close()
	})
}

// A caller disconnects in the middle of a stream. The upstream's connection must be
// closed at once, so that it stops.
func TestCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv([]string{chunked + event1 + "HANG"})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(300*time.Millisecond, cancel)
		began := time.Now()
		_, aborted := env.do(ctx, "/stream/", nil, "x")
		is.True(aborted)
		env.conns.Wait() // the upstream has seen the close
		is.Equal(time.Since(began), 300*time.Millisecond)
	})
}

// An upstream sends a second, unsolicited response on a connection. The next request must
// not get it.
func TestExtraResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv([]string{ok + strings.ReplaceAll(wrongID, "another", "r2"), ok})
		rec, _ := env.do(t.Context(), "/unsafe/x", nil, "")
		is.Equal(rec.Body.String(), "good")
		rec, _ = env.do(t.Context(), "/unsafe/x", map[string]string{"Id": "r2"}, "")
		is.Equal(rec.Body.String(), "good")
		env.close()
	})
}

// A daemon that can't read the store does not know the newest routes and keys; a caller that is told 404 or 401 for good does not come back.
func TestMissingInAnOldConfiguration(t *testing.T) {
	cases := map[string]struct {
		path, key string
		current   bool
		status    int
	}{
		"no route, current": {"/other/", "secret-a", true, 404},
		"no route, old":     {"/other/", "secret-a", false, 503},
		"no key, current":   {"/safe/", "secret-c", true, 401},
		"no key, old":       {"/safe/", "secret-c", false, 503},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv([]string{ok})
				defer env.close()
				env.startWithAccounts()
				env.e.Refresh = func(context.Context) bool { return c.current }
				rec, _ := env.do(t.Context(), c.path, map[string]string{"Key": c.key}, "")
				is.Equal(rec.Code, c.status)
				is.Equal(rec.Header().Get("Again") != "", !c.current)
			})
		})
	}
}

// Guards against callers that wait for the records of a front which is cut off, although other
// fronts could serve them at once.
func TestRetryElsewhereAtOnce(t *testing.T) {
	cases := map[string]struct {
		othersServe func() bool
		after       time.Duration
	}{
		"others serve":     {func() bool { return true }, retryElsewhere},
		"others don't":     {func() bool { return false }, retryNoQuorum},
		"nothing is known": {nil, retryNoQuorum},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv([]string{completeStream})
			defer env.close()
			env.rec.down = true
			env.e.OthersServe = c.othersServe
			rec, _ := env.do(t.Context(), "/keep/", map[string]string{"Previous": "t1"}, "x")
			is.Equal(rec.Code, 503)
			is.Equal(rec.Header().Get("Again"), c.after.String())
		})
	}
}
