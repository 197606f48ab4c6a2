package proxy

import (
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/front/fleet"
)

const noAnswer = "\x16\x03\x01 this is no response\r\n\r\n"

// lateEnd is a way in which an upstream ends because of a request.
type lateEnd struct {
	response string        // what it sends before
	in       time.Duration // until it ends; 0 for at once
	patience time.Duration // until the caller leaves; 0 for never
}

// lateEnds are ways that the moment in which the answer fails does not show.
var lateEnds = map[string]lateEnd{
	"no answer, at once":              {noAnswer, 0, 0},
	"no answer, 0.15 s later":         {noAnswer + "CLOSE", 150 * time.Millisecond, 0},
	"no answer, 1 s later":            {noAnswer + "CLOSE", time.Second, 0},
	"no answer and silent":            {noAnswer + "HANG", time.Second, 0},
	"broken off, 0.15 s later":        {"CLOSE", 150 * time.Millisecond, 0},
	"broken off, 1 s later":           {"CLOSE", time.Second, 0},
	"in the middle, 1 s later":        {chunked + event1 + "CLOSE", time.Second, 0},
	"in the middle, then no answer":   {chunked + event1 + noAnswer + "CLOSE", time.Second, 0},
	"failure, 0.15 s later":           {upstream500, 150 * time.Millisecond, 0},
	"failure, 1 s later":              {upstream500, time.Second, 0},
	"silent for 2.5 s, caller leaves": {"HANG", 2500 * time.Millisecond, 2 * time.Second},
	"silent, caller leaves early":     {"HANG", time.Second, 300 * time.Millisecond},
	"silent until the time is up":     {"HANG", 2500 * time.Millisecond, 0},
}

// playLateEnds has a caller send a request that ends all upstreams that run it, and returns how many ended.
func playLateEnds(t *testing.T, e lateEnd, c caller, delistedAfter time.Duration, prepare func(*testEnv)) (ended int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		responses := make([][]string, 12)
		for i := range responses {
			responses[i] = []string{ok}
		}
		env := newTestEnv(responses...)
		c.fronts = []*testEnv{env}
		for range c.attempts*c.sends - 1 {
			c.fronts = append(c.fronts, env.another()) // each attempt is the first at its front
		}
		for _, u := range env.upstreams {
			u.endsOn, u.endsAfter, u.endsIn = "poison", e.response, e.in
		}
		if delistedAfter > 0 {
			env.delistWhenEnded(delistedAfter)
		}
		if prepare != nil {
			prepare(env)
		}
		c.body, c.patience, c.pause = "poison", e.patience, 100*time.Millisecond
		c.call(t)
		time.Sleep(5 * time.Second) // for those that end later
		ended = env.ended()
		for _, f := range c.fronts {
			f.close()
		}
	})
	return ended
}

// Guards against a request that goes on to further upstreams, since those that it ended did so only after its answer had failed.
func TestUpstreamsThatEndLater(t *testing.T) {
	budget := map[string]string{"Program": "p", "Budget": "9000"}
	callers := map[string]caller{
		"resumable turn": {path: "/resume/", header: budget, attempts: 2, sends: 3},
		"turn":           {path: "/stream/", header: budget, attempts: 2, sends: 3},
		"stored turn":    {path: "/keep/", header: budget, attempts: 2, sends: 3},
		"no budget":      {path: "/resume/", header: map[string]string{"Program": "p"}, attempts: 2, sends: 3},
	}
	for kind, c := range callers {
		for name, e := range lateEnds {
			for delisted, after := range map[string]time.Duration{"": 0, ", delisted": 700 * time.Millisecond} {
				t.Run(kind+", "+name+delisted, func(t *testing.T) {
					is := is.New(t)
					for range 4 { // the choice of upstreams is random
						is.True(playLateEnds(t, e, c, after, nil) <= 3)
					}
				})
			}
		}
	}
}

// Guards against an innocent request that is refused, or goes nowhere, since its upstreams failed or its callers left.
func TestInnocentRequestGoesOnAfterFailures(t *testing.T) {
	cases := map[string]struct {
		tried  []string      // upstreams that an earlier attempt was sent to without a whole good answer
		left   []string      // upstreams that have left since
		ago    time.Duration // since that attempt
		served []string      // where the next attempt may run; empty for anywhere
	}{
		"two failed":                      {[]string{"up1", "up2"}, nil, 0, nil},
		"two failed and left":             {[]string{"up1", "up2"}, []string{"up1", "up2"}, 0, []string{"up3", "up4", "up5", "up6"}},
		"three failed and go on":          {[]string{"up1", "up2", "up3"}, nil, 0, []string{"up1", "up2", "up3"}},
		"three failed, two left":          {[]string{"up1", "up2", "up3"}, []string{"up1", "up3"}, 0, []string{"up2"}},
		"three failed, all left long ago": {[]string{"up1", "up2", "up3"}, []string{"up1", "up2", "up3"}, triedSpan + time.Second, []string{"up4", "up5", "up6"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv(slices.Repeat([][]string{{completeStream}}, 6)...)
				defer env.close()
				header := map[string]string{"Program": "p", "Budget": "9000"}
				env.recordTried(t, "/resume/", header, c.tried...)
				for end := time.Now().Add(c.ago); time.Now().Before(end); time.Sleep(time.Second) {
					env.changeUpstreams(func(*fleet.Upstream) {}) // the store is read all the while
				}
				for _, id := range c.left {
					env.delist(id)
				}
				rec, aborted := env.do(t.Context(), "/resume/", header, "in")
				is.True(!aborted)
				is.Equal(rec.Code, 200)
				for id, u := range env.upstreams {
					is.True(len(u.requests()) == 0 || len(c.served) == 0 || slices.Contains(c.served, id))
				}
			})
		})
	}
}

