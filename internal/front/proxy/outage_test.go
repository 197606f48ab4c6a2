package proxy

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// recordOutages are ways in which the records don't tell what other attempts of a request have done.
func recordOutages() map[string]func(*testEnv) {
	outages := map[string]func(*testEnv){
		"away": func(env *testEnv) { env.rec.setDown(true) },
		"away for the first 0.3 s": func(env *testEnv) {
			env.rec.setDown(true)
			time.AfterFunc(300*time.Millisecond, func() { env.rec.setDown(false) })
		},
		"away every other 0.15 s": func(env *testEnv) {
			for i := range 60 {
				time.AfterFunc(time.Duration(i)*150*time.Millisecond, func() { env.rec.setDown(i%2 == 0) })
			}
		},
		"refuse writes": func(env *testEnv) { env.rec.failRuns = true },
	}
	for _, delay := range []time.Duration{50, 100, 200, 400, 700} {
		outages[fmt.Sprint("take ", int(delay), " ms")] = func(env *testEnv) { env.rec.delay = delay * time.Millisecond }
	}
	return outages
}

// tallyEnds counts plays of a test with more than three ends.
type tallyEnds struct{ over, most, all int }

func (n *tallyEnds) add(t *testing.T, ended int) {
	t.Helper()
	n.all++
	n.most = max(n.most, ended)
	if ended > 3 {
		n.over++
	}
	is.New(t).True(ended <= 3)
}

// Guards against records that don't answer in time and are taken for ones that know of no runs, while upstreams end and start again under their ids.
func TestUpstreamsThatStartAgainWhileRecordsDoNotAnswer(t *testing.T) {
	for how, prepare := range recordOutages() {
		for kind, c := range restartCallers() {
			var n tallyEnds
			for way, e := range lateAndEarlyEnds() {
				for _, refused := range []int{0, 2} {
					for _, known := range []time.Duration{100 * time.Millisecond, 1900 * time.Millisecond, 4 * time.Second} {
						t.Run(fmt.Sprint("records ", how, ", ", kind, ", ", way, ", refuses ", refused, ", known after ", known), func(t *testing.T) {
							n.add(t, playRestarts(t, e, c, restarts{refused, known, 17, false}, func(env *testEnv) {
								readsStore(env)
								prepare(env)
							}))
						})
					}
				}
			}
			t.Logf("records %s, %s: %d of %d cases over three ends, %d at most", how, kind, n.over, n.all, n.most)
		}
	}
}

// Guards against the same where upstreams end for good: what one source knows of an attempt is unknown to the one that the next attempt asks.
func TestUpstreamsThatEndWhileRecordsDoNotAnswer(t *testing.T) {
	for how, prepare := range recordOutages() {
		for kind, c := range restartCallers() {
			var n tallyEnds
			for way, e := range lateAndEarlyEnds() {
				for delisted, after := range map[string]time.Duration{"": 0, ", delisted": 700 * time.Millisecond, ", delisted late": 4 * time.Second} {
					t.Run(fmt.Sprint("records ", how, ", ", kind, ", ", way, delisted), func(t *testing.T) {
						n.add(t, playLateEnds(t, e, c, after, prepare))
					})
				}
			}
			t.Logf("records %s, %s: %d of %d cases over three ends, %d at most", how, kind, n.over, n.all, n.most)
		}
	}
}

// frontTroubles are ways in which other fronts don't tell what other attempts of a request have done.
func frontTroubles() map[string]func(*testEnv) {
	byTurns := func(env *testEnv, each time.Duration, do func(i int, front *testEnv)) {
		fronts := env.fronts()
		for i := range 60 {
			time.AfterFunc(time.Duration(i)*each, func() { do(i, fronts[i%len(fronts)]) })
		}
	}
	return map[string]func(*testEnv){
		"start again by turns": func(env *testEnv) {
			byTurns(env, 120*time.Millisecond, func(_ int, front *testEnv) { front.forgetRuns() })
		},
		"all start again": func(env *testEnv) {
			byTurns(env, 350*time.Millisecond, func(int, *testEnv) {
				for _, front := range env.fronts() {
					front.forgetRuns()
				}
			})
		},
		"are cut off by turns": func(env *testEnv) {
			byTurns(env, 130*time.Millisecond, func(i int, front *testEnv) { front.cut.Store(i/len(env.fronts())%2 == 0) })
		},
		"are all cut off": func(env *testEnv) {
			for _, front := range env.fronts() {
				front.cut.Store(true)
			}
		},
		"are all cut off for a while": func(env *testEnv) {
			for _, front := range env.fronts() {
				front.cut.Store(true)
				time.AfterFunc(300*time.Millisecond, func() { front.cut.Store(false) })
			}
		},
	}
}

