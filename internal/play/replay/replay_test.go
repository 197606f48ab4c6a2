package replay

import (
	"bytes"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/place/sched"
	"github.com/slaterock/slaterock/internal/play/synth"
	"github.com/slaterock/slaterock/internal/play/trace"
)

var update = flag.Bool("update", false, "write the traces that the generator makes")

const tracesDir = "../../../traces/"

func scenario(t *testing.T, name string) trace.Trace {
	t.Helper()
	tr, err := load(tracesDir + name + ".jsonl")
	is.New(t).NoErr(err)
	return tr
}

func TestTracesMeetExpectations(t *testing.T) {
	paths, err := filepath.Glob(tracesDir + "*.jsonl")
	is.New(t).NoErr(err)
	is.New(t).Equal(len(paths), len(synth.Scenarios()))
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			var out bytes.Buffer
			if err := Run(&out, Args{Paths: []string{path}}); err != nil {
				t.Errorf("%v\n%s", err, out.String())
			}
		})
	}
}

// The committed traces must equal the generator's output; otherwise a change of
// the generator would have no effect on the measured traces.
func TestTracesAreGenerated(t *testing.T) {
	for _, s := range synth.Scenarios() {
		t.Run(s.Name, func(t *testing.T) {
			is := is.New(t)
			var want bytes.Buffer
			is.NoErr(s.Build(1).Write(&want))
			if *update {
				is.NoErr(os.WriteFile(tracesDir+s.Name+".jsonl", want.Bytes(), 0o600))
			}
			got, err := os.ReadFile(tracesDir + s.Name + ".jsonl")
			is.NoErr(err)
			is.True(bytes.Equal(got, want.Bytes()))
			is.True(len(got) < 300_000)
		})
	}
}

func TestSameSeedSameReport(t *testing.T) {
	is := is.New(t)
	tr := scenario(t, "rolling_replacement")
	one, err := Replay(tr, Options{Seed: 3})
	is.NoErr(err)
	two, err := Replay(tr, Options{Seed: 3})
	is.NoErr(err)
	is.Equal(one, two)
	other, err := Replay(tr, Options{Seed: 4})
	is.NoErr(err)
	is.True(other.P95 != one.P95)
}

// Programs arrive at three times the engines' capacity. Without load shedding,
// latency grows until all callers give up and the work for their programs is
// wasted: goodput drops to zero with all engines busy.
func TestGoodputHoldsUnderOverload(t *testing.T) {
	is := is.New(t)
	peak, last := 0.0, 0.0
	for _, times := range []float64{1, 1.5, 3} {
		r, err := Replay(synth.Overload(times, 1), Options{})
		is.NoErr(err)
		t.Logf("%.2f times capacity: goodput %.2f/s, completed %d, refused %d, gave up %d", times, r.Goodput, r.Completed, r.Refused, r.GaveUp)
		peak, last = max(peak, r.Goodput), r.Goodput
		is.Equal(r.FalseRefusals, 0)
		is.Equal(r.HeldPrograms, 0)
	}
	is.True(last >= 0.9*peak)
}

// faultyScheduler alters the production scheduler's effects.
type faultyScheduler struct {
	sched.Sched
	alter func(now time.Time, m sched.Message, out []sched.Effect) []sched.Effect
}

func (w *faultyScheduler) Step(now time.Time, m sched.Message) []sched.Effect {
	return w.alter(now, m, w.Sched.Step(now, m))
}

