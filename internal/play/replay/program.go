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
	maxAttempts     = 3
	backoff         = 500 * time.Millisecond // at least, between a refusal and the retry
	storeRetryDelay = 30 * time.Second       // for a call whose intent can't be written to the store
	completed       = "completed"
	refused         = "refused"
	failed          = "failed"
	unknown         = "unknown"
	gaveUp          = "gave_up"
	cancelled       = "cancelled"
	budgetExceeded  = string(result.CodeBudget)
	turnLimit       = string(result.CodeTurns)
)

type (
	// program is the state of one program during the replay.
	program struct {
		spec           *trace.Program
		owner          *owner
		begin          time.Duration // not used; always -1
		started        time.Time
		paused         time.Duration
		callIndex      int // of the next call, across loops
		refusalRetries int // retries after refusals, over all calls
		spentTokens    int64
		prefix         []engine.Block
		req            *request
		ended          bool
		outcome        string
		latency        time.Duration
	}

	// request is one call of a program with its attempts.
	request struct {
		id             string
		p              *program
		call           trace.Call
		msg            sched.Submit
		blocks         []engine.Block
		attempts       []*attempt // in flight
		failedAttempts int
		maybeRan       bool // a failed attempt may have run
		runs           int
	}
)

func (p *program) arrive(w *world) {
	p.started = w.now
	if p.spec.Context != "" {
		p.prefix = append(p.prefix, engine.Block{Hash: blockHash("context/%s", p.spec.Context), Tokens: p.spec.ContextTokens})
	}
	if d := w.spec.Header.DeadlineMS; d > 0 {
		w.after(ms(d), func() { p.stop(w, gaveUp) })
	}
	if p.spec.CancelMS > 0 {
		w.after(ms(p.spec.CancelMS), func() { p.stop(w, cancelled) })
	}
	p.startNextCall(w)
}

// startNextCall submits the program's next call, or ends the program after the
// last one.
func (p *program) startNextCall(w *world) {
	if p.ended {
		return
	}
	if p.callIndex >= len(p.spec.Calls) && !p.spec.Loop {
		p.stop(w, completed)
		return
	}
	if outcome := w.admit(p); outcome != "" {
		p.stop(w, outcome)
		return
	}
	c := p.spec.Calls[p.callIndex%len(p.spec.Calls)]
	r := &request{id: fmt.Sprintf("%s/%d/%d", p.spec.Name, p.callIndex, p.refusalRetries), p: p, call: c}
	r.msg = sched.Submit{
		ID: r.id, Account: p.spec.Account, Program: p.spec.Name, Root: p.spec.Name,
		Priority: p.spec.Priority, Attained: p.spentTokens, Group: p.spec.Group, Model: p.spec.Group,
	}
	if c.Service != "" {
		s := w.service(c.Service)
		r.msg.Group, r.msg.Model, r.msg.Service, r.msg.Idempotent = s.Group, "", s.Name, s.Idempotent
		if w.storeOutages > 0 && !s.Idempotent {
			p.backoff(w, storeRetryDelay) // its intent can't be written during the outage
			return
		}
	} else {
		hash := blockHash("%s/%d", p.spec.Name, p.callIndex)
		r.blocks = append(slices.Clone(p.prefix), engine.Block{Hash: hash, Tokens: c.Prompt})
		r.msg.Blocks, r.msg.MaxTokens = r.blocks, c.Output
		for _, b := range r.blocks {
			r.msg.Prompt += b.Tokens
		}
	}
	p.req = r
	w.byID[r.id] = r
	w.requests = append(w.requests, r)
	w.step(p.owner, r.msg)
}

func (w *world) admit(p *program) (outcome string) {
	if w.admission != nil {
		return w.admission.Admit(w.now, *p.spec, p.callIndex, p.spentTokens)
	}
	c := p.spec.Calls[p.callIndex%len(p.spec.Calls)]
	switch {
	case p.spec.MaxTurns > 0 && p.callIndex >= p.spec.MaxTurns:
		return turnLimit
	case p.spec.Budget > 0 && p.spentTokens+int64(c.Prompt+c.Output) > p.spec.Budget:
		return budgetExceeded
	}
	return ""
}

func (w *world) service(name string) trace.Service {
	i := slices.IndexFunc(w.spec.Services, func(s trace.Service) bool { return s.Name == name })
	if i < 0 {
		return trace.Service{Name: name}
	}
	return w.spec.Services[i]
}

