package gate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// complete simulates until a while after the last arrival.
func (p *sim) complete() {
	for p.now < loadFor+drainFor {
		p.tick()
	}
}

// othersP95 returns the 95th percentile of the times of the programs of nineteen accounts as
// parts of the time allowed, infinite for those that failed. One account more has so many
// times their demand.
func othersP95(fronts int, times float64) float64 {
	all := []float64{}
	for seed := range uint64(4) {
		streams := []stream{{"x", 0, 2 * times}}
		for i := range 19 {
			streams = append(streams, stream{fmt.Sprint("other ", i), 0, 2})
		}
		p := newFronts(seed, fronts, engines, streams)
		p.complete()
		for _, a := range p.agents {
			switch {
			case a.account == "x" || a.start < 3*time.Second:
			case a.failed || a.end == 0:
				all = append(all, math.Inf(1))
			default:
				all = append(all, float64(a.end-a.start)/float64(a.deadline-a.start))
			}
		}
	}
	slices.Sort(all)
	return all[len(all)*95/100]
}

// Guards against an account that takes the engines from the others by asking for 7.5 times its
// usual demand, at one front and at fronts that know each other's state late and in part.
func TestFlood(t *testing.T) {
	for _, fronts := range []int{1, 20} {
		usual, flood := othersP95(fronts, 1), othersP95(fronts, 7.5)
		t.Logf("%d fronts: others' 95th percentile %.3f of the time allowed, %.3f with the flood", fronts, usual, flood)
		is.New(t).True(flood < 1.1*usual)
	}
}

// Guards against urgent programs that are refused while less urgent ones begin, and against
// less urgent ones that never begin, with a third of the engines gone. One urgent program in
// 200 may be passed by the small part that each priority gets.
func TestPriorities(t *testing.T) {
	const window = 4 * time.Second
	cases := map[string]struct {
		fronts, urgent int           // urgent programs a second
		known          time.Duration // after which other fronts know that a program waits, one report in five being lost
	}{
		"one front":           {1, 15, 0},
		"20 fronts":           {20, 15, reportAge + 2*reportEvery},
		"one, too many":       {1, 60, 0},
		"20 fronts, too many": {20, 60, reportAge + 2*reportEvery},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			urgent, failed, passed, least := 0, 0, 0, math.MaxInt
			for seed := range uint64(4) {
				p := newFronts(seed, c.fronts, engines*2/3, []stream{{"", 0, float64(c.urgent)}, {"", 1, 30}})
				last, begun := time.Duration(0), map[time.Duration]int{} // less urgent ones
				p.onRefuse = func(a *agent) {
					if a.priority == 0 && last > a.came+c.known {
						passed++
					}
				}
				p.onBegin = func(a *agent) {
					if a.priority == 1 {
						last = p.now
						begun[p.now/window]++
					}
				}
				p.complete()
				for _, a := range p.agents {
					if a.priority == 0 {
						urgent++
						failed += map[bool]int{true: 1}[a.failed]
					}
				}
				for w := range loadFor / window {
					least = min(least, begun[w])
				}
			}
			t.Logf("of %d urgent programs %d failed, %d were passed; less urgent begun in four seconds: %d or more", urgent, failed, passed, least)
			is.True(c.urgent == 60 || 200*failed <= urgent && 200*passed <= urgent)
			is.True(least > 0)
		})
	}
}

// Guards against a front that holds up the less urgent programs of all others because it was
// suspended while urgent ones waited at it.
func TestSuspendedFront(t *testing.T) {
	is := is.New(t)
	p := newFronts(1, 3, 1, []stream{{"", 1, 20}})
	f := p.fronts[0]
	f.gate.Step(p.clock(), Arrive{Ticket: 1 << 32, LatestStart: p.clock().Add(time.Hour), Load: Load{}})
	for _, a := range p.agents {
		a.front = p.fronts[1+len(a.rounds)%2]
	}
	began := []time.Duration{}
	p.onBegin = func(*agent) { began = append(began, p.now) }
	p.exchange()
	for p.now < 4*time.Second {
		f.suspended = p.now > 0
		p.tick()
	}
	is.True(slices.ContainsFunc(began, func(at time.Duration) bool { return at > reportAge+reportTTL+reportEvery }))
}

// reference is the rule without priorities and accounts.
type reference struct {
	Gate

	list []Arrive
}

func (g *reference) step(now time.Time, e Event) (ops []Op) {
	l := Load{}
	switch e := e.(type) {
	case Cancel:
		g.list = slices.DeleteFunc(g.list, func(w Arrive) bool { return w.Ticket == e.Ticket })
		return nil
	case Change:
		l = e.Load
	case Arrive:
		if l = e.Load; !now.Before(e.LatestStart) {
			if len(g.list) == 0 && l.InFlight < int(lateFill*float64(l.Capacity)) {
				return []Op{Admit{e.Ticket}}
			}
			return []Op{Refuse{e.Ticket, After}}
		}
		g.list = append(g.list, e)
	}
	g.list = slices.DeleteFunc(g.list, func(w Arrive) bool {
		if now.Before(w.LatestStart) {
			return false
		}
		ops = append(ops, Refuse{w.Ticket, After})
		return true
	})
	avail, elapsed := float64(max(l.Capacity-l.InFlight, 0)), 1.0
	if l.Daemons > overcommit {
		avail *= overcommit / float64(l.Daemons)
	}
	if l.Daemons > 1 && l.Staleness > 0 && !g.refilled.IsZero() {
		elapsed = min(float64(now.Sub(g.refilled))/float64(l.Staleness), 1)
	}
	g.credit, g.refilled = min(g.credit+avail*elapsed, max(avail, 1)), now
	for ; l.InFlight < l.Capacity && g.credit >= 1 && len(g.list) > 0; l.InFlight++ {
		ops = append(ops, Admit{g.list[len(g.list)-1].Ticket})
		g.list = g.list[:len(g.list)-1]
		g.credit--
	}
	return ops
}

// Guards against a decision that differs from the rule without priorities and accounts where
// there is one priority and no account.
func TestOnePriorityNoAccounts(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		var g Gate
		var r reference
		now := start
		for i := range uint64(400) {
			now = now.Add(time.Duration(rnd.IntN(40)) * time.Millisecond)
			l := load(85+rnd.IntN(20), []int{1, 2, 54}[seed%3])
			if seed%2 == 0 {
				l.Queued = map[int]int{4: 1 + rnd.IntN(5)}
			}
			var e Event = Arrive{Ticket: i, LatestStart: now.Add(time.Duration(rnd.IntN(400)-20) * time.Millisecond), Priority: 4, Load: l}
			switch rnd.IntN(4) {
			case 0:
				e = Change{l}
			case 1:
				e = Cancel{i - min(i, uint64(rnd.IntN(5)))}
			}
			is.Equal(g.Step(now, e), r.step(now, e))
			is.Equal(g.Len(), len(r.list))
		}
	}
}
