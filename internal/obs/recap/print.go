package recap

import (
	"cmp"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// printer writes the report for people. It keeps the first error.
type printer struct {
	w   io.Writer
	err error
}

// Print writes the report as tables. The parts of a row add up to its time lost.
func (r *Report) Print(w io.Writer) error {
	p := &printer{w: w}
	p.head(r)
	p.outcomes(r)
	p.causes(r)
	p.requests(r)
	for _, t := range r.Tables {
		p.table(t, r.Total)
	}
	return p.err
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

// rows writes lines of cells, separated by tabs, in columns.
func (p *printer) rows(lines []string) {
	if p.err != nil {
		return
	}
	tw := tabwriter.NewWriter(p.w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, line := range lines {
		_, _ = fmt.Fprintln(tw, line+"\t") // Flush returns the error
	}
	p.err = tw.Flush()
}

func (p *printer) head(r *Report) {
	l := r.Lines
	p.printf("%d request lines from %s to %s, %d other lines\n", l.Requests, cmp.Or(r.From, "-"), cmp.Or(r.To, "-"), l.Other)
	if l.Unreadable > 0 {
		p.printf("unreadable lines: %d, the first is %s\n", l.Unreadable, l.First)
	}
	if l.Unordered > 0 {
		p.printf("lines out of order: %d; their programs may be counted twice; name each front's log as a file of its own\n", l.Unordered)
	}
	if l.Cut > 0 {
		p.printf("programs counted before they were silent for long, since too many were in progress: %d\n", l.Cut)
	}
}

func (p *printer) outcomes(r *Report) {
	lines := []string{"outcome\tprograms\tshare\tp50_ms\tp95_ms\tp99_ms\tmax_ms"}
	for i, n := range r.Total.Ended {
		q := r.Times[Outcome(i).String()]
		lines = append(lines, fmt.Sprintf("%s\t%d\t%.1f%%\t%d\t%d\t%d\t%d", Outcome(i), n, percent(n, r.Total.Programs), q.P50, q.P95, q.P99, q.Max))
		if Outcome(i) == Late {
			lines = append(lines, fmt.Sprintf("late_twice\t%d\t%.1f%%\t\t\t\t", r.Total.LateTwice, percent(r.Total.LateTwice, r.Total.Programs)))
		}
	}
	lines = append(lines, fmt.Sprintf("total\t%d\t\t\t\t\t", r.Total.Programs))
	p.printf("\nPrograms by outcome (late_twice: of the late ones, those that took more than twice their time)\n")
	p.rows(lines)
}

func (p *printer) causes(r *Report) {
	if len(r.Causes) == 0 {
		return
	}
	lines := []string{"outcome\tcause\tprograms\tlost_s" + partHead()}
	for _, c := range r.Causes {
		lines = append(lines, fmt.Sprintf("%s\t%s\t%d\t%s", c.Outcome, printable(c.Cause), c.Programs, seconds(c.LostMs))+partCells(c.Lost))
	}
	p.printf("\nPrograms not in time by cause (late ones: the largest part of their time), and where their time went, in seconds\n")
	p.rows(lines)
}

func (p *printer) requests(r *Report) {
	if len(r.Requests) == 0 {
		return
	}
	lines := []string{"kind\trequests\tanswered\trefused\tfailed"}
	for _, k := range r.Requests {
		lines = append(lines, fmt.Sprintf("%s\t%d\t%d\t%d\t%d", printable(k.Kind), k.Requests, k.Answered, k.Refused, k.Failed))
	}
	p.printf("\nRequests without a program\n")
	p.rows(lines)
}

func (p *printer) table(t Table, total Row) {
	p.printf("\nBy %s", t.By)
	if t.Step > 1 {
		p.printf(", %d s a row", t.Step)
	}
	if len(t.Rows) > 0 && t.Rows[len(t.Rows)-1].Name == restName {
		p.printf(", %d of %d rows, those with the most programs not in time", len(t.Rows)-1, t.Of)
	}
	if t.Names > 0 {
		p.printf(", names after the first %d counted as others", t.Names)
	}
	p.printf("\n")
	head := t.By + "\tprograms\t" + strings.Join(outcomeNames[:], "\t") + "\tmean_ms\tlost_s" + partHead()
	lines := []string{head}
	for _, row := range append(t.Rows[:len(t.Rows):len(t.Rows)], total) {
		lines = append(lines, rowCells(row))
	}
	p.rows(lines)
}

func rowCells(r Row) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\t%d", printable(r.Name), r.Programs)
	for _, n := range r.Ended {
		fmt.Fprintf(&b, "\t%d", n)
	}
	fmt.Fprintf(&b, "\t%d\t%s", r.TimeMs/max(r.Programs, 1), seconds(r.LostMs))
	return b.String() + partCells(r.Lost)
}

func partHead() string { return "\t" + strings.Join(partNames[:], "\t") }

func partCells(parts Parts) string {
	var b strings.Builder
	for _, ms := range parts {
		b.WriteString("\t" + seconds(ms))
	}
	return b.String()
}

// seconds writes milliseconds exactly, so that what is printed adds up.
func seconds(ms int64) string { return fmt.Sprintf("%d.%03d", ms/1000, ms%1000) }

// printable replaces what would break a table or a terminal: names come from logs.
func printable(name string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, name)
}

func percent(n, of int64) float64 { return 100 * float64(n) / float64(max(of, 1)) }
