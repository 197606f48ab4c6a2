package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/plat/engine"
)

// runLoad simulates ten minutes of load on a group with four slots. In each
// tick, every account submits as many requests as rate returns; each request
// runs for a second. It returns the number of requests served by account.
func runLoad(rate func(account int, rng *rand.Rand) int, accounts int, edit func(account int, a *Submit)) map[int]int {
	var s Sched
	f := fleet(2)
	f.Groups["engines"] = file.Group{Kind: file.Engines, QueueLimit: 60, QueueWait: 20 * time.Second, MaxInflight: 2}
	now := epoch
	s.Step(now, Configure{File: f})
	rng := rand.New(rand.NewPCG(1, 1))
	type run struct {
		id, up  string
		account int
		end     time.Time
	}
	var running []run
	served, owner, n := map[int]int{}, map[string]int{}, 0
	track := func(effects []Effect) {
		for _, e := range effects {
			if a, ok := e.(Assign); ok {
				running = append(running, run{a.ID, a.Upstream, owner[a.ID], now.Add(time.Second)})
			}
		}
	}
	for now.Sub(epoch) < 10*time.Minute {
		for _, account := range rng.Perm(accounts) {
			for range rate(account, rng) {
				n++
				a := submit(fmt.Sprint(n))
				a.Account = fmt.Sprint(account)
				if edit != nil {
					edit(account, &a)
				}
				owner[a.ID] = account
				track(s.Step(now, a))
			}
		}
		now = now.Add(100 * time.Millisecond)
		var remaining []run
		for _, r := range running {
			if r.end.After(now) {
				remaining = append(remaining, r)
			}
		}
		ended := running
		running = remaining
		for _, r := range ended {
			if !r.end.After(now) {
				served[r.account]++
				track(s.Step(now, Done{ID: r.id, Upstream: r.up}))
			}
		}
		track(s.Step(now, Tick{}))
	}
	return served
}

// One account submits twenty times as many requests as each other. Served in
// order of arrival, it would occupy most of the engines, and requests of the
// other accounts would be refused.
func TestAccountsShareFairly(t *testing.T) {
	is := is.New(t)
	served := runLoad(func(account int, rng *rand.Rand) int {
		if account == 0 {
			return 4
		}
		if rng.IntN(5) == 0 {
			return 1
		}
		return 0
	}, 12, nil)
	total, least := 0, served[1]
	for account, n := range served {
		total += n
		if account > 0 {
			least = min(least, n)
		}
	}
	is.True(total > 2200) // of 2,400, so the slots stay busy
	is.True(served[0] < 2*total/12)
	is.True(least > total/12/2)
}

// One account submits enough high-priority requests to fill the group. Without
// ageing, requests of low priority would wait until that load ends.
func TestNoStarvation(t *testing.T) {
	is := is.New(t)
	served := runLoad(func(account int, _ *rand.Rand) int {
		if account == 0 {
			return 1
		}
		return 0
	}, 2, nil)
	is.True(served[0] > 2200)
	mixed := runLoad(func(account int, rng *rand.Rand) int {
		if account == 0 || rng.IntN(20) == 0 {
			return 1
		}
		return 0
	}, 2, func(account int, a *Submit) {
		if account == 0 {
			a.Priority = 1
		}
	})
	is.True(mixed[0] > mixed[1]) // high priority first
	is.True(mixed[1] > 0)        // but low priority is served too
}

// One of a hundred full upstreams gets a free slot. The queued request must be
// sent there, although only a few upstreams are sampled for each decision.
func TestFreedUpstreamIsFound(t *testing.T) {
	is := is.New(t)
	var s Sched
	f := fleet(100)
	f.Groups["engines"] = file.Group{Kind: file.Engines, MaxInflight: 1, QueueWait: time.Hour, QueueLimit: 1000}
	s.Step(epoch, Configure{File: f})
	var at []string
	for i := 0; len(at) < 100; i++ {
		id := fmt.Sprint(i)
		if up := assigned(s.Step(epoch, submit(id)), id); up != "" {
			at = append(at, id+" "+up)
			continue
		}
		for assigned(s.Step(epoch, Tick{}), id) == "" { // until the sample contains a free one
			continue
		}
		at = append(at, id)
	}
	is.Equal(assigned(s.Step(epoch, submit("waits")), "waits"), "")
	var id, up string
	_, err := fmt.Sscan(at[0], &id, &up)
	is.NoErr(err)
	is.Equal(assigned(s.Step(epoch, Done{ID: id, Upstream: up}), "waits"), up)
}

// Calls of one service differ by a factor of ten in duration. If the shortest
// were the expected duration of all, the limit would shrink while the service
// is idle, and requests would be refused without need. An overloaded service,
// where all calls take longer, must still be detected.
func TestLimitOfUnequalCalls(t *testing.T) {
	tests := map[string]struct {
		slots     int // of each of two upstreams
		low, high int // bounds of the limits at the end
	}{
		"idle":    {1000, 8, 1000},
		"crowded": {3, 1, 12},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s Sched
			f := fleet(0)
			f.Groups["tools"] = file.Group{Kind: file.Services, QueueLimit: 1000, QueueWait: time.Hour}
			s.Step(epoch, Configure{File: f})
			rng := rand.New(rand.NewPCG(1, 1))
			type run struct {
				id, up string
				end    time.Time
			}
			var running []run
			now, n := epoch, 0
			for range 6000 {
				now = now.Add(10 * time.Millisecond)
				var out []Effect
				for len(s.byID) < 30 {
					n++
					out = append(out, s.Step(now, submitTool(fmt.Sprint(n)))...)
				}
				var still []run
				for _, r := range running {
					if r.end.After(now) {
						still = append(still, r)
						continue
					}
					out = append(out, s.Step(now, Done{ID: r.id, Upstream: r.up})...)
				}
				running = still
				for _, e := range out {
					if a, ok := e.(Assign); ok {
						inflight := s.ups[s.byName[a.Upstream]].load.Inflight()
						took := (20 + 180*rng.Float64()) * max(1, float64(inflight)/float64(tt.slots))
						running = append(running, run{a.ID, a.Upstream, now.Add(time.Duration(took * float64(time.Millisecond)))})
					}
				}
			}
			for _, u := range s.ups {
				is.True(u.limit.Value() >= tt.low)
				is.True(u.limit.Value() <= tt.high)
			}
		})
	}
}

// Other daemons' requests fill an upstream to its limit. If a daemon counted
// only its own requests, each of many would send as many as all may together.
func TestLimitCountsOtherOwners(t *testing.T) {
	is := is.New(t)
	var s Sched
	f := fleet(1)
	g := f.Groups["engines"]
	g.MaxInflight = 6
	f.Groups["engines"] = g
	s.Step(epoch, Configure{File: f})
	now := epoch
	for i := range 200 {
		now = now.Add(time.Second)
		s.Step(now, Load{Upstream: "e0", Report: engine.Load{Seq: uint64(i + 1), At: now, Running: 6}})
	}
	is.Equal(assigned(s.Step(now, submit("1")), "1"), "e0")
	is.Equal(assigned(s.Step(now, submit("2")), "2"), "")
}
