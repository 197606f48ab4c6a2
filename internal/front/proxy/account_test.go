package proxy

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/slaterock/slaterock/internal/conf/accnt"
	"github.com/slaterock/slaterock/internal/conf/route"
	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/front/bucket"
	"github.com/slaterock/slaterock/internal/front/fleet"
)

func accounts(cafeKeys ...string) *accnt.Accounts {
	list := []accnt.Account{{Name: "cafe", Rate: 1, Burst: 3, HasPriority: true, Priority: 4}, {Name: "bar", Keys: []accnt.Digest{accnt.DigestOf("secret-b")}}}
	for _, key := range cafeKeys {
		list[0].Keys = append(list[0].Keys, accnt.DigestOf(key))
	}
	a, err := accnt.New(list)
	if err != nil {
		panic(err)
	}
	return a
}

// configure activates a configuration with accounts.
func (env *testEnv) configure(version int64, a *accnt.Accounts) {
	v := env.e.Fleet.View()
	t := route.New(version, routes, []route.Service{{Name: "s", EventTokens: 3}}, route.Limits{BodyBytes: 100})
	t.Accounts = a
	env.e.Fleet.Update(time.Now(), fleet.Snapshot{Revision: uint64(version), Table: t, Upstreams: v.Listed.List()})
}

// startWithAccounts configures accounts and lets the limiter run until it grants their
// whole limits.
func (env *testEnv) startWithAccounts() {
	env.configure(2, accounts("secret-a"))
	env.syncLimits(10)
}

// syncLimits updates the limiter n times, half a second apart, as a daemon without peers.
func (env *testEnv) syncLimits(n int) {
	for range n {
		env.e.Limiter.Update(time.Now(), env.e.Fleet.View().Table.Accounts, bucket.PeerUsage{Fronts: 1, Total: 1})
		time.Sleep(500 * time.Millisecond)
	}
}

func TestKeys(t *testing.T) {
	cases := map[string]struct {
		path, key string
		status    int
		account   string // in the upstream's request header; empty for none
	}{
		"known":                       {"/safe/", "secret-a", 200, "cafe"},
		"another account's":           {"/safe/", "secret-b", 200, "bar"},
		"unknown":                     {"/safe/", "secret-c", 401, ""},
		"none":                        {"/safe/", "", 401, ""},
		"none, on an open route":      {"/open/", "", 200, ""},
		"unknown, on an open route":   {"/open/", "secret-c", 200, ""},
		"none, and no route":          {"/other/", "", 404, ""},
		"unknown, for what never ran": {"/keep/", "secret-c", 401, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv([]string{ok})
				defer env.close()
				env.startWithAccounts()
				var log strings.Builder
				env.e.Log = zerolog.New(&log)
				rec, _ := env.do(t.Context(), c.path, map[string]string{"Key": c.key, "Account": "forged"}, "")
				is.True(strings.Contains(log.String(), `"request":"r1"`))
				is.True(c.key == "" || !strings.Contains(log.String()+rec.Body.String(), c.key))
				is.Equal(rec.Code, c.status)
				got := env.upstreams["up1"].requests()
				is.Equal(len(got) == 1, c.status == 200)
				for _, g := range got {
					is.Equal(g.header.Get("Account"), c.account)
					is.Equal(g.header.Get("Key"), "")
				}
			})
		})
	}
}

// A key is revoked while a request that it authenticated is queued. The request must not
// run.
func TestKeyRevokedWhileQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv([]string{completeStream})
		defer env.close()
		env.startWithAccounts()
		env.setLoad("up1", 3)
		timer := time.AfterFunc(100*time.Millisecond, func() {
			env.configure(4, accounts("another"))
			env.setLoad("up1", 0)
			env.e.PeersUpdated()
		})
		defer timer.Stop()
		rec, _ := env.do(t.Context(), "/keep/", map[string]string{"Key": "secret-a", "Program": "p", "Budget": "100", "Finish": "1s"}, "in")
		is.Equal(rec.Code, 401)
		is.Equal(len(env.upstreams["up1"].requests()), 0)
	})
}

// A turn of another account must look like one that does not exist: otherwise a caller
// could read another account's conversation by continuing a turn whose id it knows.
func TestTurnsBelongToAnAccount(t *testing.T) {
	cases := map[string]struct {
		key    string
		status int
	}{
		"its own":           {"secret-a", 200},
		"another account's": {"secret-b", 404},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv([]string{completeStream})
				defer env.close()
				env.startWithAccounts()
				rec, _ := env.do(t.Context(), "/keep/", map[string]string{"Id": "r0", "Key": "secret-a"}, "first")
				is.Equal(rec.Code, 200)
				rec, _ = env.do(t.Context(), "/keep/", map[string]string{"Key": c.key, "Previous": "r0"}, "next")
				is.Equal(rec.Code, c.status)
				synctest.Wait()
				if got := env.upstreams["up1"].requests(); c.status == 200 {
					is.Equal(got[1].body, "firsta\nb\nnext")
					is.Equal(got[1].header.Get("Rank"), "4") // the account's priority
				} else {
					is.Equal(len(got), 1)
				}
			})
		})
	}
}

