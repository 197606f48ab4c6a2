package replay

import (
	"fmt"
	"slices"
	"time"

	"github.com/slaterock/slaterock/internal/place/sched"
	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/play/trace"
	"github.com/slaterock/slaterock/internal/prog/result"
)

const (
	maxTries   = 3
	comeBack   = 500 * time.Millisecond // without a hint
	storeHint  = 30 * time.Second       // for a call whose intent needs the store
	completed  = "completed"
	refused    = "refused"
	failed     = "failed"
	unknown    = "unknown"
	gaveUp     = "gave_up"
	cancelled  = "cancelled"
	overBudget = string(result.CodeBudget)
	overTurns  = string(result.CodeTurns)
)

type (
	// program is one program as it runs through the trace.
	program struct {
		t       *trace.Program
		owner   *owner
		begin   time.Duration // virtual time of arrival, -1 before
		started time.Time
		paused  time.Duration
		number  int // of the next call
		returns int // after refusals
		spent   int64
		chain   []engine.Block
		req     *request
		ended   bool
		outcome string
		latency time.Duration
	}

	// request is one call with its attempts.
	request struct {
		id       string
		p        *program
		call     trace.Call
		ask      sched.Submit
		blocks   []engine.Block
		attempts []*attempt // under way
		tries    int
		sent     bool // an attempt may have run
		runs     int
	}
)

func (p *program) arrive(w *world) {
	p.started = w.now
	if p.t.Context != "" {
		p.chain = append(p.chain, engine.Block{Hash: blockHash("context/%s", p.t.Context), Tokens: p.t.ContextTokens})
	}
	if d := w.t.Header.DeadlineMS; d > 0 {
		w.after(ms(d), func() { p.stop(w, gaveUp) })
	}
	if p.t.CancelMS > 0 {
		w.after(ms(p.t.CancelMS), func() { p.stop(w, cancelled) })
	}
	p.next(w)
}

// next makes the program's next call, or ends it after the last.
func (p *program) next(w *world) {
	if p.ended {
		return
	}
	if p.number >= len(p.t.Calls) && !p.t.Loop {
		p.stop(w, completed)
		return
	}
	if outcome := w.admit(p); outcome != "" {
		p.stop(w, outcome)
		return
	}
	c := p.t.Calls[p.number%len(p.t.Calls)]
	r := &request{id: fmt.Sprintf("%s/%d/%d", p.t.Name, p.number, p.returns), p: p, call: c}
	r.ask = sched.Submit{
		ID: r.id, Account: p.t.Account, Program: p.t.Name, Root: p.t.Name,
		Priority: p.t.Priority, Attained: p.spent, Group: p.t.Group, Model: p.t.Group,
	}
	if c.Service != "" {
		s := w.service(c.Service)
		r.ask.Group, r.ask.Model, r.ask.Service, r.ask.Idempotent = s.Group, "", s.Name, s.Idempotent
		if w.storeOut > 0 && !s.Idempotent {
			p.comeBack(w, storeHint) // its intent can't be committed
			return
		}
	} else {
		hash := blockHash("%s/%d", p.t.Name, p.number)
		r.blocks = append(slices.Clone(p.chain), engine.Block{Hash: hash, Tokens: c.Prompt})
		r.ask.Blocks, r.ask.MaxTokens = r.blocks, c.Output
		for _, b := range r.blocks {
			r.ask.Prompt += b.Tokens
		}
	}
	p.req = r
	w.byID[r.id] = r
	w.requests = append(w.requests, r)
	w.step(p.owner, r.ask)
}

func (w *world) admit(p *program) (outcome string) {
	if w.gate != nil {
		return w.gate.Admit(w.now, *p.t, p.number, p.spent)
	}
	c := p.t.Calls[p.number%len(p.t.Calls)]
	switch {
	case p.t.MaxTurns > 0 && p.number >= p.t.MaxTurns:
		return overTurns
	case p.t.Budget > 0 && p.spent+int64(c.Prompt+c.Output) > p.t.Budget:
		return overBudget
	}
	return ""
}

func (w *world) service(name string) trace.Service {
	i := slices.IndexFunc(w.t.Services, func(s trace.Service) bool { return s.Name == name })
	if i < 0 {
		return trace.Service{Name: name}
	}
	return w.t.Services[i]
}

