package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/plat/engine"
)

// largeFleet returns a scheduler with 1,100 engines and 5,000 programs, each
// with a prompt of 100 blocks of which the first is shared by a hundred
// programs, and a request of one of them.
func largeFleet() (s *Sched, r request) {
	s = &Sched{Seed: 1}
	f := fleet(1100)
	g := f.Groups["engines"]
	g.MaxInflight, g.QueueLimit = 64, 1000
	f.Groups["engines"] = g
	s.Step(epoch, Configure{File: f})
	for i := range 1100 {
		s.Step(epoch, Load{Upstream: fmt.Sprintf("e%d", i), Report: engine.Load{Seq: 1, At: epoch, Running: i % 7, Total: 1 << 20}})
	}
	for i := range 5000 {
		a := submit(fmt.Sprint(i))
		a.Blocks = []engine.Block{{Hash: uint64(1 + i%50), Tokens: 20_000}}
		for j := range 99 {
			a.Blocks = append(a.Blocks, engine.Block{Hash: uint64(1000 + 100*i + j), Tokens: 300})
		}
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		up := assigned(s.Step(now, a), a.ID)
		s.Step(now, Done{ID: a.ID, Upstream: up, Usage: engine.Usage{Prompt: 50_000, Output: 100}})
		r = request{submit: a}
	}
	return s, r
}

func TestDecisionDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	s, r := largeFleet()
	now := epoch.Add(time.Minute)
	is.Equal(testing.AllocsPerRun(100, func() { s.pick(now, &r) }), 0.0)
	is.True(s.pick(now, &r).best != none)
}

func BenchmarkDecision(b *testing.B) {
	s, r := largeFleet()
	now := epoch.Add(time.Minute)
	b.ReportAllocs()
	for b.Loop() {
		s.pick(now, &r)
	}
}

func BenchmarkSubmitDone(b *testing.B) {
	s, r := largeFleet()
	now := epoch.Add(time.Minute)
	ended := engine.Usage{Prompt: 50_000, Cached: 50_000, Output: 100}
	b.ReportAllocs()
	for b.Loop() {
		up := assigned(s.Step(now, r.submit), r.submit.ID)
		s.Step(now, Done{ID: r.submit.ID, Upstream: up, Usage: ended})
	}
}

func BenchmarkTick(b *testing.B) {
	s, _ := largeFleet()
	now := epoch.Add(time.Minute)
	b.ReportAllocs()
	for b.Loop() {
		s.Step(now, Tick{})
	}
}

// BenchmarkSubmitOverloaded submits for 35,000 accounts in turn to a full
// group, so that each request displaces a queued one or is refused.
func BenchmarkSubmitOverloaded(b *testing.B) {
	s, _ := largeFleet()
	f := fleet(4)
	g := f.Groups["engines"]
	g.QueueLimit, g.QueueWait = 1000, time.Hour
	f.Groups["engines"] = g
	s.Step(epoch, Configure{File: f})
	asks := make([]Submit, 35_000)
	for i := range asks {
		asks[i] = submit(fmt.Sprint("press", i))
		asks[i].Account = fmt.Sprint("account", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		s.Step(epoch, asks[i%len(asks)])
	}
}