// Turns that were recorded before accounts were configured can still be continued.
func TestTurnsFromBeforeAccounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv([]string{completeStream})
		defer env.close()
		env.rec.turns["r0"] = index.Turn{Input: []byte("old")}
		env.startWithAccounts()
		rec, _ := env.do(t.Context(), "/keep/", map[string]string{"Key": "secret-a", "Previous": "r0"}, "in")
		is.Equal(rec.Code, 200)
		rec, _ = env.do(t.Context(), "/keep/", map[string]string{"Id": "r2", "Key": "secret-a", "Previous": "r1"}, "in")
		is.Equal(rec.Code, 200)
		is.Equal(env.upstreams["up1"].requests()[1].body, "oldina\nb\nin")
	})
}

// Requests over an account's limit are refused before they run, while another account's
// requests are served.
func TestOverTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv([]string{ok})
		defer env.close()
		env.startWithAccounts()
		served, refused := 0, 0
		for range 20 {
			rec, _ := env.do(t.Context(), "/safe/", map[string]string{"Key": "secret-a"}, "")
			switch rec.Code {
			case 200:
				served++
			case 429:
				refused++
				is.True(rec.Header().Get("Again") != "")
			}
			rec, _ = env.do(t.Context(), "/safe/", map[string]string{"Key": "secret-b"}, "")
			is.Equal(rec.Code, 200)
		}
		is.True(served >= 1 && served <= 3) // the burst
		is.Equal(served+refused, 20)
		is.Equal(len(env.upstreams["up1"].requests()), served+20) // refused requests did not run
		env.syncLimits(4)
		rec, _ := env.do(t.Context(), "/safe/", map[string]string{"Key": "secret-a"}, "")
		is.Equal(rec.Code, 200)
	})
}

// A request that no upstream ran must not be charged to its account's limit.
func TestRequestsNotRunAreNotCharged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv([]string{full})
		defer env.close()
		env.startWithAccounts()
		for range 10 {
			rec, _ := env.do(t.Context(), "/safe/", map[string]string{"Key": "secret-a"}, "")
			is.Equal(rec.Code, 503)
		}
		is.Equal(len(env.e.Limiter.Used(time.Now())), 0)
	})
}

// A program's first turn is broken off, and no upstream resumes it. The program has begun: only
// the send that was refused may be returned, else more programs begin than the limit can finish.
func TestBrokenOffProgramHasBegun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv([]string{chunked + event1 + "CLOSE", full})
		defer env.close()
		env.startWithAccounts()
		_, aborted := env.do(t.Context(), "/resume/", map[string]string{"Key": "secret-a", "Program": "p", "Budget": "100", "Finish": "5s"}, "")
		is.True(aborted)
		is.True(env.e.Limiter.Programs(time.Now())["cafe"] > 0.5)
	})
}

// A key that is new makes the front read a newer version; the request must then take that version's route too, not be run by the service that the route left.
func TestNewKeyGoesToNewRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv([]string{ok}, []string{ok})
		defer env.close()
		env.startWithAccounts()
		env.e.Refresh = func(context.Context) bool {
			moved := []route.Route{{Name: "safe", Host: "h", Prefix: "/safe/", Kind: route.Safe, Attempts: 1, Backends: []route.Backend{{Service: "moved"}}}}
			table := route.New(3, moved, []route.Service{{Name: "moved"}}, route.Limits{})
			table.Accounts = accounts("secret-a", "secret-new")
			env.e.Fleet.Update(time.Now(), fleet.Snapshot{Revision: 3, Table: table, Upstreams: []fleet.Upstream{
				{ID: "up1", Service: "s", Address: "up1", Batch: 4}, {ID: "up2", Service: "moved", Address: "up2", Batch: 4},
			}})
			return true
		}
		rec, _ := env.do(t.Context(), "/safe/", map[string]string{"Key": "secret-new"}, "")
		is.Equal(rec.Code, 200)
		is.Equal(len(env.upstreams["up1"].requests()), 0)
		is.Equal(len(env.upstreams["up2"].requests()), 1)
	})
}

