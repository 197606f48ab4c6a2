package pick

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/front/fleet"
)

// wholeWalk returns the lowest cost among all candidates.
func wholeWalk(p *Picker, r Request) (lowest float64) {
	s := selection{p: p, r: r, now: now, confidence: p.confidence(), lowest: avoidCost * 2}
	s.compareAll()
	return s.lowest
}

// Thousands of engines can't all be compared for each request. The ones that are compared must lead to an engine that is about as good as the best of all, whatever part of them is busy.
func TestFewCandidatesAreAsGoodAsAll(t *testing.T) {
	const n, requests, most = 10000, 500, 3.0 // milliseconds, what the order of equal candidates adds at most
	cases := map[string]struct {
		busy float64 // share of the engines that have requests in flight
		load int     // at most, at each of these
	}{
		"nearly all idle": {0.05, 3},
		"half busy":       {0.5, 6},
		"nine in ten":     {0.9, 8},
		"all busy":        {1, 12},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			disableJitter(t)
			rnd := rand.New(rand.NewPCG(3, 3))
			list := ups(n)
			load := map[string]int{}
			for i := range list {
				list[i].Domain = fmt.Sprint(i % 6)
				if rnd.Float64() < c.busy {
					load[list[i].ID] = 1 + rnd.IntN(c.load)
				}
			}
			p := &Picker{Domain: "0"}
			p.PeersUpdated(load, 1)
			service, excess := fleet.NewService(list...), 0.0
			for i := range requests {
				r := Request{Candidates: service, Key: fmt.Sprint(i)}
				best := wholeWalk(p, r)
				u, ok := p.Choose(now, r)
				is.New(t).True(ok)
				p.Done(u.ID)
				found, _ := service.Find(u.ID)
				excess += p.cost(now, found, &r, p.confidence()) - best
			}
			t.Logf("mean cost above that of the best of all: %.2f ms", excess/requests)
			is.New(t).True(excess/requests <= most)
		})
	}
}

// Nearly all engines are leaving, or have just failed. A request must still find one of the few others.
func TestRareCandidateIsFound(t *testing.T) {
	cases := map[string]func(*Picker, *fleet.Upstream){
		"all others leave":  func(_ *Picker, u *fleet.Upstream) { u.Leaving = true },
		"all others failed": func(p *Picker, u *fleet.Upstream) { p.RecordFailure(now, u.ID) },
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			p := &Picker{}
			list := ups(5000)
			for i := range list {
				if i != 4321 {
					disturb(p, &list[i])
				}
			}
			is.New(t).Equal(choose(p, Request{Candidates: fleet.NewService(list...)}), "u4321")
		})
	}
}

// A program's next turn goes to the engine that has its prompt cached, and plain calls to upstreams with an open connection, also among thousands.
func TestKnownCandidatesAmongThousands(t *testing.T) {
	is := is.New(t)
	p := &Picker{Domain: "x"}
	service := fleet.NewService(ups(5000)...)
	is.Equal(choose(p, Request{Candidates: service, Key: "k", Prefer: "u4000", Tokens: 4000}), "u4000")
	open := map[string]bool{}
	p.Idle = func(address string) bool { return open[address] }
	first := choose(p, Request{Candidates: service})
	p.Done(first)
	open[first] = true
	is.Equal(choose(p, Request{Candidates: service}), first)
	is.Equal(choose(p, Request{Candidates: service, Only: "u77"}), "u77")
}

func BenchmarkChooseAtSize(b *testing.B) {
	for _, n := range []int{100, 1100, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := ups(n)
			load := map[string]int{}
			for i := range list {
				if i%3 == 0 {
					load[list[i].ID] = 1 + i%8
				}
			}
			p := &Picker{Domain: "x"}
			p.PeersUpdated(load, 1)
			r := Request{Candidates: fleet.NewService(list...), Key: "k"}
			at := time.Now()
			b.ReportAllocs()
			for b.Loop() {
				u, _ := p.Choose(at, r)
				p.Done(u.ID)
			}
		})
	}
}
