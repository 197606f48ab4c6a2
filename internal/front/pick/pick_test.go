package pick

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/front/fleet"
)

var now = time.Unix(1000, 0)

func ups(n int) (list []fleet.Upstream) {
	for i := range n {
		list = append(list, fleet.Upstream{ID: fmt.Sprintf("u%d", i), Address: fmt.Sprintf("u%d", i), Batch: 4, Domain: "x"})
	}
	return list
}

func disableJitter(t *testing.T) {
	old := jitter
	jitter = func() float64 { return 0 }
	t.Cleanup(func() { jitter = old })
}

func choose(p *Picker, r Request) string {
	u, _ := p.Choose(now, r)
	return u.ID
}

func TestPlainCallsSpread(t *testing.T) {
	disableJitter(t)
	is := is.New(t)
	p := &Picker{Domain: "x"}
	list := ups(3)
	list[2].Batch = 8
	count := map[string]int{}
	for range 16 {
		count[choose(p, Request{Candidates: fleet.NewService(list...)})]++
	}
	is.Equal(count, map[string]int{"u0": 4, "u1": 4, "u2": 8}) // in proportion to their batch sizes
	p.Done("u1")
	is.Equal(choose(p, Request{Candidates: fleet.NewService(list...)}), "u1")
}

func TestAvoidedUpstreams(t *testing.T) {
	cases := map[string]struct {
		prepare func(*Picker, []fleet.Upstream)
		exclude string
		want    string
	}{
		"nobody":                       {func(*Picker, []fleet.Upstream) {}, "", "u0"},
		"one that is leaving":          {func(_ *Picker, l []fleet.Upstream) { l[0].Leaving = true }, "", "u1"},
		"one that refused":             {func(*Picker, []fleet.Upstream) {}, "u0", "u1"},
		"one that was full":            {func(p *Picker, _ []fleet.Upstream) { p.RecordFull(now, "u0") }, "", "u1"},
		"one that was full before":     {func(p *Picker, _ []fleet.Upstream) { p.RecordFull(now.Add(-fullBackoff), "u0") }, "", "u0"},
		"one that failed":              {func(p *Picker, _ []fleet.Upstream) { p.RecordFailure(now, "u0") }, "", "u1"},
		"one that failed a while ago":  {func(p *Picker, _ []fleet.Upstream) { p.RecordFailure(now.Add(-time.Second), "u0") }, "", "u1"},
		"one that failed long ago":     {func(p *Picker, l []fleet.Upstream) { p.RecordFailure(now.Add(-time.Minute), "u0"); l[1].Domain = "y" }, "", "u0"},
		"one that is slow":             {func(p *Picker, _ []fleet.Upstream) { repeat(6, func() { p.RecordOutcome(now, "u0", 5, false) }) }, "", "u1"},
		"one that had a long call":     {func(p *Picker, l []fleet.Upstream) { p.RecordOutcome(now, "u0", 3, false); l[1].Domain = "y" }, "", "u0"},
		"one that is far":              {func(_ *Picker, l []fleet.Upstream) { l[0].Domain = "y" }, "", "u1"},
		"one that is far, others busy": {func(p *Picker, l []fleet.Upstream) { l[0].Domain = "y"; p.PeersUpdated(map[string]int{"u1": 3}, 1) }, "", "u0"},
		"one with no open connection":  {func(p *Picker, _ []fleet.Upstream) { p.Idle = func(a string) bool { return a == "u1" } }, "", "u1"},
		"both failed: still one":       {func(p *Picker, _ []fleet.Upstream) { p.RecordFailure(now, "u0"); p.RecordFailure(now, "u1") }, "", "u0"},
		"what daemons had before": {func(p *Picker, _ []fleet.Upstream) {
			p.PeersUpdated(map[string]int{"u0": 3}, 1)
			p.PeersUpdated(nil, 1)
		}, "", "u0"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			disableJitter(t)
			list := ups(2)
			p := &Picker{Domain: "x"}
			c.prepare(p, list)
			is.New(t).Equal(choose(p, Request{Candidates: fleet.NewService(list...), Exclude: map[string]bool{c.exclude: true}}), c.want)
		})
	}
	_, ok := (&Picker{}).Choose(now, Request{})
	is.New(t).True(!ok)
}

func repeat(n int, do func()) {
	for range n {
		do()
	}
}