// Guards against a request that is taken for what ended a whole failure domain, where it only was at one of the upstreams.
func TestDomainThatEndsAtOnce(t *testing.T) {
	for _, path := range []string{"/resume/", "/safe/"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				response := map[string]string{"/resume/": completeStream, "/safe/": ok}[path]
				env := newTestEnv(slices.Repeat([][]string{{response}}, 9)...)
				defer env.close()
				for range 30 { // so that connections to all of them are open
					env.do(t.Context(), path, nil, "warm up")
				}
				var domain sync.Once
				for i := range 9 {
					env.upstreams[fmt.Sprint("up", i+1)].onRequest = func() {
						domain.Do(func() {
							var down []*fakeUpstream
							for n := range 4 {
								down = append(down, env.upstreams[fmt.Sprint("up", (i+n)%9+1)])
							}
							endTogether(down)
						})
					}
				}
				call := caller{fronts: []*testEnv{env}, path: path, header: map[string]string{"Program": "p", "Budget": "9000"}, body: "in", attempts: 2, sends: 1}
				log := logTo(env)
				status, complete := call.call(t)
				if !complete {
					t.Log(log.String())
				}
				is.Equal(env.ended(), 4)
				is.True(complete)
				is.Equal(status, 200)
			})
		})
	}
}

// lateAndEarlyEnds are all ways in which an upstream may end because of a request.
func lateAndEarlyEnds() map[string]lateEnd {
	ends := maps.Clone(lateEnds)
	ends["at once"] = lateEnd{}
	ends["in the middle, at once"] = lateEnd{response: chunked + event1}
	ends["half an answer, at once"] = lateEnd{response: "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 9\r\n\r\ngood"}
	return ends
}

// Guards against a call that ends one upstream after the other: it asks for nothing before its first run, so no attempt knows of those before.
func TestCallsThatEndUpstreams(t *testing.T) {
	for kind, c := range map[string]caller{
		"two attempts":           {path: "/safe/", attempts: 2, sends: 1},
		"three attempts":         {path: "/safe/", attempts: 3, sends: 1},
		"six, call of a program": {path: "/safe/", header: map[string]string{"Program": "p"}, attempts: 6, sends: 1},
	} {
		for name, e := range lateAndEarlyEnds() {
			for delisted, after := range map[string]time.Duration{"": 0, ", delisted": 700 * time.Millisecond} {
				t.Run(kind+", "+name+delisted, func(t *testing.T) {
					is := is.New(t)
					for range 4 { // the choice of upstreams is random
						is.True(playLateEnds(t, e, c, after, nil) <= 3)
					}
				})
			}
		}
	}
}

// Guards against fronts that take records that can't be read for nothing known, and each send a request on.
func TestUpstreamsThatEndWhileRecordsAreAway(t *testing.T) {
	callers := map[string]caller{
		"resumable turn, no budget": {path: "/resume/", header: map[string]string{"Program": "p"}, attempts: 2, sends: 3},
		"turn, no budget":           {path: "/stream/", header: map[string]string{"Program": "p"}, attempts: 2, sends: 3},
		"resumable turn":            {path: "/resume/", header: map[string]string{"Program": "p", "Budget": "9000"}, attempts: 2, sends: 3},
		"safe call":                 {path: "/safe/", attempts: 3, sends: 1},
	}
	records := map[string]func(*testEnv){
		"away": func(env *testEnv) { env.rec.down = true },
		"lost in the first run": func(env *testEnv) {
			for _, u := range env.upstreams {
				u.onRequest = func() { env.rec.setDown(true) }
			}
		},
		"away for a second": func(env *testEnv) {
			env.rec.down = true
			time.AfterFunc(time.Second, func() { env.rec.setDown(false) })
		},
		"slow":      func(env *testEnv) { env.rec.delay = 300 * time.Millisecond },
		"very slow": func(env *testEnv) { env.rec.delay = 700 * time.Millisecond },
	}
	for kind, c := range callers {
		for name, e := range lateAndEarlyEnds() {
			for how, prepare := range records {
				t.Run(kind+", "+name+", records "+how, func(t *testing.T) {
					is := is.New(t)
					for range 4 {
						is.True(playLateEnds(t, e, c, 700*time.Millisecond, prepare) <= 3)
					}
				})
			}
		}
	}
}

