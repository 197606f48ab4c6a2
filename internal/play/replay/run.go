package replay

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/play/trace"
)

type (
	// Args are the arguments of the replay command.
	Args struct {
		Paths     []string
		Policy    string // without Table: also replay under this policy and print the difference
		Seeds     int    // with Table: number of seeds to average over
		Table     bool   // print a Markdown table of all policies
		Admission Admission
	}
)

// ErrUnmet reports expectations that were not met.
var ErrUnmet = errors.New("expectations not met")

// printer writes to w and keeps the first write error.
type printer struct {
	w   io.Writer
	err error
}

// Run replays the traces. For each it prints a summary, the unmet expectations with
// their lines and, with a.Policy, the comparison; with a.Table it prints only the
// table. The error is ErrUnmet if an expectation was not met.
func Run(w io.Writer, a Args) (err error) {
	defer func() { err = errors.Wrap(err, "replay") }()
	p := &printer{w: w}
	if a.Table {
		return p.table(a)
	}
	unmet := 0
	for _, path := range a.Paths {
		n, err := p.replay(path, a)
		if err != nil {
			return err
		}
		unmet += n
	}
	p.printf("%d traces, %d broken outcomes\n", len(a.Paths), unmet)
	if p.err == nil && unmet > 0 {
		return ErrUnmet
	}
	return p.err
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

func (p *printer) replay(path string, a Args) (unmet int, err error) {
	t, err := load(path)
	if err != nil {
		return 0, err
	}
	r, err := Replay(t, Options{Admission: a.Admission})
	if err != nil {
		return 0, err
	}
	p.printf("%s: %d of %d programs completed, p50 %s p95 %s p99 %s, wasted %d of %d prefilled tokens\n",
		path, r.Completed, r.Programs, round(r.P50), round(r.P95), round(r.P99), r.Wasted, r.Prefilled)
	for _, u := range r.Unmet {
		p.printf("%s:%d: %s\n", path, u.Line, u.Text)
	}
	if a.Policy != "" {
		other, err := Replay(t, Options{Policy: a.Policy, Admission: a.Admission})
		if err != nil {
			return 0, err
		}
		p.compare(r, other)
	}
	return len(r.Unmet), nil
}

func load(path string) (t trace.Trace, err error) {
	defer func() { err = errors.Wrap(err, path) }()
	f, err := os.Open(path) //nolint:gosec // the path is the operator's argument
	if err != nil {
		return t, err
	}
	defer func() { err = errors.CombineErrors(err, f.Close()) }()
	return trace.Read(f)
}

func (p *printer) compare(a, b Report) {
	p.printf("%16s %18s %18s %12s\n", "", a.Policy, b.Policy, "difference")
	for _, m := range []string{"completed", "refused", "gave_up", "p50_ms", "p95_ms", "p99_ms", "wasted_tokens", "dispatched", "retries"} {
		x, _ := a.measure(m)
		y, _ := b.measure(m)
		p.printf("%16s %18.0f %18.0f %+12.0f\n", m, x, y, y-x)
	}
}

// table prints the means over the seeds for each trace and policy.
func (p *printer) table(a Args) error {
	p.printf("| trace | policy | completed %% | p50 s | p95 s | p99 s | wasted tokens |\n|---|---|---:|---:|---:|---:|---:|\n")
	for _, path := range a.Paths {
		t, err := load(path)
		if err != nil {
			return err
		}
		for _, policy := range Policies() {
			if err = p.row(t, policy, a); err != nil {
				return err
			}
		}
	}
	return p.err
}

func (p *printer) row(t trace.Trace, policy string, a Args) error {
	var completed, p50, p95, p99, wasted float64
	n := float64(max(a.Seeds, 1))
	for seed := range uint64(n) {
		r, err := Replay(t, Options{Policy: policy, Seed: seed + 1, Admission: a.Admission})
		if err != nil {
			return err
		}
		completed += 100 * float64(r.Completed) / float64(max(r.Programs, 1)) / n
		p50 += r.P50.Seconds() / n
		p95 += r.P95.Seconds() / n
		p99 += r.P99.Seconds() / n
		wasted += float64(r.Wasted) / n
	}
	p.printf("| %s | %s | %.1f | %.2f | %.2f | %.2f | %.0f |\n", t.Header.Name, policy, completed, p50, p95, p99, wasted)
	return p.err
}

func round(d time.Duration) time.Duration { return d.Round(10 * time.Millisecond) }