// Guards against fronts that have forgotten what they were told, or don't reach each other, and are taken for ones that know of no runs.
func TestUpstreamsThatStartAgainWhileFrontsDoNotAnswer(t *testing.T) {
	records := recordOutages()
	for _, how := range []string{"take 50 ms", "take 200 ms", "away", "away for the first 0.3 s"} {
		for trouble, harm := range frontTroubles() {
			for kind, c := range restartCallers() {
				var n tallyEnds
				for way, e := range lateAndEarlyEnds() {
					t.Run(fmt.Sprint("fronts ", trouble, ", records ", how, ", ", kind, ", ", way), func(t *testing.T) {
						n.add(t, playRestarts(t, e, c, restarts{0, 1900 * time.Millisecond, 17, false}, func(env *testEnv) {
							readsStore(env)
							records[how](env)
							harm(env)
						}))
					})
				}
				t.Logf("fronts %s, records %s, %s: %d of %d cases over three ends, %d at most", trouble, how, kind, n.over, n.all, n.most)
			}
		}
	}
}

// playLostFronts has a request end each upstream that runs it while so many fronts are lost one after another, each with its first run, and then some more attempts at others.
func playLostFronts(t *testing.T, c caller, lost int, restart, all bool) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(slices.Repeat([][]string{{ok}}, 8)...)
		fronts := []*testEnv{env}
		for range lost + 3 {
			fronts = append(fronts, env.another())
		}
		var ends atomic.Int64
		for _, u := range env.upstreams {
			u.endsOn, u.endsAfter = "poison", chunked+event1
			u.ended = func() { ends.Add(1) }
			if restart {
				u.restart = func() {}
			}
		}
		for i := range lost {
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			for _, u := range env.upstreams {
				u.onRequest = func() {
					fronts[i].losePower()
					leave()
				}
			}
			header := map[string]string{"Id": fmt.Sprint("lost", i)}
			for k, v := range c.header {
				header[k] = v
			}
			fronts[i].do(ctx, c.path, header, "poison")
			time.Sleep(100 * time.Millisecond)
			for _, front := range fronts {
				if all {
					front.forgetRuns()
				}
			}
		}
		for _, u := range env.upstreams {
			u.onRequest = nil
		}
		c.fronts, c.body, c.attempts, c.sends, c.pause = fronts[lost:], "poison", 4, 1, 100*time.Millisecond
		c.call(t)
		time.Sleep(settleTimeout)
		closeAll(fronts)
		is.True(ends.Load() <= 3)
	})
}

// Guards against first runs that nobody counts, since their fronts lost their power with them one after another.
func TestFrontsLostWithFirstRuns(t *testing.T) {
	budget := map[string]string{"Program": "p", "Budget": "9000"}
	cases := map[string]struct {
		caller

		all bool // with each of them all others start again
	}{
		"call":                         {caller{path: "/safe/"}, false},
		"turn":                         {caller{path: "/resume/", header: budget}, false},
		"turn, no budget":              {caller{path: "/resume/", header: map[string]string{"Program": "p"}}, false},
		"stored turn":                  {caller{path: "/keep/", header: budget}, false},
		"turn, all fronts lost":        {caller{path: "/resume/", header: budget}, true},
		"stored turn, all fronts lost": {caller{path: "/keep/", header: budget}, true},
	}
	for name, c := range cases {
		for _, restart := range []bool{false, true} {
			for lost := 1; lost <= 3; lost++ {
				t.Run(fmt.Sprint(name, ", starts again ", restart, ", fronts lost ", lost), func(t *testing.T) {
					playLostFronts(t, c.caller, lost, restart, c.all)
				})
			}
		}
	}
}

// Guards against the same where all fronts that keep the runs are lost with each of them, and nothing is durable before a first run.
func TestAllFrontsLostWithFirstRuns(t *testing.T) {
	cases := map[string]caller{
		"call":            {path: "/safe/"},
		"turn, no budget": {path: "/resume/", header: map[string]string{"Program": "p"}},
	}
	for name, c := range cases {
		for lost := 1; lost <= 3; lost++ {
			t.Run(fmt.Sprint(name, ", times ", lost), func(t *testing.T) { playLostFronts(t, c, lost, false, true) })
		}
	}
}
