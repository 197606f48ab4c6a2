package swim

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// statesOf returns the states of daemon i as the other live daemons see it.
func (f *fleet) statesOf(i int) (states []State) {
	for k, n := range f.nodes {
		if k == i || n.dead {
			continue
		}
		for _, m := range n.membership.Members() {
			if m.Name == f.nodes[i].member.Name {
				states = append(states, m.State)
			}
		}
	}
	return states
}

func allInState(states []State, s State) bool {
	for _, each := range states {
		if each != s {
			return false
		}
	}
	return len(states) > 0
}

// Under load some packets are lost. If daemons then considered live ones down,
// owners would be asked to release shards that they still serve.
func TestLoss(t *testing.T) {
	tests := map[string]struct {
		n    int
		loss float64
	}{
		"4 daemons, 1%":  {4, 0.01},
		"4 daemons, 5%":  {4, 0.05},
		"20 daemons, 1%": {20, 0.01},
		"20 daemons, 5%": {20, 0.05},
		"80 daemons, 5%": {80, 0.05},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := convergedFleet(t, test.n, 3)
			f.loss = test.loss
			f.run(5 * time.Minute)
			is.Equal(f.falseDown, 0)
			f.loss = 0
			f.until(time.Minute, f.agree)
			is.True(f.agree())
		})
	}
}

// A link passes packets between two daemons in one direction only. Both are
// alive and reachable by all others, so neither may be considered down.
func TestOneWayCut(t *testing.T) {
	is := is.New(t)
	f := convergedFleet(t, 8, 4)
	f.cut = func(from, to *node) bool { return from == f.nodes[2] && to == f.nodes[5] }
	f.run(5 * time.Minute)
	is.Equal(f.falseDown, 0)
}

// A daemon can send but receives nothing. It must be considered down, since no
// response could reach it, and its claims must not make the others consider
// each other down.
func TestInboundLoss(t *testing.T) {
	is := is.New(t)
	f := convergedFleet(t, 8, 5)
	f.cut = func(_, to *node) bool { return to == f.nodes[3] }
	f.uncounted = f.nodes[3]
	f.run(5 * time.Minute)
	is.True(allInState(f.statesOf(3), Down))
	for i := range f.nodes {
		if i != 3 {
			is.True(!f.allConsiderDown(f.nodes[i].member.Name))
		}
	}
	is.Equal(f.falseDown, 7) // of that daemon only, once by each other
	f.cut = nil
	took := f.until(time.Minute, f.agree)
	is.True(f.agree())
	t.Logf("views converged %v after it receives again", took)
}

// Two regions are partitioned for minutes and each considers the other down. When
// the network heals, claims from one side must not make the other consider its own
// members down, and all views must converge without intervention.
func TestPartition(t *testing.T) {
	for _, n := range []int{4, 8, 20, 80} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			f := convergedFleet(t, n, 6)
			side := map[*node]bool{}
			for i, node := range f.nodes {
				side[node] = i < n/2
			}
			f.cut = func(from, to *node) bool { return side[from] != side[to] }
			f.run(4 * time.Minute)
			for _, m := range f.nodes[0].membership.Members() {
				is.Equal(m.State == Down, !side[f.byPeer[m.Peer]])
			}
			f.configure(f.nodes[n-1], 2) // applied on one side
			f.run(20 * time.Second)
			f.cut = nil
			f.falseDown = 0
			took := f.until(2*time.Minute, f.agree)
			is.True(f.agree())
			is.Equal(f.falseDown, 0)
			t.Logf("views converged %v after the partition healed", took)
		})
	}
}

// A process is paused for a minute and meanwhile considered down. It must not
// suspect the others because of packets that it could not read, and must rejoin.
func TestPause(t *testing.T) {
	is := is.New(t)
	f := convergedFleet(t, 20, 7)
	f.nodes[4].paused = true
	f.run(time.Minute)
	is.True(allInState(f.statesOf(4), Down))
	f.falseDown = 0
	f.suspected = 0
	f.wake(f.nodes[4])
	took := f.until(time.Minute, f.agree)
	is.True(f.agree())
	is.Equal(f.falseDown, 0)
	is.Equal(f.suspected, 0)
	t.Logf("views converged %v after it resumed", took)
}

