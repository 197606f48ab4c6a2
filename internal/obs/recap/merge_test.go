package recap

import (
	"context"
	"errors"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestUnreadableLines(t *testing.T) {
	good := entry(1, "f", "p", turn, ok, `"finish_ms":900,"took_ms":100`)
	tests := map[string]struct {
		line   string
		reason string // empty for another line that can be read
	}{
		"cut off in a request line": {good[:len(good)-20], "unexpected end of JSON input"},
		"cut off in another line":   {`{"level":"info","mess`, "invalid JSON object"},
		"a crash":                   {"panic: runtime error", "no JSON object"},
		"not a name and a time":     {"2026-12-04 02:05:22 front " + good[strings.Index(good, "{"):], "more than a time and a name"},
		"not a time":                {"front " + good[strings.Index(good, "{"):], "time before the object"},
		"no time":                   {good[strings.Index(good, "{"):], errNoTime.Error()},
		"a text for a number":       {entry(1, "f", "p", ok, `"took_ms":"fast"`), "took_ms"},
		"a negative time":           {entry(1, "f", "p", ok, `"took_ms":-1`), "took_ms is -1"},
		"too long":                  {entry(1, "f", "p", ok, `"cause":"`+strings.Repeat("x", 3*maxLine)+`"`), errLong.Error()},
		"another message":           {`{"level":"info","message":"state changed: config"}`, ""},
		"another outcome":           {`{"outcome":"done","message":"copying of records ended"}`, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := summarize(t, &State{}, good, "\n"+strings.TrimSpace(tt.line)+"\n"+good)
			is.Equal(r.Lines.Requests, int64(2)) // lines before and after it count
			if tt.reason == "" {
				is.Equal([]int64{r.Lines.Unreadable, r.Lines.Other}, []int64{0, 1})
				return
			}
			is.Equal([]int64{r.Lines.Unreadable, r.Lines.Other}, []int64{1, 0})
			is.True(strings.HasPrefix(r.Lines.First, "log1:2: "))
			is.True(strings.Contains(r.Lines.First, tt.reason))
		})
	}
}

// A program whose attempts went to several fronts must count once, whichever log is named first.
func TestProgramInSeveralLogs(t *testing.T) {
	a := entry(1, "f1", "p", turn, ok, `"finish_ms":900,"took_ms":100`) + entry(90, "f1", "q", turn, ok, `"finish_ms":900,"took_ms":100`)
	b := entry(1.3, "f2", "p", turn, limited, `"finish_ms":700,"took_ms":0`) + entry(80, "f2", "r", turn, ok, `"finish_ms":900,"took_ms":100`)
	for name, logs := range map[string][]string{"in order": {a, b}, "the later first": {b, a}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := summarize(t, &State{}, logs...)
			is.Equal(r.Total.Programs, int64(3))
			is.Equal(r.Total.Ended[RefusedBegun], int64(1))
			is.Equal(r.Total.Lost, Parts{partFirst: 100, partBetween: 300})
			is.Equal(r.Lines.Unordered, int64(0))
		})
	}
	// One file with one log after the other is not sorted, which the report must say.
	is.New(t).True(summarize(t, &State{}, a+b).Lines.Unordered > 0)
}

func TestReadEnds(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	err := new(State).Read(ctx, []*Source{{Name: "log", R: newGenerator(10)}})
	is.True(errors.Is(err, context.Canceled))
}

// heapReader measures the heap while a log is read.
type heapReader struct {
	*generator
	reads int
	peak  uint64
}

func (r *heapReader) Read(p []byte) (int, error) {
	if r.reads++; r.reads%1000 == 0 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		r.peak = max(r.peak, m.HeapAlloc)
	}
	return r.generator.Read(p)
}

// Memory must depend on what is in progress, not on the length of the log: gigabytes have to be
// read on a small machine.
func TestMillionLinesInBoundedMemory(t *testing.T) {
	is := is.New(t)
	const lines = 1_000_000
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	log := &heapReader{generator: newGenerator(lines)}
	var s State
	is.NoErr(s.Read(t.Context(), []*Source{{Name: "log", R: log}}))
	is.Equal(s.lines.Requests, int64(lines))
	is.True(log.reads > 5000) // it was measured
	kept := log.peak - before.HeapAlloc
	t.Logf("at most %.1f MB of heap in use for %d lines", float64(kept)/1e6, lines)
	is.True(kept < 32<<20)
	r := s.Report(Dimensions, 20)
	for _, table := range r.Tables {
		var sum Totals
		for i := range table.Rows {
			sum.add(&table.Rows[i].Totals)
		}
		is.Equal(sum, r.Total.Totals) // rows and their rest add up
	}
	is.Equal(r.Lines.Cut+r.Lines.Unordered+r.Lines.Unreadable, int64(0))
}

// Logs with more programs at once, names and seconds than are kept must not take more memory,
// and each program must count in each table all the same.
func TestBoundsOfState(t *testing.T) {
	is := is.New(t)
	s := State{MaxPrograms: 100}
	const programs = 3 * maxNames
	for i := range programs {
		name := strings.Repeat("n", i/200) + string(rune(0x4e00+i%200))
		s.Add(&Line{End: int64(i) * 2000, Program: name, Account: name, Route: name, Upstream: name, Front: name, Kind: kindStream, Outcome: name})
		is.True(len(s.programs) <= 100)
	}
	for i := range maxSteps * 3 {
		s.seconds.at(int64(i) * 1000)
	}
	is.True(len(s.seconds.steps) <= maxSteps)
	r := s.Report(Dimensions, 0)
	is.Equal(r.Total.Programs, int64(programs))
	for _, table := range r.Tables {
		is.True(len(table.Rows) <= maxNames)
		var sum Totals
		for i := range table.Rows {
			sum.add(&table.Rows[i].Totals)
		}
		is.Equal(sum, r.Total.Totals)
	}
	is.True(len(s.causes) <= maxNames)
}