// A caller that comes while its account's limit is used up waits for a token as long as a
// response is useful, and is refused before anything ran if there is none in time.
func TestWaitsForLimit(t *testing.T) {
	cases := map[string]struct {
		path   string
		header map[string]string
		rate   float64
		begun  time.Duration // since the program began; 0 for a new one
		status int
		least  time.Duration
		most   time.Duration
		class  string
	}{
		"plain call":              {"/safe/", nil, 2, 0, 200, 400 * time.Millisecond, 900 * time.Millisecond, "begun"},
		"plain call, no token":    {"/safe/", nil, 0.2, 0, 429, 0, 0, "begun"},
		"begun":                   {"/keep/", map[string]string{"Finish": "1s"}, 2, time.Second, 200, 400 * time.Millisecond, 900 * time.Millisecond, "begun"},
		"begun, late":             {"/keep/", map[string]string{"Finish": "-1s"}, 2, time.Second, 200, 400 * time.Millisecond, 900 * time.Millisecond, "begun"},
		"begun, not to end":       {"/keep/", map[string]string{"Finish": "300ms"}, 2, time.Second, 429, 0, 300 * time.Millisecond, "begun"},
		"begun, no token in 1.5s": {"/keep/", map[string]string{"Finish": "1m"}, 0.5, time.Second, 429, 0, 0, ""},
		"new":                     {"/keep/", map[string]string{"Finish": "6s"}, 2, 0, 200, 400 * time.Millisecond, 1200 * time.Millisecond, "new"},
		"new, too late to start":  {"/keep/", map[string]string{"Finish": "1s"}, 2, 0, 429, 0, 200 * time.Millisecond, "new"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv([]string{completeStream})
				if !strings.HasPrefix(c.path, "/keep/") {
					env = newTestEnv([]string{ok})
				}
				defer env.close()
				env.useUp(t, c.rate)
				var log strings.Builder
				env.e.Log = zerolog.New(&log)
				if c.begun > 0 {
					id := env.e.scopedTestID("cafe", "r0")
					env.rec.shares[id] = index.Charge{Attempt: id, Settled: true, Tokens: 9, At: time.Now().Add(-c.begun).UnixMilli()}
				}
				h := map[string]string{"Key": "secret-a", "Program": "p", "Budget": "1000"}
				for k, v := range c.header {
					h[k] = v
				}
				began := time.Now()
				rec, _ := env.do(t.Context(), c.path, h, "")
				took := time.Since(began)
				is.Equal(rec.Code, c.status)
				is.True(took >= c.least && took <= c.most)
				is.Equal(len(env.upstreams["up1"].requests()) == 1, c.status == 200)
				is.Equal(rec.Header().Get("Again") != "", c.status == 429)
				is.Equal(strings.Contains(log.String(), `"limit_wait":"`+c.class+`"`), c.class != "")
				synctest.Wait()
				is.True(c.status == 200 || env.rec.shares[env.e.scopedTestID("cafe", "r1")].Tokens == 0)
			})
		})
	}
}

// The time that a program waited for its limit must not count as time that it is allowed: its
// latest start would move on while it waits.
func TestLatestStartAfterLimitWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv([]string{completeStream})
		defer env.close()
		env.useUp(t, 2)
		env.setLoad("up1", 3)
		began := time.Now()
		rec, _ := env.do(t.Context(), "/keep/", map[string]string{"Key": "secret-a", "Program": "p", "Budget": "100", "Finish": "5s"}, "")
		is.Equal(rec.Code, 503)
		is.Equal(time.Since(began), time.Second) // a fifth of five seconds
	})
}

// useUp configures an account whose limit is used up.
func (env *testEnv) useUp(t *testing.T, rate float64) {
	t.Helper()
	a, err := accnt.New([]accnt.Account{{Name: "cafe", Rate: rate, Burst: 5, Keys: []accnt.Digest{accnt.DigestOf("secret-a")}}})
	is.New(t).NoErr(err)
	env.configure(2, a)
	env.syncLimits(10)
	env.e.Limiter.Update(time.Now(), a, bucket.PeerUsage{Fronts: 1, Total: 1})
	env.e.Limiter.Drain(time.Now())
}

// scopedTestID returns an id as used in the records of an account.
func (e *Endpoint) scopedTestID(account, id string) string { return "\x00" + account + "\x00" + id }

// A caller that disconnects while it waits for the limit must free its place at once, also on a
// route whose runs are not aborted, and nothing must run.
func TestLeavesWhileItWaitsForLimit(t *testing.T) {
	for _, path := range []string{"/safe/", "/unsafe/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv([]string{ok})
				defer env.close()
				env.useUp(t, 1.2)
				ctx, cancel := context.WithCancel(t.Context())
				timer := time.AfterFunc(100*time.Millisecond, cancel)
				defer timer.Stop()
				began := time.Now()
				env.do(ctx, path, map[string]string{"Key": "secret-a"}, "")
				is.Equal(time.Since(began), 100*time.Millisecond)
				is.Equal(len(env.e.Limiter.Demand(time.Now()).Waiting), 0)
				is.Equal(len(env.e.Limiter.Used(time.Now())), 0)
				is.Equal(len(env.upstreams["up1"].requests()), 0)
			})
		})
	}
}

// Without accounts, and for an account without a limit, no request may wait or be refused, and
// nothing may be reported or logged about limits, however many requests come.
func TestNoLimitNoWait(t *testing.T) {
	for name, key := range map[string]string{"no accounts": "", "no limit": "secret-b"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv([]string{ok})
				defer env.close()
				if key != "" {
					env.startWithAccounts()
				}
				var log strings.Builder
				env.e.Log = zerolog.New(&log)
				began := time.Now()
				for range 100 {
					rec, _ := env.do(t.Context(), "/safe/", map[string]string{"Key": key}, "")
					is.Equal(rec.Code, 200)
				}
				is.Equal(time.Since(began), time.Duration(0))
				is.True(!strings.Contains(log.String(), "limit_"))
				d := env.e.Limiter.Demand(time.Now())
				is.Equal(len(d.Waiting)+len(d.Begun), 0)
			})
		})
	}
}