// Each alteration is a scheduler fault that the expectations of the traces must
// detect.
func TestMistakesAreCaught(t *testing.T) {
	type mistake = func(now time.Time, m sched.Message, out []sched.Effect) []sched.Effect
	drop := func(unwanted func(sched.Effect) bool) mistake {
		return func(_ time.Time, _ sched.Message, out []sched.Effect) (remaining []sched.Effect) {
			for _, e := range out {
				if !unwanted(e) {
					remaining = append(remaining, e)
				}
			}
			return remaining
		}
	}
	tests := map[string]struct {
		trace   string
		alter   mistake
		measure string // of the expectation that must fail
	}{
		"memory is not released": {"mafuta_day", drop(func(e sched.Effect) bool {
			_, ok := e.(sched.Release)
			return ok
		}), "held_programs"},
		"every request is sent twice": {"mafuta_day", func(_ time.Time, _ sched.Message, out []sched.Effect) []sched.Effect {
			for _, e := range out {
				if a, ok := e.(sched.Assign); ok {
					out = append(out, a)
				}
			}
			return out
		}, "repeated"},
		"refused after it was sent": {"mafuta_day", func(_ time.Time, _ sched.Message, out []sched.Effect) []sched.Effect {
			for _, e := range out {
				if a, ok := e.(sched.Assign); ok {
					out = append(out, sched.Refuse{ID: a.ID, Code: "overloaded"})
				}
			}
			return out
		}, "false_refusals"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, err := Replay(scenario(t, tt.trace), Options{Scheduler: func(int) Scheduler { return &faultyScheduler{alter: tt.alter} }})
			is.NoErr(err)
			found := false
			for _, b := range r.Unmet {
				found = found || strings.HasPrefix(b.Text, tt.measure)
			}
			is.True(found)
		})
	}
}

func TestLateDispatchIsCaught(t *testing.T) {
	is := is.New(t)
	r, err := Replay(scenario(t, "rolling_replacement"), Options{Scheduler: func(int) Scheduler { return &leaveBlindScheduler{} }})
	is.NoErr(err)
	is.True(r.LateDispatches > 0)
	is.True(r.CutStreams > 0)
}

// leaveBlindScheduler ignores all information that an upstream is leaving.
type leaveBlindScheduler struct{ sched.Sched }

func (d *leaveBlindScheduler) Step(now time.Time, m sched.Message) []sched.Effect {
	switch m := m.(type) {
	case sched.VMs:
		return nil
	case sched.Load:
		m.Report.Leaving = false
		return d.Sched.Step(now, m)
	}
	return d.Sched.Step(now, m)
}

func TestUnmetExpectationsAreReported(t *testing.T) {
	bound := 1.0
	tests := map[string]struct {
		expect trace.Expect
		want   string
	}{
		"at most":  {trace.Expect{Measure: "p95_ms", AtMost: &bound, Line: 7}, "p95_ms is"},
		"at least": {trace.Expect{Measure: "completed", AtLeast: 1e6, Line: 7}, "expected at least"},
		"program":  {trace.Expect{Program: "p0", Outcome: "unknown", Line: 7}, `program p0 ended as "completed"`},
		"measure":  {trace.Expect{Measure: "weather", Line: 7}, "unknown measure"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tr := scenario(t, "hung_tool")
			tr.Expects = []trace.Expect{tt.expect}
			r, err := Replay(tr, Options{})
			is.NoErr(err)
			is.Equal(len(r.Unmet), 1)
			is.Equal(r.Unmet[0].Line, 7)
			is.True(strings.Contains(r.Unmet[0].Text, tt.want))
		})
	}
}

func TestRunComparesPolicies(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	paths := []string{tracesDir + "looping_program.jsonl"}
	is.NoErr(Run(&out, Args{Paths: paths, Policy: "round_robin"}))
	is.True(strings.Contains(out.String(), "difference"))
	is.True(strings.Contains(out.String(), "1 traces, 0 broken outcomes"))
	is.NoErr(Run(&out, Args{Paths: paths, Table: true, Seeds: 1}))
	is.True(strings.Contains(out.String(), "| looping_program | sticky_hash |"))
	is.True(Run(&out, Args{Paths: paths, Policy: "guess"}) != nil)

	failing := filepath.Join(t.TempDir(), "broken.jsonl")
	tr := scenario(t, "looping_program")
	tr.Expects = append(tr.Expects, trace.Expect{Measure: "completed", AtLeast: 1e6})
	var b bytes.Buffer
	is.NoErr(tr.Write(&b))
	is.NoErr(os.WriteFile(failing, b.Bytes(), 0o600))
	out.Reset()
	is.True(errors.Is(Run(&out, Args{Paths: []string{failing}}), ErrUnmet))
	last := bytes.Count(b.Bytes(), []byte("\n"))
	is.True(strings.Contains(out.String(), filepath.Base(failing)+":"+strconv.Itoa(last)+": completed is"))
}
