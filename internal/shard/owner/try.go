package owner

import (
	"slices"
	"time"

	"github.com/slaterock/slaterock/internal/place/sched"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/result"
)

const (
	defaultTries   = 3
	endedOK        = "ok"
	endedUnsent    = "not sent: "
	endedWithdrawn = "cancelled"
)

// ask queues the call for an upstream. For a while after a takeover it only
// waits: the former owner may not have noticed yet that its lease is over.
func (o *Owner) ask(now time.Time, r *run) {
	if now.Before(o.Hold) {
		r.phase, r.deadline = waitHold, o.Hold
		return
	}
	r.phase = waitPlace
	r.deadline = time.Time{}
	p := r.prog
	a := sched.Submit{
		ID:         r.call.Request,
		Program:    p.id,
		Root:       p.root.id,
		Account:    p.open.Account,
		Blocks:     r.blocks,
		MaxTokens:  r.max,
		Priority:   p.priority,
		Attained:   p.root.attained,
		Avoid:      slices.Clone(r.failed),
		Idempotent: o.idempotent(r),
		Retry:      r.retries > 0,
	}
	if r.call.Kind == call.Service {
		a.Service, a.Group = r.call.Service, o.cfg.Services[r.call.Service].Group
	} else {
		a.Model, a.Group = r.call.Model, o.cfg.Models[r.call.Model].Group
		for _, b := range r.blocks {
			a.Prompt += b.Tokens
		}
	}
	o.emit(Place{Message: a})
}

// assigned dispatches an attempt to the upstream that placement chose.
func (o *Owner) assigned(now time.Time, a sched.Assign) {
	r := o.runs[a.ID]
	if r == nil || !o.wants(r, a.Hedge) {
		o.emit(Place{Message: sched.Done{ID: a.ID, Upstream: a.Upstream, Outcome: sched.Cancelled}})
		return
	}
	if !o.MayDispatch(now) {
		o.emit(Place{Message: sched.Done{ID: a.ID, Upstream: a.Upstream, Outcome: sched.Unsent}})
		o.finish(now, r, o.unsure(r))
		return
	}
	r.phase = waitAnswer
	r.live = append(r.live, a.Upstream)
	r.tries = append(r.tries, hist.Try{Upstream: a.Upstream, Start: now})
	o.emit(Dispatch{
		Request:   a.ID,
		Call:      r.call,
		Upstream:  a.Upstream,
		Address:   a.Address,
		Priority:  r.prog.priority,
		MaxTokens: r.max,
		Fence:     o.Writer.Epoch,
		Timeout:   o.cfg.Services[r.call.Service].Timeout,
		Try:       len(r.tries),
	})
}

// wants reports whether the call is to have an attempt: its first, or one
// beside another where running it twice does no harm.
func (o *Owner) wants(r *run, hedge bool) bool {
	if hedge {
		return r.phase == waitAnswer && o.idempotent(r)
	}
	return r.phase == waitPlace
}

// refused ends a call that placement did not take. A call that was tried before
// keeps what its attempts tell: it may have run.
func (o *Owner) refused(now time.Time, m sched.Refuse) {
	r := o.runs[m.ID]
	if r == nil || r.phase != waitPlace {
		return
	}
	if r.sent() {
		o.finish(now, r, o.failure(r, "no further attempt: "+m.Message))
		return
	}
	o.finish(now, r, result.Refuse(m.Code, "%s", m.Message).WithRetryAfter(m.RetryAfter))
}

// place tells placement of a request, if it was placed in this epoch.
func (o *Owner) place(r *run, m sched.Message) {
	if !r.moved {
		o.emit(Place{Message: m})
	}
}

// sent reports whether an attempt may have reached an upstream.
func (r *run) sent() bool {
	return slices.ContainsFunc(r.tries, func(t hist.Try) bool {
		return len(t.Ended) < len(endedUnsent) || t.Ended[:len(endedUnsent)] != endedUnsent
	})
}

func (o *Owner) tried(now time.Time, m Tried) {
	r := o.runs[m.Request]
	if r == nil || !r.endTry(now, m) {
		return
	}
	r.pieces = max(r.pieces, m.Pieces)
	r.deadline = time.Time{}
	o.place(r, sched.Done{ID: m.Request, Upstream: m.Upstream, Outcome: m.Outcome, Usage: m.Usage})
	if r.phase != waitAnswer {
		return
	}
	switch m.Outcome {
	case sched.Succeeded:
		o.succeeded(now, r, m)
	case sched.Unsent, sched.Failed:
		r.charge(m)
		r.failed = append(r.failed, m.Upstream)
		o.retry(now, r, m)
	case sched.Cancelled:
		r.charge(m)
		o.finish(now, r, result.Failed(result.CodeCancelled, r.ran(), "cancelled while it ran"))
	}
}

