package recap

import (
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	bySecond = "second"
	// wallClock is the least time in milliseconds, September 2001, that is shown as date and
	// time. A smaller one is a replay's, which counts from its start.
	wallClock = 1e12
	// restName is the row of all that are not among the first ones.
	restName = "rest"
)

// Dimensions are what programs can be summed up by, in the order of the report.
var Dimensions = []string{bySecond, "route", "account", "upstream", "front"}

type (
	// Report is what a log says. Times are in milliseconds.
	Report struct {
		Lines    Lines               `json:"lines"`
		From     string              `json:"from"`
		To       string              `json:"to"`
		Total    Row                 `json:"total"`
		Times    map[string]Quantile `json:"times"` // of programs, by outcome
		Causes   []Cause             `json:"causes"`
		Requests []Requests          `json:"requests_without_program"`
		Tables   []Table             `json:"tables"`

		seconds timeline
	}

	// Quantile has quantiles of the times of programs, exact to 1%.
	Quantile struct {
		P50 int64 `json:"p50_ms"`
		P95 int64 `json:"p95_ms"`
		P99 int64 `json:"p99_ms"`
		Max int64 `json:"max_ms"`
	}

	// Cause is why programs did not end in time.
	Cause struct {
		Outcome  string `json:"outcome"`
		Cause    string `json:"cause"`
		Programs int64  `json:"programs"`
		LostMs   int64  `json:"lost_ms"`
		Lost     Parts  `json:"lost_by_part_ms"`
	}

	// Table sums programs up by one of the Dimensions. Its rows add up to the total.
	Table struct {
		By    string `json:"by"`
		Step  int64  `json:"step_seconds,omitempty"`
		Of    int    `json:"of_rows"`            // how many there are; Rows may have fewer
		Names int    `json:"max_rows,omitempty"` // set if some names are counted together as label.Others
		Rows  []Row  `json:"rows"`
	}

	// Row is one row of a table.
	Row struct {
		Name string `json:"name"`
		Totals
		at int64 // for the order of seconds
	}
)

// MarshalJSON writes the counts by the names of the outcomes, beside the other fields.
func (r Row) MarshalJSON() ([]byte, error) {
	type plain Totals // without methods
	ended := make(map[string]int64, outcomeCount)
	for i, n := range r.Ended {
		ended[Outcome(i).String()] = n
	}
	return json.Marshal(struct {
		Name  string           `json:"name"`
		Ended map[string]int64 `json:"outcomes"`
		plain
	}{r.Name, ended, plain(r.Totals)})
}

// Report ends all programs and returns the report. Each table has the top rows with the most
// programs not in time; 0 means all rows. The State must not be used afterwards.
func (s *State) Report(by []string, top int) *Report {
	for e := s.recent.Front(); e != nil; e = s.recent.Front() {
		s.end(e.Value.(*program))
	}
	r := &Report{
		Lines: s.lines, Total: Row{Name: "total", Totals: s.total}, Times: map[string]Quantile{}, Causes: s.reasons(),
		Requests: s.requests(), seconds: s.seconds,
	}
	if s.lines.Requests > 0 {
		r.From, r.To = timeText(s.from), timeText(s.now)
	}
	for i, h := range s.times {
		if h != nil {
			r.Times[Outcome(i).String()] = Quantile{h.ValueAtQuantile(50), h.ValueAtQuantile(95), h.ValueAtQuantile(99), h.Max()}
		}
	}
	for _, dimension := range by {
		r.Tables = append(r.Tables, s.table(dimension, top))
	}
	return r
}

func (s *State) reasons() (causes []Cause) {
	for r, t := range s.causes {
		causes = append(causes, Cause{Outcome: r.outcome.String(), Cause: r.cause, Programs: t.Programs, LostMs: t.LostMs, Lost: t.Lost})
	}
	slices.SortFunc(causes, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Programs, a.Programs), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Cause, b.Cause))
	})
	return causes
}

func (s *State) requests() (kinds []Requests) {
	for id, r := range s.kinds {
		if r.Requests > 0 {
			r.Kind = s.names[byKind].name(uint32(id))
			kinds = append(kinds, r)
		}
	}
	slices.SortFunc(kinds, func(a, b Requests) int { return cmp.Compare(a.Kind, b.Kind) })
	return kinds
}

func (s *State) table(by string, top int) Table {
	t := Table{By: by}
	if by == bySecond {
		t.Step = max(s.seconds.step, 1)
		t.Rows = s.seconds.rows()
	} else {
		number := slices.Index(Dimensions, by) - 1 + byRoute
		for id, totals := range s.tables[number] {
			if totals.Programs > 0 {
				t.Rows = append(t.Rows, Row{Name: s.names[number].name(uint32(id)), Totals: totals})
			}
		}
		if len(s.names[number].list) >= maxNames {
			t.Names = maxNames
		}
	}
	t.Of = len(t.Rows)
	t.Rows = topRows(t.Rows, top)
	return t
}

// rows returns the totals in the order of time.
func (t *timeline) rows() (rows []Row) {
	for i, totals := range t.steps {
		at := i * t.step * 1000
		rows = append(rows, Row{Name: timeText(at), Totals: *totals, at: at})
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.at, b.at) })
	return rows
}

// topRows keeps the top rows with the most programs not in time and the most time lost, and
// adds the others up. Rows of seconds stay in the order of time.
func topRows(rows []Row, top int) []Row {
	order := func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.lost(), a.lost()), cmp.Compare(b.LostMs, a.LostMs), cmp.Compare(b.Programs, a.Programs), cmp.Compare(a.Name, b.Name))
	}
	slices.SortFunc(rows, order)
	if top <= 0 || len(rows) <= top {
		slices.SortStableFunc(rows, func(a, b Row) int { return cmp.Compare(a.at, b.at) })
		return rows
	}
	rest := Row{Name: restName}
	for i := range rows[top:] {
		rest.add(&rows[top+i].Totals)
	}
	rows = rows[:top]
	slices.SortStableFunc(rows, func(a, b Row) int { return cmp.Compare(a.at, b.at) })
	return append(rows, rest)
}

// timeText returns a time in milliseconds as seconds, or as date and time if it is one.
func timeText(ms int64) string {
	if ms < wallClock {
		return strconv.FormatFloat(float64(ms)/1000, 'f', -1, 64)
	}
	return time.UnixMilli(ms).UTC().Format("2006-01-02T15:04:05.999Z")
}

// JSON writes the report as JSON.
func (r *Report) JSON(w io.Writer) (err error) {
	defer func() { err = errors.Wrap(err, "write report") }()
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}
