package load

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/slaterock/slaterock/internal/edge/client"
	"github.com/slaterock/slaterock/internal/prog/result"
)

const (
	maxMicros = 24 * 3600 * 1_000_000 // upper bound of recorded times
	precision = 3                     // significant digits
)

type (
	// Quantiles are quantiles of a duration, in seconds.
	Quantiles struct {
		Count int64   `json:"count"`
		P50   float64 `json:"p50"`
		P95   float64 `json:"p95"`
		P99   float64 `json:"p99"`
		Max   float64 `json:"max"`
	}

	// Report is the result of a run. Program is the time from a program's due time
	// to its end, Active the same without the program's own pauses. Of each pair
	// of prompts of equal size one goes through the system (Paired), the other
	// directly to an engine (Direct); Added is the difference of their quantiles.
	// Program and Active include the wait for the direct call. Refusals counts all
	// failed attempts by code, also connection failures and unknown outcomes.
	Report struct {
		Seconds    float64             `json:"seconds"`
		Started    int                 `json:"programs_started"`
		Finished   int                 `json:"programs_finished"`
		Failed     int                 `json:"programs_failed"`
		NotStarted int                 `json:"programs_not_started"`
		Calls      int                 `json:"model_calls"`
		Services   int                 `json:"service_calls"`
		Repeats    int                 `json:"repeats"`
		Output     int                 `json:"output_tokens"`
		Prompt     int                 `json:"prompt_tokens"`
		Cached     int                 `json:"cached_tokens"`
		Wasted     int                 `json:"wasted_tokens"` // prefilled again although the previous turn had sent them
		Program    Quantiles           `json:"program_seconds"`
		Active     Quantiles           `json:"active_seconds"`
		First      Quantiles           `json:"first_token_seconds"`
		Between    Quantiles           `json:"between_pieces_seconds"`
		Paired     StreamTimes         `json:"paired"`
		Direct     StreamTimes         `json:"direct"`
		Added      StreamTimes         `json:"added"`
		Refusals   map[result.Code]int `json:"refusals"`
		Faults     int                 `json:"faults"`
		Notes      []string            `json:"fault_notes,omitempty"`
		Errors     []string            `json:"errors,omitempty"` // of failed programs, the first maxNotes
	}

	// StreamTimes holds the quantiles of a set of streamed answers.
	StreamTimes struct {
		First   Quantiles `json:"first_token_seconds"`
		Between Quantiles `json:"between_pieces_seconds"`
	}

	// streamHistograms holds the histograms of streamed answers.
	streamHistograms struct {
		first   *hdrhistogram.Histogram
		between *hdrhistogram.Histogram
	}

	// tally accumulates the results during a run. It is safe for concurrent use.
	tally struct {
		mu          sync.Mutex
		idle        *sync.Cond
		open        int
		report      Report
		program     *hdrhistogram.Histogram
		active      *hdrhistogram.Histogram
		all         streamHistograms
		paired      streamHistograms
		directTimes streamHistograms
	}
)

func (t *tally) init() {
	t.idle = sync.NewCond(&t.mu)
	t.report.Refusals = map[result.Code]int{}
	t.program, t.active = newHistogram(), newHistogram()
	for _, s := range []*streamHistograms{&t.all, &t.paired, &t.directTimes} {
		*s = streamHistograms{first: newHistogram(), between: newHistogram()}
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMicros, precision)
}

func (t *tally) start() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Started++
	t.open++
}

func (t *tally) notStarted() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Started--
	t.report.NotStarted++
	t.close()
}

func (t *tally) close() {
	t.open--
	if t.open == 0 {
		t.idle.Broadcast()
	}
}

// waitIdle blocks until no program is running.
func (t *tally) waitIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for t.open > 0 {
		t.idle.Wait()
	}
}

func (t *tally) finish(latency, active time.Duration, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.close()
	if err != nil {
		t.report.Failed++
		if len(t.report.Errors) < maxNotes {
			t.report.Errors = append(t.report.Errors, err.Error())
		}
		return
	}
	t.report.Finished++
	record(t.program, latency)
	record(t.active, active)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxMicros))
}

func (t *tally) model(a client.Answer, prevPromptTokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Calls++
	t.report.Output += a.Output
	t.report.Prompt += a.Prompt
	t.report.Cached += a.Cached
	t.report.Wasted += max(0, prevPromptTokens-a.Cached)
}

func (s streamHistograms) record(w stopwatch) {
	record(s.first, w.first)
	for _, gap := range w.gaps {
		record(s.between, gap)
	}
}

func (s streamHistograms) quantiles() StreamTimes {
	return StreamTimes{First: quantiles(s.first), Between: quantiles(s.between)}
}

func (t *tally) recordStream(w stopwatch, paired bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all.record(w)
	if paired {
		t.paired.record(w)
	}
}

func (t *tally) direct(w stopwatch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.directTimes.record(w)
}

func (t *tally) service() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Services++
}

func (t *tally) countRetry() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Repeats++
}

func (t *tally) countRefusal(code result.Code) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Refusals[code]++
}

func (t *tally) end(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Seconds = took.Seconds()
}

// line returns a progress line.
func (t *tally) line(faults int) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.report
	return fmt.Sprintf("%d programs started, %d under way, %d finished, %d failed; %d model calls, %d refusals, %d faults",
		r.Started, t.open, r.Finished, r.Failed, r.Calls, total(r.Refusals), faults)
}

func total(counts map[result.Code]int) (n int) {
	for _, c := range counts {
		n += c
	}
	return n
}

func (t *tally) result(c *checker) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.report
	r.Refusals = maps.Clone(r.Refusals)
	r.Program, r.Active = quantiles(t.program), quantiles(t.active)
	r.First, r.Between = quantiles(t.all.first), quantiles(t.all.between)
	r.Paired, r.Direct = t.paired.quantiles(), t.directTimes.quantiles()
	r.Added = StreamTimes{
		First:   added(r.Paired.First, r.Direct.First),
		Between: added(r.Paired.Between, r.Direct.Between),
	}
	r.Faults, r.Notes = c.finish()
	return r
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e6 }
	return Quantiles{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1e6}
}

// added returns the difference of the quantiles, or zero without direct calls.
func added(system, direct Quantiles) Quantiles {
	if direct.Count == 0 {
		return Quantiles{}
	}
	return Quantiles{
		Count: direct.Count, P50: system.P50 - direct.P50, P95: system.P95 - direct.P95,
		P99: system.P99 - direct.P99, Max: system.Max - direct.Max,
	}
}
