package replay

import (
	"fmt"
	"slices"
	"time"

	"github.com/slaterock/slaterock/internal/play/trace"
)

type (
	// Report is the result of one replay. P50, P95 and P99 are program latencies
	// over the completed programs: the time from arrival to end without the
	// caller's pauses. Wasted counts the prefilled tokens of blocks that some
	// engine had computed before.
	Report struct {
		Policy         string
		Programs       int
		Completed      int
		Refused        int // programs that ended after the last retry of a refused call
		Failed         int // includes programs still open at maxDuration
		Unknown        int
		GaveUp         int
		P50, P95, P99  time.Duration
		Wasted         int
		Prefilled      int
		Spent          int64 // tokens of answered model calls, prompt and output
		Dispatched     int   // attempts that an upstream started
		Refusals       int
		FalseRefusals  int // refusals as "not run" with an attempt in flight
		Retries        int
		Hedges         int
		Exports        int
		Repeated       int // runs of non-idempotent service calls beyond the first
		OutOfOrder     int
		OverBudget     int               // programs that spent more than their budget
		HeldPrograms   int               // programs with blocks in a cache at the end of the replay
		LateDispatches int               // attempts submitted later than leavingGrace after the notice of leaving
		CutStreams     int               // requests in flight when a leaving upstream was replaced
		Goodput        float64           // programs completed per second; see goodput
		Outcomes       map[string]string // by program
		Unmet          []Unmet
	}

	// Unmet is an expectation of the trace that was not met. Line is its line in
	// the trace, counted from 1.
	Unmet struct {
		Line int
		Text string
	}
)

func (w *world) buildReport(policy string) Report {
	r := w.report
	r.Policy, r.Programs, r.Outcomes = policy, len(w.programs), map[string]string{}
	var latencies []time.Duration
	var first, last time.Time
	ends := make([]time.Time, 0, len(w.programs))
	for _, p := range w.programs {
		r.Outcomes[p.spec.Name] = p.outcome
		r.Spent += p.spentTokens
		if p.spec.Budget > 0 && p.spentTokens > p.spec.Budget {
			r.OverBudget++
		}
		if first.IsZero() || p.started.Before(first) {
			first = p.started
		}
		if p.started.After(last) {
			last = p.started
		}
		switch p.outcome {
		case completed:
			r.Completed++
			latencies = append(latencies, p.latency)
			ends = append(ends, p.started.Add(p.latency+p.paused))
		case refused:
			r.Refused++
		case unknown:
			r.Unknown++
		case gaveUp:
			r.GaveUp++
		case failed, "":
			r.Failed++
		}
	}
	slices.Sort(latencies)
	r.P50, r.P95, r.P99 = quantile(latencies, 0.5), quantile(latencies, 0.95), quantile(latencies, 0.99)
	r.Goodput = goodput(ends, first, last)
	held := map[string]bool{}
	for _, u := range w.upstreams {
		u.cache.programs(held)
	}
	r.HeldPrograms = len(held)
	r.Unmet = r.check(w.spec.Expects)
	return r
}

// goodput returns the completions per second during the second half of the
// arrival period. The first half is left out as warm-up.
func goodput(ends []time.Time, first, last time.Time) float64 {
	from := first.Add(last.Sub(first) / 2)
	n := 0
	for _, t := range ends {
		if t.After(from) && !t.After(last) {
			n++
		}
	}
	return float64(n) / max(last.Sub(from).Seconds(), 1)
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// measure returns the measure with the given name in traces.
func (r Report) measure(name string) (v float64, ok bool) {
	millis := func(d time.Duration) float64 { return float64(d.Milliseconds()) }
	v, ok = map[string]float64{
		"completed": float64(r.Completed), "refused": float64(r.Refused), "failed": float64(r.Failed),
		"unknown": float64(r.Unknown), "gave_up": float64(r.GaveUp),
		"p50_ms": millis(r.P50), "p95_ms": millis(r.P95), "p99_ms": millis(r.P99),
		"wasted_tokens": float64(r.Wasted), "dispatched": float64(r.Dispatched), "retries": float64(r.Retries),
		"repeated": float64(r.Repeated), "out_of_order": float64(r.OutOfOrder), "over_budget": float64(r.OverBudget),
		"held_programs": float64(r.HeldPrograms), "late_dispatches": float64(r.LateDispatches),
		"cut_streams": float64(r.CutStreams), "false_refusals": float64(r.FalseRefusals),
		"goodput_per_s": r.Goodput, "spent_tokens": float64(r.Spent), "refusals": float64(r.Refusals),
	}[name]
	return v, ok
}

func (r Report) check(expects []trace.Expect) (unmet []Unmet) {
	for _, e := range expects {
		if text := r.mismatch(e); text != "" {
			unmet = append(unmet, Unmet{Line: e.Line, Text: text})
		}
	}
	return unmet
}

// mismatch describes how the expectation is not met; it is empty if it is met.
func (r Report) mismatch(e trace.Expect) string {
	if e.Program != "" {
		if got := r.Outcomes[e.Program]; got != e.Outcome {
			return fmt.Sprintf("program %s ended as %q, expected %q", e.Program, got, e.Outcome)
		}
		return ""
	}
	v, ok := r.measure(e.Measure)
	switch {
	case !ok:
		return fmt.Sprintf("unknown measure %q", e.Measure)
	case v < e.AtLeast:
		return fmt.Sprintf("%s is %.6g, expected at least %.6g", e.Measure, v, e.AtLeast)
	case e.AtMost != nil && v > *e.AtMost:
		return fmt.Sprintf("%s is %.6g, expected at most %.6g", e.Measure, v, *e.AtMost)
	}
	return ""
}