// endTry notes the attempt's end; false if there is no such attempt.
func (r *run) endTry(now time.Time, m Tried) bool {
	i := slices.Index(r.live, m.Upstream)
	if i < 0 {
		return false
	}
	r.live = slices.Delete(r.live, i, i+1)
	for j := len(r.tries) - 1; j >= 0; j-- {
		t := &r.tries[j]
		if t.Upstream != m.Upstream || t.Ended != "" {
			continue
		}
		t.End = now
		switch m.Outcome {
		case sched.Succeeded:
			t.Ended = endedOK
		case sched.Unsent:
			t.Ended = endedUnsent + m.Why
		case sched.Cancelled:
			t.Ended = endedWithdrawn
		case sched.Failed:
			t.Ended = m.Why
		}
		break
	}
	return true
}

// charge adds what a failed attempt may have cost. An engine that broke off
// doesn't say what it generated; taking nothing for it would let a program pass
// its budget on a bad day.
func (r *run) charge(m Tried) {
	switch {
	case m.Outcome == sched.Unsent:
	case m.Usage.Prompt+m.Usage.Output > 0:
		r.cost += int64(m.Usage.Prompt + m.Usage.Output)
	default:
		r.cost = r.hold // covers this attempt and those before
	}
}

func (o *Owner) succeeded(now time.Time, r *run, m Tried) {
	o.stop(r)
	r.cost += int64(m.Usage.Prompt + m.Usage.Output)
	o.finish(now, r, result.Result{
		Code:        result.CodeOK,
		Ran:         result.Yes,
		Status:      m.Status,
		ContentType: m.ContentType,
		Body:        m.Body,
		Finish:      m.Usage.Finish,
		Prompt:      m.Usage.Prompt,
		Cached:      m.Usage.Cached,
		Output:      m.Usage.Output,
	})
}

// retry makes a further attempt where that is safe: the request certainly did
// not run, or running it again does no harm and no caller has seen a part of
// an answer that a second attempt would contradict.
func (o *Owner) retry(now time.Time, r *run, m Tried) {
	if len(r.live) > 0 {
		return // a hedge is still under way
	}
	safe := m.Outcome == sched.Unsent || o.idempotent(r) && r.pieces == 0
	r.retries++
	if r.moved || !safe || r.retries >= o.tries(r) || len(r.tickets) == 0 && o.idempotent(r) {
		o.finish(now, r, o.failure(r, m.Why))
		return
	}
	if !o.rehold(now, r) {
		o.finish(now, r, o.failure(r, m.Why+"; the budget allows no further attempt"))
		return
	}
	if r.phase != waitBudget {
		o.ask(now, r)
	}
}

// rehold holds the cost of a further attempt beside what the failed ones cost.
// If the journal has not reserved that much yet, the call waits for it.
func (o *Owner) rehold(now time.Time, r *run) bool {
	root := r.prog.root
	more := r.cost + r.prompt + int64(r.max) - r.hold
	if r.cost == 0 || more <= 0 {
		return true
	}
	if root.budget.Free() < more {
		return false
	}
	if !root.budget.Fits(more) {
		r.seq = o.ahead(root, more)
		r.phase = waitBudget
		r.deadline = now.Add(journalWait)
	}
	root.budget = root.budget.WithHold(more)
	r.hold += more
	return true
}

func (o *Owner) tries(r *run) int {
	if n := o.cfg.Services[r.call.Service].MaxTries; r.call.Kind == call.Service && n > 0 {
		return n
	}
	return defaultTries
}

// ran tells what is proved of a call that ended without an answer.
func (r *run) ran() result.Ran {
	if !r.sent() {
		return result.No
	}
	return result.Unknown
}

func (o *Owner) failure(r *run, why string) result.Result {
	if !r.sent() {
		return result.Refuse(result.CodeUpstreamFailed, "%s", why).WithRetryAfter(retryAfter)
	}
	if !o.idempotent(r) {
		return result.Failed(result.CodeUnknown, result.Unknown, "%s; the call may have run and is not repeated", why)
	}
	return result.Failed(result.CodeUpstreamFailed, result.Unknown, "%s", why).WithRetryAfter(retryAfter)
}
