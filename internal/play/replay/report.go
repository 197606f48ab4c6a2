package replay

import (
	"fmt"
	"slices"
	"time"

	"github.com/slaterock/slaterock/internal/play/trace"
)

type (
	// Report is what came of one replay. Program latency is the time from a
	// program's arrival to its end without the pauses that its caller made,
	// over the programs that completed. Wasted are tokens that an engine had
	// to prefill although some engine had computed them before.
	Report struct {
		Policy         string
		Programs       int
		Completed      int
		Refused        int // callers that came back in vain
		Failed         int
		Unknown        int
		GaveUp         int
		P50, P95, P99  time.Duration
		Wasted         int
		Prefilled      int
		Spent          int64 // tokens of model calls that were answered
		Dispatched     int   // attempts that an upstream began
		Refusals       int
		FalseRefusals  int // "not run" said of what ran
		Retries        int
		Hedges         int
		Exports        int
		Repeated       int // runs of non-idempotent calls beyond the first
		OutOfOrder     int
		OverBudget     int     // programs that spent more than their budget
		HeldPrograms   int     // programs that ended and still hold memory
		LateDispatches int     // to upstreams that had said they leave
		CutStreams     int     // under way when a leaving upstream went
		Goodput        float64 // programs completed in a second
		Outcomes       map[string]string
		Unmet          []Unmet
	}

	// Broken is a stated outcome that was not met.
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
		r.Outcomes[p.t.Name] = p.outcome
		r.Spent += p.spentTokens
		if p.t.Budget > 0 && p.spentTokens > p.t.Budget {
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
	for _, u := range w.workers {
		u.cache.programs(held)
	}
	r.HeldPrograms = len(held)
	r.Unmet = r.check(w.t.Expects)
	return r
}

// goodput is the rate of completions in the second half of the arrivals, when
// the load has had time to build up.
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

// measure returns a measure by the name that traces use for it.
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

// miss says how the expectation is missed, or nothing.
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
