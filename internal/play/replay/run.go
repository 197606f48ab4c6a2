package replay

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/play/trace"
)

type (
	// Args are those of the command that replays traces.
	Args struct {
		Paths  []string
		Policy string // replay under this one too and print the difference
		Seeds  int    // with Table: how many
		Table  bool   // print all policies side by side, in Markdown
		Gate   Gate
	}
)

// ErrBroken reports stated outcomes that were not met.
var ErrBroken = errors.New("stated outcomes are broken")

// Run replays the traces and prints each broken outcome with its line, or the
// comparison that the arguments ask for. The error is ErrBroken if one broke.
func Run(w io.Writer, a Args) (err error) {
	defer func() { err = errors.Wrap(err, "replay") }()
	if a.Table {
		return table(w, a)
	}
	broken := 0
	for _, path := range a.Paths {
		t, err := load(path)
		if err != nil {
			return err
		}
		r, err := Replay(t, Options{Gate: a.Gate})
		if err != nil {
			return err
		}
		broken += print(w, path, r)
		if a.Policy == "" {
			continue
		}
		other, err := Replay(t, Options{Policy: a.Policy, Gate: a.Gate})
		if err != nil {
			return err
		}
		difference(w, r, other)
	}
	fmt.Fprintf(w, "%d traces, %d broken outcomes\n", len(a.Paths), broken)
	if broken > 0 {
		return ErrBroken
	}
	return nil
}

func load(path string) (t trace.Trace, err error) {
	defer func() { err = errors.Wrap(err, path) }()
	f, err := os.Open(path) //nolint:gosec // the operator names the file
	if err != nil {
		return t, err
	}
	defer func() { err = errors.CombineErrors(err, f.Close()) }()
	return trace.Read(f)
}

func print(w io.Writer, path string, r Report) (broken int) {
	fmt.Fprintf(w, "%s: %d of %d programs completed, p50 %s p95 %s p99 %s, wasted %d of %d prefilled tokens\n",
		path, r.Completed, r.Programs, round(r.P50), round(r.P95), round(r.P99), r.Wasted, r.Prefilled)
	for _, b := range r.Broken {
		fmt.Fprintf(w, "%s:%d: %s\n", path, b.Line, b.Text)
	}
	return len(r.Broken)
}

func difference(w io.Writer, a, b Report) {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "\t%s\t%s\tdifference\t\n", a.Policy, b.Policy)
	for _, m := range []string{"completed", "refused", "gave_up", "p50_ms", "p95_ms", "p99_ms", "wasted_tokens", "dispatched", "retries"} {
		x, _ := a.measure(m)
		y, _ := b.measure(m)
		fmt.Fprintf(t, "%s\t%.0f\t%.0f\t%+.0f\t\n", m, x, y, y-x)
	}
	_ = t.Flush()
}

// table prints, for each trace and policy, the means over the seeds.
func table(w io.Writer, a Args) error {
	fmt.Fprintln(w, "| trace | policy | completed % | p50 s | p95 s | p99 s | wasted tokens |")
	fmt.Fprintln(w, "|---|---|---:|---:|---:|---:|---:|")
	for _, path := range a.Paths {
		t, err := load(path)
		if err != nil {
			return err
		}
		for _, policy := range Policies() {
			if err = row(w, t, policy, a); err != nil {
				return err
			}
		}
	}
	return nil
}

func row(w io.Writer, t trace.Trace, policy string, a Args) error {
	var completed, p50, p95, p99, wasted float64
	n := float64(max(a.Seeds, 1))
	for seed := range uint64(n) {
		r, err := Replay(t, Options{Policy: policy, Seed: seed + 1, Gate: a.Gate})
		if err != nil {
			return err
		}
		completed += 100 * float64(r.Completed) / float64(max(r.Programs, 1)) / n
		p50 += r.P50.Seconds() / n
		p95 += r.P95.Seconds() / n
		p99 += r.P99.Seconds() / n
		wasted += float64(r.Wasted) / n
	}
	_, err := fmt.Fprintf(w, "| %s | %s | %.1f | %.2f | %.2f | %.2f | %.0f |\n", t.Header.Name, policy, completed, p50, p95, p99, wasted)
	return err
}

func round(d time.Duration) time.Duration { return d.Round(10 * time.Millisecond) }
