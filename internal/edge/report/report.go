// Package report formats a program's history, the details of one request and the
// status of the daemons as text for people.
package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/result"
)

const (
	underWay   = "under way"
	none       = "-"
	timeFormat = "2006-01-02 15:04:05.000"
)

// Report writes to Out. After the first write error, which it keeps in Err, it
// writes nothing more.
type Report struct {
	Out io.Writer
	Err error
}

// History writes a program's history, one line per call.
func (r *Report) History(h hist.History) {
	r.printf("program %s of %s: %s, %d of %d tokens\n", h.Program, h.Account, ended(h), h.Spent, h.Budget)
	t := r.table("call", "kind", "target", "upstream", "attempts", "outcome", "ran", "tokens", "cached", "time")
	for _, c := range h.Calls {
		t.row(c.Number, c.Kind, c.Target, upstream(c), len(c.Tries), outcome(c), ran(c),
			c.Result.Prompt+c.Result.Output, c.Result.Cached, elapsed(c.Start, c.End))
	}
	t.flush()
}

// Request writes the details of the call that h holds.
func (r *Report) Request(h hist.History) {
	for _, c := range h.Calls {
		r.call(h, c)
	}
}

func (r *Report) call(h hist.History, c hist.Call) {
	t := r.table()
	t.row("request", c.Request)
	t.row("account", h.Account)
	t.row("program", program(h))
	t.row("call", c.Number)
	t.row("asked", fmt.Sprintf("%s %s, sha256 %s", c.Kind, c.Target, c.Digest))
	t.row("outcome", describeOutcome(c))
	t.row("ran", ran(c))
	t.row("tokens", fmt.Sprintf("%d prompt (%d cached), %d output", c.Result.Prompt, c.Result.Cached, c.Result.Output))
	t.row("budget", fmt.Sprintf("%d tokens before, %d after", c.BudgetBefore, c.BudgetAfter))
	t.row("configuration", fmt.Sprintf("version %d", c.Config))
	t.row("owner's epoch", c.Epoch)
	t.row("started", c.Start.UTC().Format(timeFormat))
	t.row("took", elapsed(c.Start, c.End))
	t.flush()
	r.attempts(c)
	r.text("asked", c.Asked)
	r.text("answer", string(c.Result.Body))
	r.text("note", c.Note)
}

func (r *Report) attempts(c hist.Call) {
	if len(c.Tries) == 0 {
		r.printf("\nno attempt was made at any upstream\n")
		return
	}
	r.printf("\n")
	t := r.table("attempt", "upstream", "started", "took", "ended")
	for i, a := range c.Tries {
		t.row(i+1, a.Upstream, a.Start.UTC().Format(timeFormat), elapsed(a.Start, a.End), orDefault(a.Ended, underWay))
	}
	t.flush()
}

// text writes a titled block of text, indented so that its lines can't be mistaken
// for lines of the report.
func (r *Report) text(title, s string) {
	if s == "" {
		return
	}
	r.printf("\n%s:\n", title)
	for line := range strings.Lines(s) {
		r.printf("    %s\n", replaceControl(strings.TrimRight(line, "\r\n")))
	}
}

func (r *Report) printf(format string, args ...any) {
	if r.Err == nil {
		_, r.Err = fmt.Fprintf(r.Out, format, args...)
	}
}

// table is a block of aligned columns.
type table struct {
	r *Report
	w *tabwriter.Writer
}

func (r *Report) table(titles ...any) table {
	t := table{r: r, w: tabwriter.NewWriter(r.Out, 0, 0, 2, ' ', 0)}
	if len(titles) > 0 {
		t.row(titles...)
	}
	return t
}

func (t table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = replaceControl(fmt.Sprint(c))
	}
	if t.r.Err == nil {
		_, t.r.Err = fmt.Fprintln(t.w, strings.Join(texts, "\t"))
	}
}

func (t table) flush() {
	if t.r.Err == nil {
		t.r.Err = t.w.Flush()
	}
}

// replaceControl replaces ASCII control characters by spaces, so that callers' text can't
// move the terminal's cursor or break the table.
func replaceControl(s string) string {
	return strings.Map(func(c rune) rune {
		if c < ' ' || c == 0x7f {
			return ' '
		}
		return c
	}, s)
}

func program(h hist.History) string {
	s := h.Program
	if h.Agent != "" {
		s += ", agent " + h.Agent
	}
	return s + ", " + ended(h)
}

func ended(h hist.History) string { return orDefault(h.Ended, "open") }

func upstream(c hist.Call) string {
	if len(c.Tries) == 0 {
		return none
	}
	return c.Tries[len(c.Tries)-1].Upstream
}

func outcome(c hist.Call) string { return orDefault(string(c.Result.Code), underWay) }

func ran(c hist.Call) string { return orDefault(string(c.Result.Ran), none) }

// describeOutcome returns the outcome with its message, and the HTTP status of a
// successful service call.
func describeOutcome(c hist.Call) string {
	s := outcome(c)
	if c.Result.Message != "" {
		s += ": " + c.Result.Message
	}
	if c.Result.Code == result.CodeOK && c.Kind == call.Service {
		s += fmt.Sprintf(", status %d", c.Result.Status)
	}
	return s
}

func elapsed(start, end time.Time) string {
	if end.IsZero() {
		return underWay
	}
	return end.Sub(start).Round(time.Millisecond).String()
}

func orDefault(s, other string) string {
	if s == "" {
		return other
	}
	return s
}