// began notes that an upstream began to run the request. A second run of a
// call that is not idempotent is the worst that can happen.
func (r *request) began(w *world) {
	r.runs++
	w.report.Dispatched++
	if r.runs > 1 && r.ask.Service != "" && !r.ask.Idempotent {
		w.report.Repeated++
	}
	if r.p.req != r {
		w.report.OutOfOrder++
	}
}

func (w *world) assign(e sched.Assign) {
	r, u := w.byID[e.ID], w.byName[e.Upstream]
	if r == nil || u == nil {
		return
	}
	if e.Hedge {
		w.report.Hedges++
	}
	a := &attempt{r: r, u: u}
	r.attempts = append(r.attempts, a)
	limit := ms(w.t.Header.TimeoutMS)
	if r.ask.Service != "" {
		limit = ms(w.service(r.ask.Service).TimeoutMS)
	}
	w.after(limit, func() { w.attemptEnded(a, sched.Failed, engine.Usage{}) })
	u.submit(a)
}

func (w *world) attemptEnded(a *attempt, out sched.Outcome, usage engine.Usage) {
	r := a.r
	i := slices.Index(r.attempts, a)
	if i < 0 {
		return
	}
	r.attempts = slices.Delete(r.attempts, i, i+1)
	a.u.drop(a)
	w.step(r.p.owner, sched.Done{ID: r.id, Upstream: a.u.t.Name, Outcome: out, Usage: usage})
	switch out {
	case sched.Succeeded:
		w.cancel(r)
		r.p.answered(w, r, usage)
	case sched.Failed, sched.Unsent:
		r.sent = r.sent || out == sched.Failed
		w.again(a)
	}
}

// cancel ends the attempts that are still under way.
func (w *world) cancel(r *request) {
	for len(r.attempts) > 0 {
		w.attemptEnded(r.attempts[0], sched.Cancelled, engine.Usage{})
	}
}

// again makes a further attempt where that is safe.
func (w *world) again(a *attempt) {
	r := a.r
	if len(r.attempts) > 0 {
		return // a hedge is still under way
	}
	r.tries++
	safe := r.ask.Service == "" || r.ask.Idempotent || !r.sent
	if !safe || r.tries >= maxTries {
		outcome := failed
		if !safe {
			outcome = unknown
		}
		r.p.stop(w, outcome)
		return
	}
	w.report.Retries++
	r.ask.Retry = true
	r.ask.Avoid = append(slices.Clone(r.ask.Avoid), a.u.t.Name)
	w.step(r.p.owner, r.ask)
}

func (w *world) refuse(e sched.Refuse) {
	r := w.byID[e.ID]
	if r == nil {
		return
	}
	w.report.Refusals++
	if len(r.attempts) > 0 {
		w.report.FalseRefusals++ // the caller hears "not run" while it runs
		w.cancel(r)
	}
	w.remove(r)
	r.p.req = nil
	if e.Code == result.CodeUnknown {
		r.p.stop(w, unknown)
		return
	}
	r.p.comeBack(w, e.RetryAfter)
}

// comeBack repeats a call that was refused as not run, as often as the trace
// says that callers do.
func (p *program) comeBack(w *world, after time.Duration) {
	if p.returns >= w.t.Header.Returns {
		p.stop(w, refused)
		return
	}
	p.returns++
	w.after(max(after, comeBack), func() { p.next(w) })
}

func (p *program) answered(w *world, r *request, usage engine.Usage) {
	w.remove(r)
	p.req = nil
	if w.gate != nil {
		w.gate.Settle(w.now, *p.t, p.number, usage)
	}
	if r.call.Service == "" {
		p.spent += int64(r.call.Prompt + r.call.Output)
		answer := engine.Block{Hash: blockHash("%s/%d/answer", p.t.Name, p.number), Tokens: r.call.Output}
		p.chain = append(slices.Clone(r.blocks), answer)
	}
	p.number++
	pause := ms(r.call.PauseMS)
	p.paused += pause
	w.after(pause, func() { p.next(w) })
}

// stop ends the program and has its memory released.
func (p *program) stop(w *world, outcome string) {
	if p.ended {
		return
	}
	p.ended, p.outcome = true, outcome
	p.latency = w.now.Sub(p.started) - p.paused
	w.open--
	if r := p.req; r != nil {
		if len(r.attempts) == 0 {
			w.step(p.owner, sched.Cancel{ID: r.id})
		}
		w.cancel(r)
		w.remove(r)
		p.req = nil
	}
	w.step(p.owner, sched.ProgramEnded{Program: p.t.Name})
}