// A daemon restarts, also before any other suspected it. Its entry from before
// the restart must be replaced: it owns no shards any more.
func TestRestart(t *testing.T) {
	tests := map[string]time.Duration{
		"at once":       0,
		"after a while": time.Minute,
	}
	for name, pause := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := convergedFleet(t, 20, 8)
			f.nodes[5].dead = true
			f.run(pause)
			n := f.start(5, 1)
			n.member.Shards = nil
			f.step(n, Self{Member: n.member, Seeds: n.membership.seeds})
			took := f.until(time.Minute, f.agree)
			is.True(f.agree())
			for _, m := range f.nodes[9].membership.Members() {
				if m.Name == n.member.Name {
					is.Equal(len(m.Shards), 0)
				}
			}
			t.Logf("views include the restart after %v", took)
		})
	}
}

// A VM restarts with a clock that is behind, so its incarnation is lower than
// before. The others would ignore its entry as outdated and keep routing calls
// by the old one.
func TestRestartWithClockBehind(t *testing.T) {
	is := is.New(t)
	f := convergedFleet(t, 8, 9)
	old := f.nodes[5].member
	f.nodes[5].dead = true
	f.run(time.Minute)
	n := f.start(5, 1)
	n.membership = Membership{}
	n.member.Incarnation = old.Incarnation - uint64(time.Hour)
	n.member.Shards = nil
	f.step(n, Self{Member: n.member, Seeds: []string{address(0, 7401)}})
	f.until(time.Minute, f.agree)
	is.True(f.agree())
}

// A VM is replaced by one with the same address and another name. The new one
// answers probes meant for the old one, which would never be considered down.
func TestReplacedAtSameAddress(t *testing.T) {
	is := is.New(t)
	f := convergedFleet(t, 8, 10)
	old := f.nodes[5].member.Name
	f.nodes[5].dead = true
	n := &node{member: f.nodes[5].member, seen: map[string]State{}}
	n.member.Name = "vm900"
	n.member.Incarnation = uint64(f.now.UnixNano())
	f.nodes = append(f.nodes, n)
	f.byPeer[n.member.Peer] = n
	f.step(n, Self{Member: n.member, Seeds: []string{address(0, 7401)}})
	f.schedule(0, n, Tick{})
	took := f.until(time.Minute, func() bool { return f.allConsiderDown(old) && f.agree() })
	is.True(f.allConsiderDown(old))
	is.True(f.agree())
	is.True(took < 15*time.Second)
}

// Ten VMs are replaced in one rollout, or a rack of sixteen loses its switch.
// All others must consider them down, and no other daemon.
func TestManyAtOnce(t *testing.T) {
	tests := map[string]struct{ from, count int }{
		"10 replaced":     {30, 10},
		"a rack of 16":    {40, 16},
		"with both seeds": {0, 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := convergedFleet(t, 80, 11)
			for i := range test.count {
				f.nodes[test.from+i].dead = true
			}
			gone := func() bool {
				for i := range test.count {
					if !f.allConsiderDown(f.nodes[test.from+i].member.Name) {
						return false
					}
				}
				return true
			}
			took := f.until(2*time.Minute, gone)
			is.True(gone())
			is.Equal(f.falseDown, 0)
			t.Logf("all consider the %d failed daemons down after %v", test.count, took)
			for i := range test.count {
				f.start(test.from+i, 1)
			}
			took = f.until(2*time.Minute, f.agree)
			is.True(f.agree())
			t.Logf("views include the %d new daemons after %v", test.count, took)
		})
	}
}

// Some daemons can't reach the store. An owner among them stops if other daemons
// still reach it, so the age of the last successful call must spread.
func TestStoreAge(t *testing.T) {
	is := is.New(t)
	f := convergedFleet(t, 20, 12)
	is.Equal(f.nodes[3].membership.StoreAge(f.now), time.Duration(-1))
	f.step(f.nodes[7], Reached{At: f.now})
	at := f.now
	f.run(15 * time.Second)
	for _, n := range f.nodes {
		age := n.membership.StoreAge(f.now)
		is.True(age > 14*time.Second) // too small by no more than transit times
		is.True(age <= f.now.Sub(at))
	}
	is.True(!f.nodes[3].membership.Alone(f.now))
	f.cut = func(_, to *node) bool { return to == f.nodes[3] }
	f.run(10 * time.Second)
	is.True(f.nodes[3].membership.Alone(f.now))
}

