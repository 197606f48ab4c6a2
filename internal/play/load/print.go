package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// Print writes the report as text.
func (r Report) Print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%.1f s: %d programs started, %d finished, %d failed, %d not started\n",
		r.Seconds, r.Started, r.Finished, r.Failed, r.NotStarted)
	_, _ = fmt.Fprintf(w, "%d model calls, %d service calls, %d repeats; %.1f calls/s, %.0f tokens/s\n",
		r.Calls, r.Services, r.Repeats, r.perSecond(r.Calls+r.Services), r.perSecond(r.Output))
	_, _ = fmt.Fprintf(w, "prompt tokens %d, cached %d, wasted %d (%.1f%%)\n",
		r.Prompt, r.Cached, r.Wasted, 100*float64(r.Wasted)/float64(max(1, r.Prompt)))
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(tw, "\tcount\tp50\tp95\tp99\tmax\t")
	rows := []struct {
		name string
		q    Quantiles
	}{
		{"program, s", r.Program},
		{"program without its pauses, s", r.Active},
		{"first token, s", r.First},
		{"between pieces, s", r.Between},
		{"pairs, through the system: first token, s", r.Paired.First},
		{"pairs, straight to an engine: first token, s", r.Direct.First},
		{"added to the first token, s", r.Added.First},
		{"pairs, through the system: between pieces, s", r.Paired.Between},
		{"pairs, straight to an engine: between pieces, s", r.Direct.Between},
		{"added between pieces, s", r.Added.Between},
	}
	for _, row := range rows {
		if row.q.Count > 0 {
			_, _ = fmt.Fprintf(tw, "%s\t%d\t%.4f\t%.4f\t%.4f\t%.4f\t\n", row.name, row.q.Count, row.q.P50, row.q.P95, row.q.P99, row.q.Max)
		}
	}
	_ = tw.Flush()
	for _, code := range slices.Sorted(maps.Keys(r.Refusals)) {
		_, _ = fmt.Fprintf(w, "refused %s: %d\n", code, r.Refusals[code])
	}
	for _, e := range r.Errors {
		_, _ = fmt.Fprintf(w, "failed: %s\n", e)
	}
	for _, n := range r.Notes {
		_, _ = fmt.Fprintf(w, "FAULT: %s\n", n)
	}
	_, _ = fmt.Fprintf(w, "%d faults\n", r.Faults)
}

func (r Report) perSecond(n int) float64 {
	if r.Seconds <= 0 {
		return 0
	}
	return float64(n) / r.Seconds
}