// Guards against an innocent call that is refused since its upstreams are gone, and against one that is sent on although nobody can tell where it ran.
func TestCallWhoseUpstreamsAreGone(t *testing.T) {
	cases := map[string]struct {
		ends   []string // upstreams that have ended under earlier attempts
		down   bool     // the records
		cut    bool     // the front, from the others
		status int
		code   string // of a refusal
	}{
		"innocent":                         {nil, false, false, 200, ""},
		"two ended under it":               {[]string{"x1", "x2"}, false, false, 200, ""},
		"three ended under it":             {[]string{"x1", "x2", "x3"}, false, false, 502, "upstreams_ended"},
		"records can't be reached":         {nil, true, false, 200, ""},
		"two ended, no records":            {[]string{"x1", "x2"}, true, false, 200, ""},
		"three ended, no records":          {[]string{"x1", "x2", "x3"}, true, false, 502, "upstreams_ended"},
		"other fronts can't be reached":    {nil, false, true, 200, ""},
		"two ended, no fronts":             {[]string{"x1", "x2"}, false, true, 200, ""},
		"three ended, no fronts":           {[]string{"x1", "x2", "x3"}, false, true, 502, "upstreams_ended"},
		"neither records nor other fronts": {nil, true, true, 503, "runs_unknown"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv(slices.Repeat([][]string{{ok}}, 9)...)
				defer env.close()
				for range 4 {
					env.another()
				}
				env.recordEarlierRuns(t, "/safe/", nil, c.ends, 0)
				for _, id := range []string{"up1", "up2", "up3"} {
					env.upstreams[id].end()
				}
				env.rec.setDown(c.down)
				env.cut.Store(c.cut)
				rec, _ := env.do(t.Context(), "/safe/", nil, "in")
				is.Equal(rec.Code, c.status)
				is.True(strings.Contains(rec.Body.String(), c.code))
				is.Equal(rec.Header().Get("Again") != "", c.status == 503)
				rec, _ = env.do(t.Context(), "/unsafe/", map[string]string{"Id": "r2"}, "in")
				is.Equal(rec.Code, 200) // no caller repeats it after a failure, so it is not counted
			})
		})
	}
}

// Guards against runs that are lost although their attempt is settled: the settlement brings those that could not be recorded before.
func TestRunsAreSettledWithTheTurn(t *testing.T) {
	for name, e := range lateAndEarlyEnds() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := caller{path: "/resume/", header: map[string]string{"Program": "p", "Budget": "9000"}, attempts: 2, sends: 3}
			is.True(playLateEnds(t, e, c, 700*time.Millisecond, func(env *testEnv) { env.rec.failRuns = true }) <= 3)
		})
	}
}

// Guards against records that answer questions and take no writes, and are taken for ones that know of no runs.
func TestRunsThatCannotBeWritten(t *testing.T) {
	callers := map[string]caller{
		"turn, no budget": {path: "/resume/", header: map[string]string{"Program": "p"}, attempts: 2, sends: 3},
		"safe call":       {path: "/safe/", attempts: 3, sends: 1},
	}
	for kind, c := range callers {
		for name, e := range lateAndEarlyEnds() {
			t.Run(kind+", "+name, func(t *testing.T) {
				is := is.New(t)
				is.True(playLateEnds(t, e, c, 700*time.Millisecond, func(env *testEnv) { env.rec.failRuns = true }) <= 3)
			})
		}
	}
}

// Guards against requests that harm nothing and are refused while records take no writes.
func TestInnocentRequestsWhileRunsCannotBeWritten(t *testing.T) {
	const requests = 300
	for path, response := range map[string]string{"/safe/": ok, "/resume/": completeStream} {
		for gone := range 7 { // of twelve upstreams
			t.Run(fmt.Sprint(path, gone), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					env := newTestEnv(slices.Repeat([][]string{{response}}, 12)...)
					defer env.close()
					env.rec.failRuns, env.rec.refused = true, true
					for n := range gone {
						env.upstreams[fmt.Sprint("up", n+1)].end()
						env.delist(fmt.Sprint("up", n+1))
					}
					for i := range requests {
						rec, _ := env.do(t.Context(), path, map[string]string{"Id": fmt.Sprint("r", i), "Program": fmt.Sprint("p", i)}, fmt.Sprint("in ", i))
						is.Equal(rec.Code, http.StatusOK)
					}
				})
			})
		}
	}
}

// Guards against a request that forgets which upstreams ended under it, since the records do not know.
func TestOwnRunsOutliveAnswersWithoutThem(t *testing.T) {
	for name, refused := range map[string]bool{"not recorded yet": false, "refused": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv([]string{ok})
				defer env.close()
				env.rec.refused = refused
				r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/safe/", nil)
				q := request{e: env.e, r: r, view: env.e.Fleet.View(), began: time.Now()}
				q.ID = "r1"
				start := index.Start{ID: "up1"}
				q.own, q.seen = q.own.With(start), q.seen.With(start)
				q.queryRuns(t.Context(), runsTimeout, "", false)
				is.True(q.seen.Has(start))
				is.Equal(q.asked, !refused)
			})
		})
	}
}
