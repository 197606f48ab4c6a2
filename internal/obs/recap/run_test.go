package recap

import (
	"context"
	"encoding/json"
	"encoding/xml"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// day has two seconds: in the first all is well, in the second one upstream is slow.
var day = entry(10.2, "f1", "p1", turn, ok, `"finish_ms":900,"first_ms":50,"took_ms":100`) +
	entry(11.4, "f1", "p2", turn, ok, `"finish_ms":200,"first_ms":50,"took_ms":300`) +
	entry(11.6, "f2", "p3", `"kind":"stream","route":"r1","account":"a2","upstream":"u2"`, ok, `"finish_ms":200,"first_ms":50,"took_ms":350`) +
	"garbage\n" + entry(11.7, "f2", "p4", turn, limited, `"took_ms":0`) + entry(11.8, "f2", "p5", turn, broken, `"took_ms":20`)

func TestRunShowsTables(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	chart := filepath.Join(t.TempDir(), "chart.svg")
	is.NoErr(Run(t.Context(), &out, Args{Paths: []string{"-"}, Stdin: strings.NewReader(day), By: []string{"second", "upstream"}, Top: 1, Idle: DefaultIdle, SVG: chart}))
	var rows []string
	for line := range strings.Lines(out.String()) {
		rows = append(rows, strings.Join(strings.Fields(line), " "))
	}
	text := strings.Join(rows, "\n")
	for _, want := range []string{
		"5 request lines from 10.1 to 11.8, 0 other lines",
		"unreadable lines: 1, the first is standard input:4: no JSON object",
		"late 2 40.0% 301 351 351 351", // quantiles are exact to 1%: 300 and 350 ms
		"late events 2 0.650 0.000 0.000 0.000 0.100 0.550 0.000 0.000 0.000",
		"refused over_limit 1 0.000 0.000 0.000 0.000 0.000 0.000 0.000 0.000 0.000",
		"By second, 1 of 2 rows, those with the most programs not in time",
		"11 4 0 2 1 0 1 0 167 0.670 0.000 0.000 0.000 0.120 0.550 0.000 0.000 0.000",
		"rest 1 1 0 0 0 0 0 100 0.000",
		"total 5 1 2 1 0 1 0 154 0.670 0.000 0.000 0.000 0.120 0.550 0.000 0.000 0.000",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in\n%s", want, text)
		}
	}
	is.True(!strings.Contains(text, "By account"))
	svg, err := os.ReadFile(chart)
	is.NoErr(err)
	is.NoErr(wellFormed(string(svg)))
	for _, layer := range []string{"in time", "late", "refused", "failed"} {
		is.True(strings.Contains(string(svg), ">"+layer+"<"))
	}
}

func wellFormed(text string) error {
	for d := xml.NewDecoder(strings.NewReader(text)); ; {
		if _, err := d.Token(); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
	}
}

func TestRunWritesJSON(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	is.NoErr(Run(t.Context(), &out, Args{Paths: []string{"-"}, Stdin: strings.NewReader(day), By: Dimensions, Idle: DefaultIdle, JSON: true}))
	var r struct {
		Total struct {
			Outcomes map[string]int64
			LostMs   int64            `json:"lost_ms"`
			Lost     map[string]int64 `json:"lost_by_part_ms"`
		}
		Tables []struct {
			By   string
			Rows []struct{ Name string }
		}
	}
	is.NoErr(json.Unmarshal([]byte(out.String()), &r))
	is.Equal(r.Total.Outcomes, map[string]int64{"in_time": 1, "late": 2, "refused": 1, "refused_begun": 0, "failed": 1, "untimed": 0})
	is.Equal(r.Total.LostMs, int64(670))
	is.Equal(r.Total.Lost["events"], int64(550))
	is.Equal(len(r.Tables), len(Dimensions))
	is.Equal(r.Tables[0].Rows[1].Name, "11")
}

// An interrupt must end the command also while nothing comes from the standard input.
func TestRunEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		stdin, writer := io.Pipe()
		defer func() { is.NoErr(writer.Close()) }()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- Run(ctx, io.Discard, Args{Paths: []string{"-"}, Stdin: stdin, Idle: DefaultIdle}) }()
		synctest.Wait()
		cancel()
		is.True(errors.Is(<-done, context.Canceled))
	})
}

// An empty log is no failure: a front without callers has none.
func TestEmptyLog(t *testing.T) {
	is := is.New(t)
	chart := filepath.Join(t.TempDir(), "chart.svg")
	is.NoErr(Run(t.Context(), io.Discard, Args{Paths: []string{"-"}, Stdin: strings.NewReader(""), By: Dimensions, Idle: DefaultIdle, SVG: chart}))
}

// Charts of logs with the time of day, and of days, are drawn as well; bars stay few.
func TestChartOfADay(t *testing.T) {
	is := is.New(t)
	var s State
	start := time.Date(2026, 12, 4, 2, 5, 0, 0, time.UTC).UnixMilli()
	for i := range int64(5000) {
		s.Add(&Line{End: start + i*17_000, Program: string(rune(0x4e00 + i)), Outcome: codeAnswered, HasFinish: true})
	}
	r := s.Report(nil, 0)
	b := barsOf(&r.seconds)
	is.True(len(b.ended) <= maxBars)
	programs := 0.0
	for _, bar := range b.ended {
		programs += bar[InTime] * b.width
	}
	is.Equal(int(programs+0.5), 5000)
	var svg strings.Builder
	is.NoErr(r.Chart(&svg))
	is.True(strings.Contains(svg.String(), ">first attempt, UTC<"))
}

func TestRunRejectsArguments(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "missing.log")
	tests := map[string]struct {
		change func(*Args)
		says   string
	}{
		"no log":             {func(a *Args) { a.Paths = nil }, "no log was named"},
		"a log named twice":  {func(a *Args) { a.Paths = []string{"-", "-"} }, "named twice"},
		"a missing log":      {func(a *Args) { a.Paths = []string{missing} }, missing},
		"a folder":           {func(a *Args) { a.Paths = []string{filepath.Dir(missing)} }, "is a directory"},
		"an unknown table":   {func(a *Args) { a.By = []string{"hour"} }, "second, route, account, upstream, front"},
		"negative rows":      {func(a *Args) { a.Top = -1 }, "--top -1"},
		"no silence":         {func(a *Args) { a.Idle = 0 }, "--idle 0s"},
		"an unwritable file": {func(a *Args) { a.SVG = filepath.Join(missing, "chart.svg") }, "write chart"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := Args{Paths: []string{"-"}, Stdin: strings.NewReader(day), Idle: DefaultIdle}
			tt.change(&a)
			err := Run(t.Context(), io.Discard, a)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tt.says))
		})
	}
}