// recordStart counts a run of the request that an upstream has started. More
// than one run of a non-idempotent call counts as Repeated, a run of a request
// that is not its program's current one as OutOfOrder.
func (r *request) recordStart(w *world) {
	r.runs++
	w.report.Dispatched++
	if r.runs > 1 && r.msg.Service != "" && !r.msg.Idempotent {
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
	limit := ms(w.spec.Header.TimeoutMS)
	if r.msg.Service != "" {
		limit = ms(w.service(r.msg.Service).TimeoutMS)
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
	a.u.removeAttempt(a)
	w.step(r.p.owner, sched.Done{ID: r.id, Upstream: a.u.spec.Name, Outcome: out, Usage: usage})
	switch out {
	case sched.Succeeded:
		w.cancel(r)
		r.p.handleSuccess(w, r, usage)
	case sched.Failed, sched.Unsent:
		r.maybeRan = r.maybeRan || out == sched.Failed
		w.retry(a)
	}
}

// cancel cancels the attempts that are in flight.
func (w *world) cancel(r *request) {
	for len(r.attempts) > 0 {
		w.attemptEnded(r.attempts[0], sched.Cancelled, engine.Usage{})
	}
}

// retry submits the request again after a failed attempt, unless a second run
// would be unsafe or maxAttempts is reached; in these cases the program ends.
func (w *world) retry(a *attempt) {
	r := a.r
	if len(r.attempts) > 0 {
		return // another attempt (a hedge) is in flight
	}
	r.failedAttempts++
	safe := r.msg.Service == "" || r.msg.Idempotent || !r.maybeRan
	if !safe || r.failedAttempts >= maxAttempts {
		outcome := failed
		if !safe {
			outcome = unknown
		}
		r.p.stop(w, outcome)
		return
	}
	w.report.Retries++
	r.msg.Retry = true
	r.msg.Avoid = append(slices.Clone(r.msg.Avoid), a.u.spec.Name)
	w.step(r.p.owner, r.msg)
}

func (w *world) refuse(e sched.Refuse) {
	r := w.byID[e.ID]
	if r == nil {
		return
	}
	w.report.Refusals++
	if len(r.attempts) > 0 {
		w.report.FalseRefusals++ // refused as "not run" with an attempt in flight
		w.cancel(r)
	}
	w.remove(r)
	r.p.req = nil
	if e.Code == result.CodeUnknown {
		r.p.stop(w, unknown)
		return
	}
	r.p.backoff(w, e.RetryAfter)
}

// backoff schedules a retry of a call that was refused or could not be submitted.
// After Header.MaxRetries retries, counted over all calls, the program ends as
// refused.
func (p *program) backoff(w *world, after time.Duration) {
	if p.refusalRetries >= w.spec.Header.MaxRetries {
		p.stop(w, refused)
		return
	}
	p.refusalRetries++
	w.after(max(after, backoff), func() { p.startNextCall(w) })
}

func (p *program) handleSuccess(w *world, r *request, usage engine.Usage) {
	w.remove(r)
	p.req = nil
	if w.admission != nil {
		w.admission.Settle(w.now, *p.spec, p.callIndex, usage)
	}
	if r.call.Service == "" {
		p.spentTokens += int64(r.call.Prompt + r.call.Output)
		answer := engine.Block{Hash: blockHash("%s/%d/answer", p.spec.Name, p.callIndex), Tokens: r.call.Output}
		p.prefix = append(slices.Clone(r.blocks), answer)
	}
	p.callIndex++
	pause := ms(r.call.PauseMS)
	p.paused += pause
	w.after(pause, func() { p.startNextCall(w) })
}

// stop ends the program with the outcome, cancels its current request and
// notifies its owner, which releases the program's blocks.
func (p *program) stop(w *world, outcome string) {
	if p.ended {
		return
	}
	p.ended, p.outcome = true, outcome
	p.latency = w.now.Sub(p.started) - p.paused
	w.openPrograms--
	if r := p.req; r != nil {
		if len(r.attempts) == 0 {
			w.step(p.owner, sched.Cancel{ID: r.id})
		}
		w.cancel(r)
		w.remove(r)
		p.req = nil
	}
	w.step(p.owner, sched.ProgramEnded{Program: p.spec.Name})
}