// A program's prompt is cached at the upstream of its previous turn. The next turn must go
// there, also through another daemon, or the prompt is prefilled again; but it must not
// queue there.
func TestProgramsStay(t *testing.T) {
	is := is.New(t)
	list := ups(9)
	p := &Picker{Domain: "y"}
	r := Request{Candidates: fleet.NewService(list...), Key: "k", Prefer: "u3", Tokens: 4000}
	for range list[0].Batch {
		is.Equal(choose(p, r), "u3")
	}
	repeat(list[0].Batch, func() { choose(p, r) })
	is.True(p.OwnInFlight()["u3"] < 2*list[0].Batch) // another prefill is faster than queueing
	r.Tokens = 0
	p = &Picker{}
	p.PeersUpdated(map[string]int{"u3": 3}, 1)
	is.True(choose(p, r) != "u3") // no prefill is saved by staying
	is.Equal(choose(&Picker{}, Request{Candidates: fleet.NewService(list...), Only: "u5"}), "u5")
	is.Equal(choose(&Picker{}, Request{Candidates: fleet.NewService(list...), Only: "gone"}), "")
}

// The engine that has a program's prompt cached is busier than others. A turn that moves
// needs another prefill, which delays all turns at the other engine: it moves to an idle
// engine, but not to one where the prefill would delay many turns.
func TestMovingDelaysOthers(t *testing.T) {
	cases := map[string]struct {
		preferred, other int // turns in flight at the engine with the prompt and at the other
		want             string
	}{
		"the other is idle":     {12, 0, "u1"},
		"the other is busy too": {12, 6, "u0"},
		"far beyond the places": {40, 6, "u1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			disableJitter(t)
			p := &Picker{Domain: "x"}
			list := ups(2)
			list[0].Batch, list[1].Batch = 16, 16
			p.PeersUpdated(map[string]int{"u0": c.preferred, "u1": c.other}, 1)
			is.New(t).Equal(choose(p, Request{Candidates: fleet.NewService(list...), Key: "k", Prefer: "u0", Tokens: 1200}), c.want)
		})
	}
}

// The programs of a burst that arrives at one daemon must spread over the upstreams.
func TestProgramsSpread(t *testing.T) {
	is := is.New(t)
	p := &Picker{}
	list := ups(4)
	count := map[string]int{}
	for i := range 16 {
		count[choose(p, Request{Candidates: fleet.NewService(list...), Key: fmt.Sprint(i)})]++
	}
	is.Equal(count, map[string]int{"u0": 4, "u1": 4, "u2": 4, "u3": 4})
}

// Many daemons exchange their loads rarely. If each relied on the latest report, all
// would select the upstream that was idle at that time, and requests would queue there.
// Out-of-date reports must count less, and the daemons spread.
func TestManyDaemonsDoNotConverge(t *testing.T) {
	is := is.New(t)
	list := ups(20)
	count := map[string]int{}
	for i := range 60 {
		p := &Picker{Name: fmt.Sprint("daemon", i), Domain: "x", Age: func() time.Duration { return 600 * time.Millisecond }}
		busy := map[string]int{}
		for _, u := range list[1:] {
			busy[u.ID] = 3 // all but one are reported busy
		}
		p.PeersUpdated(busy, 1)
		count[choose(p, Request{Candidates: fleet.NewService(list...)})]++
	}
	for id, n := range count {
		if n > 12 {
			t.Errorf("upstream %s got %d of 60 requests, want at most 12", id, n)
		}
	}
	is.True(len(count) > 10)
}

func TestForget(t *testing.T) {
	is := is.New(t)
	p := &Picker{}
	none := func(string) bool { return false }
	choose(p, Request{Candidates: fleet.NewService(ups(1)...)})
	p.RecordFull(now, "gone")
	p.Forget(none)
	is.Equal(len(p.upstreams), 1) // it has a request in flight
	is.Equal(p.OwnInFlight(), map[string]int{"u0": 1})
	p.Done("u0")
	p.Forget(none)
	is.Equal(len(p.upstreams), 0)
}

func TestBaseline(t *testing.T) {
	is := is.New(t)
	var u Baseline
	is.Equal(u.Slowdown("a", 2), 1.0)
	is.Equal(u.Slowdown("a", 6), 3.0)
	is.Equal(u.Slowdown("b", 7), 1.0)
	for range 300 {
		u.Slowdown("a", 6)
	}
	is.True(u.Slowdown("a", 6) < 1.1) // the mean has adapted
}

// BenchmarkChoose selects among 1,100 upstreams with 5,000 programs in flight.
func BenchmarkChoose(b *testing.B) {
	p := &Picker{}
	service := fleet.NewService(ups(1100)...)
	for i := range 5000 {
		choose(p, Request{Candidates: service, Key: fmt.Sprint(i)})
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		u, _ := p.Choose(now, Request{Candidates: service, Key: "program", Prefer: "u700"})
		p.Done(u.ID)
	}
}
