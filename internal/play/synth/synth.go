// Package synth generates the synthetic traces committed under traces/: two
// deployments at normal and at peak load, and the faults that the scheduler must
// tolerate. The numbers of programs, turns and tokens follow the descriptions of
// the deployments; where these give none, the numbers are assumptions, listed in
// docs/design/traces.md. Generation is deterministic for a seed.
package synth

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/slaterock/slaterock/internal/play/trace"
)

type (
	// Scenario generates one trace.
	Scenario struct {
		Name  string
		build func(g *builder)
	}

	builder struct {
		trace.Trace
		rng *rand.Rand
	}

	interval struct{ from, to int }
)

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{"mafuta_day", func(g *builder) { g.mafuta(1.6, 110) }},
		{"hotel_peak", func(g *builder) { g.hotels(3.4, 80) }},
		{"kexanh_day", func(g *builder) { g.kexanh(1.2, 120) }},
		{"supermarket_peak", func(g *builder) { g.supermarket(2.6, 90) }},
		{"domain_lost", func(g *builder) {
			g.mafuta(1.6, 110)
			g.fault(trace.Fault{AtMS: 40_000, UntilMS: 80_000, Mode: trace.Down, FailureDomain: "temeke"})
		}},
		{"store_outage", func(g *builder) {
			g.mafuta(0.3, 800)
			g.Header.MaxRetries = 40
			g.fault(trace.Fault{AtMS: 60_000, UntilMS: 660_000, Mode: trace.StoreOutage})
		}},
		{"stale_load", func(g *builder) {
			g.kexanh(1.6, 100)
			g.faultGroup("agent", trace.Fault{AtMS: 20_000, UntilMS: 80_000, Mode: trace.NoReports})
			g.fault(trace.Fault{AtMS: 30_000, UntilMS: 70_000, Mode: trace.Slow, Upstream: "agent-03", Factor: 4})
		}},
		{"event_gaps", func(g *builder) {
			g.kexanh(1.2, 120)
			g.faultGroup("agent", trace.Fault{AtMS: 10_000, UntilMS: 100_000, Mode: trace.EventLoss})
		}},
		{"looping_program", func(g *builder) {
			g.mafuta(1.2, 60)
			g.addLoopingPrograms()
		}},
		{"hung_tool", func(g *builder) {
			g.mafuta(1.6, 90)
			g.fault(trace.Fault{AtMS: 20_000, UntilMS: 60_000, Mode: trace.Hang, Upstream: "ledger-02"})
		}},
		{"rolling_replacement", func(g *builder) {
			g.kexanh(1.0, 130)
			for i := range int64(10) {
				at := 15_000 + 8_000*i
				g.fault(trace.Fault{AtMS: at, UntilMS: at + 40_000, Mode: trace.Leave, Upstream: fmt.Sprintf("agent-%02d", 2*i)})
			}
		}},
		{"hot_prefix", func(g *builder) { g.hotPrefix() }},
		{"overload_3x", func(g *builder) { g.overload(3, 40) }},
	}
}

// Build returns the scenario's trace for the seed.
func (s Scenario) Build(seed uint64) trace.Trace {
	g := &builder{rng: rand.New(rand.NewPCG(seed, 7))}
	g.Header = trace.Header{
		Version: trace.Version, Name: s.Name, Seed: seed, LatencyWeight: 1, CacheWeight: 1, Owners: 7,
		QueueLimit: 200, QueueWaitMS: 10_000, RetryShare: 0.2, HedgeShare: 0.05,
		TimeoutMS: 60_000, ListLagMS: 1500, MaxRetries: 5,
	}
	s.build(g)
	slices.SortStableFunc(g.Programs, func(a, b trace.Program) int { return int(a.AtMS - b.AtMS) })
	g.invariants()
	if b, ok := bounds[s.Name]; ok {
		b.addTo(g)
	}
	return g.Trace
}

// Overload returns the trace of the goodput measurement: short programs that
// arrive at the given multiple of the rate that the engines can serve.
func Overload(times float64, seed uint64) trace.Trace {
	return Scenario{"press", func(g *builder) { g.overload(times, 180) }}.Build(seed)
}

// invariants adds the expectations that hold in every scenario.
func (g *builder) invariants() {
	for _, m := range []string{
		"repeated", "out_of_order", "over_budget", "held_programs", "late_dispatches", "cut_streams", "false_refusals",
	} {
		g.atMost(m, 0)
	}
}

func (g *builder) atMost(measure string, v float64) {
	g.Expects = append(g.Expects, trace.Expect{Measure: measure, AtMost: &v})
}

func (g *builder) atLeast(measure string, v float64) {
	g.Expects = append(g.Expects, trace.Expect{Measure: measure, AtLeast: v})
}

func (g *builder) fault(f trace.Fault) { g.Faults = append(g.Faults, f) }

func (g *builder) faultGroup(group string, f trace.Fault) {
	for _, u := range g.Upstreams {
		if u.Group == group {
			f.Upstream = u.Name
			g.fault(f)
		}
	}
}

// uniform returns a random number from the inclusive range.
func (g *builder) uniform(i interval) int { return i.from + g.rng.IntN(i.to-i.from+1) }

// pause returns a random pause in milliseconds, from an inclusive range in tenths
// of a second.
func (g *builder) pause(i interval) int64 { return int64(g.uniform(i)) * 100 }

// arrivals calls f with the times of a Poisson process of the given rate and
// duration. at is in milliseconds.
func (g *builder) arrivals(perSecond, seconds float64, f func(at int64)) {
	for at := 0.0; ; {
		at += g.rng.ExpFloat64() / perSecond
		if at > seconds {
			return
		}
		f(int64(at * 1000))
	}
}

// zipf returns a number from 0 to n-1 whose probability falls about as 1/(k+1).
func (g *builder) zipf(n int) int {
	return min(int(math.Pow(float64(n), g.rng.Float64()))-1, n-1)
}

func (g *builder) add(p trace.Program) {
	p.Name = fmt.Sprintf("p%d", len(g.Programs))
	p.Group = "agent"
	if p.MaxTurns == 0 {
		p.MaxTurns = 320
	}
	g.Programs = append(g.Programs, p)
}
