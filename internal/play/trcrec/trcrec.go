// Package trcrec records a daemon's workload as a trace that package replay can
// replay.
//
// A program is written when it ends: its arrival time, its calls with the tokens
// that each added, and its pauses. A replay also needs the upstreams' speeds, so
// Recorder estimates each upstream's prefill and decode speed from its attempts
// and writes them on Close. Prompts, keys and answers are not recorded.
package trcrec

import (
	"cmp"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/play/trace"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/result"
)

const (
	reportInterval = 500 * time.Millisecond // between load reports, as the daemon requests them
	maxPrograms    = 1 << 16                // open at a time; further ones are not recorded
)

type (
	// Recorder writes one daemon's trace to W. Its exported fields must be set
	// before the first call. Methods are safe for concurrent use; on a nil
	// Recorder they do nothing. Write errors are kept until Close.
	Recorder struct {
		W    io.Writer
		Name string
		Now  func() time.Time // nil is time.Now

		mu       sync.Mutex
		start    time.Time
		cfg      file.File
		programs map[string]*program
		stats    map[string]*upstreamStats
		err      error
	}

	program struct {
		trace.Program
		tokens  int       // of the conversation so far
		lastEnd time.Time // end of the latest call
	}
)

// Configure sets the current configuration. The first call writes the header and
// the services.
func (r *Recorder) Configure(f file.File) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cfg = f
	if r.programs != nil {
		return
	}
	r.programs, r.stats = map[string]*program{}, map[string]*upstreamStats{}
	r.start = r.now()
	h := trace.Header{
		Version:       1,
		Name:          r.Name,
		Owners:        1,
		LatencyWeight: f.System.LatencyWeight,
		CacheWeight:   f.System.CacheWeight,
		RetryShare:    f.Limits.RetryShare,
		HedgeShare:    f.Limits.HedgeShare,
		TimeoutMS:     f.Limits.UpstreamTimeout.Milliseconds(),
		MaxRetries:    1,
		RecordedAt:    r.start.UTC().Format(time.RFC3339),
	}
	for _, name := range slices.Sorted(maps.Keys(f.Groups)) {
		g := f.Groups[name]
		if g.Kind == file.Engines {
			h.QueueLimit, h.QueueWaitMS, h.MaxInflight = g.QueueLimit, g.QueueWait.Milliseconds(), g.MaxInflight
			break
		}
	}
	r.append(h)
	for _, name := range slices.Sorted(maps.Keys(f.Services)) {
		s := f.Services[name]
		r.append(trace.Service{Name: name, Group: s.Group, Idempotent: s.Idempotent, Hedge: s.Hedge, TimeoutMS: s.Timeout.Milliseconds()})
	}
}

func (r *Recorder) now() time.Time {
	if r.Now != nil {
		return r.Now()
	}
	return time.Now()
}

func (r *Recorder) append(l trace.Line) {
	if r.err == nil {
		r.err = trace.Append(r.W, l)
	}
}

// Load records the cache size in an engine's load report.
func (r *Recorder) Load(upstream string, l engine.Load) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stats != nil {
		r.statsOf(upstream).cacheTokens = l.Total
	}
}

func (r *Recorder) statsOf(upstream string) *upstreamStats {
	u := r.stats[upstream]
	if u == nil {
		u = &upstreamStats{}
		r.stats[upstream] = u
	}
	return u
}

// Call records a call that ended; id is the program's. A program is not recorded if
// its first call seen is not number 0, or if maxPrograms are open.
func (r *Recorder) Call(account, id string, c hist.Call) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.programs == nil {
		return
	}
	for i, a := range c.Tries {
		last := i == len(c.Tries)-1 && c.Result.OK()
		r.statsOf(a.Upstream).addAttempt(a, c, last)
	}
	p := r.programs[id]
	if p == nil {
		if len(r.programs) >= maxPrograms || c.Number != 0 {
			return // at the limit, or earlier calls are unknown and a replay would not match
		}
		p = &program{}
		p.Name, p.Account, p.Budget = id, account, c.BudgetBefore
		p.AtMS = c.Start.Sub(r.start).Milliseconds()
		r.programs[id] = p
	}
	if c.Result.Ran != result.No {
		p.add(c, r.cfg)
	}
}

// add appends the call and sets the pause of the previous call.
func (p *program) add(c hist.Call, cfg file.File) {
	if n := len(p.Calls); n > 0 {
		p.Calls[n-1].PauseMS = max(0, c.Start.Sub(p.lastEnd).Milliseconds())
	}
	p.lastEnd = c.End
	out := trace.Call{}
	if c.Kind == call.Service {
		out.Service = serviceOf(c.Target)
		out.WorkMS = serviceTime(c)
	} else {
		p.Group = cfg.Models[c.Target].Group
		out.Prompt, out.Output = max(1, c.Result.Prompt-p.tokens), max(1, c.Result.Output)
		p.tokens = c.Result.Prompt + c.Result.Output
	}
	p.Calls = append(p.Calls, out)
}

// serviceOf returns the service name of a target such as receipts/issue.
func serviceOf(target string) string {
	for i, r := range target {
		if r == '/' {
			return target[:i]
		}
	}
	return target
}

func serviceTime(c hist.Call) int64 {
	if n := len(c.Tries); n > 0 {
		return c.Tries[n-1].End.Sub(c.Tries[n-1].Start).Milliseconds()
	}
	return 0
}

// End writes the program and forgets it. A program without calls is not written.
func (r *Recorder) End(id string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.programs[id]
	delete(r.programs, id)
	if p == nil || len(p.Calls) == 0 {
		return
	}
	if p.Group == "" {
		p.Group = r.firstEngineGroup()
	}
	r.append(p.Program)
}

func (r *Recorder) firstEngineGroup() string {
	for _, name := range slices.Sorted(maps.Keys(r.cfg.Groups)) {
		if r.cfg.Groups[name].Kind == file.Engines {
			return name
		}
	}
	return ""
}

// Close writes the upstreams and the expectations that hold under every policy.
// It returns the first write error of the whole recording.
func (r *Recorder) Close() (err error) {
	if r == nil {
		return nil
	}
	defer func() { err = errors.Wrap(err, "tape") }()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.programs == nil {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(r.cfg.Upstreams)) {
		r.append(r.upstream(name))
	}
	none := 0.0
	for _, m := range []string{"repeated", "out_of_order", "over_budget", "held_programs", "false_refusals"} {
		r.append(trace.Expect{Measure: m, AtMost: &none})
	}
	return r.err
}

func (r *Recorder) upstream(name string) trace.Upstream {
	u := r.cfg.Upstreams[name]
	g := r.cfg.Groups[u.Group]
	l := r.statsOf(name)
	out := trace.Upstream{Name: name, Group: u.Group, FailureDomain: u.FailureDomain, Slots: cmp.Or(l.maxConcurrent, g.MaxInflight, 1)}
	if g.Kind == file.Services {
		out.Service = true
		return out
	}
	out.PrefillPerS, out.DecodeMS = l.speeds()
	out.CacheTokens = cmp.Or(l.cacheTokens, 1)
	out.ReportMS, out.LagMS = reportInterval.Milliseconds(), reportInterval.Milliseconds()
	return out
}