// In a long outage daemons that hear each other through slow packets must not take the last call that succeeded for a later and later one, or owners stop although nobody reaches the store.
func TestExchangesDoNotMakeStoreAgeYounger(t *testing.T) {
	is := is.New(t)
	f := convergedFleet(t, 20, 12)
	f.transit = 100 * time.Millisecond
	f.step(f.nodes[7], Reached{At: f.now})
	at := f.now
	f.run(time.Minute)
	for _, n := range f.nodes {
		is.True(n.membership.StoreAge(f.now) >= f.now.Sub(at)-time.Second) // the time of a path through all daemons
	}
}

// Random faults overlap. Once they are over, all views must converge without
// a restart.
func TestRandomFaults(t *testing.T) {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		t.Fatal(err)
	}
	if err := flag.Set("rapid.checks", "30"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rapid.IntRange(3, 12).Draw(rt, "daemons"), rapid.Uint64().Draw(rt, "seed"))
		f.measure = true
		for range rapid.IntRange(1, 8).Draw(rt, "faults") {
			f.fault(rt)
			f.run(time.Duration(rapid.IntRange(1, 90).Draw(rt, "seconds")) * time.Second)
		}
		f.endFaults()
		f.until(3*time.Minute, f.agree)
		if !f.agree() {
			rt.Fatal("views did not converge within 3 min")
		}
		if f.largest > 4096 {
			rt.Fatalf("packet of %d bytes, want at most 4096", f.largest)
		}
	})
}

func (f *fleet) fault(rt *rapid.T) {
	i := rapid.IntRange(0, len(f.nodes)-1).Draw(rt, "daemon")
	n := f.nodes[i]
	switch rapid.SampledFrom([]string{"kill", "restart", "pause", "wake", "loss", "split", "mend", "configure"}).Draw(rt, "fault") {
	case "kill":
		n.dead = true
	case "restart":
		f.start(i, 1)
	case "pause":
		n.paused = true
	case "wake":
		f.wake(n)
	case "loss":
		f.loss = 0.3
	case "split":
		k := rapid.IntRange(1, len(f.nodes)-1).Draw(rt, "side")
		side := map[*node]bool{}
		for _, m := range f.nodes[:k] {
			side[m] = true
		}
		f.cut = func(from, to *node) bool { return side[from] != side[to] }
	case "mend":
		f.endFaults()
	case "configure":
		if !n.dead && !n.paused {
			f.configure(n, n.member.Config+1)
		}
	}
}

func (f *fleet) endFaults() {
	f.loss, f.cut = 0, nil
	for _, n := range f.nodes {
		if n.paused {
			f.wake(n)
		}
	}
}

// Calls of several daemons to the store, made just before an outage, must not be taken for later ones by turns, whatever the seed and the transit times.
func TestSeveralCallsDoNotMakeStoreAgeYounger(t *testing.T) {
	tests := map[string]struct {
		daemons int
		transit time.Duration
		bound   time.Duration // the time of a path through some daemons
	}{
		"few, slow packets":  {5, 400 * time.Millisecond, 2 * time.Second},
		"many, slow packets": {80, 200 * time.Millisecond, 2 * time.Second},
		"many, fast packets": {80, 4 * time.Millisecond, 50 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(5) {
				f := convergedFleet(t, test.daemons, seed+1)
				f.transit = test.transit
				for i := range 4 {
					f.run(50 * time.Millisecond)
					f.step(f.nodes[i], Reached{At: f.now})
				}
				at := f.now
				f.run(2 * time.Minute)
				for _, n := range f.nodes {
					age, truth := n.membership.StoreAge(f.now), f.now.Sub(at)
					is.True(age <= truth)
					is.True(age >= truth-test.bound)
				}
			}
		})
	}
}

// During a rolling update daemons of an earlier release report calls without identity; these must still count.
func TestCallsReportedByAnEarlierRelease(t *testing.T) {
	is := is.New(t)
	f := convergedFleet(t, 3, 1)
	ms := &f.nodes[0].membership
	ms.Step(f.now, Packet{From: f.nodes[1].member.Peer, Age: 3 * time.Second})
	is.Equal(ms.StoreAge(f.now), 3*time.Second)
	ms.Step(f.now, Packet{From: f.nodes[2].member.Peer, Age: 2 * time.Second, Call: StoreCall{Name: "d9", Incarnation: 1, Serial: 1}})
	is.Equal(ms.StoreAge(f.now), 2*time.Second)
	ms.Step(f.now.Add(time.Second), Packet{From: f.nodes[2].member.Peer, Age: 2 * time.Second, Call: StoreCall{Name: "d9", Incarnation: 1, Serial: 1}})
	is.Equal(ms.StoreAge(f.now.Add(time.Second)), 3*time.Second)
}
