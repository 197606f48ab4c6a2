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
	defaultMaxAttempts = 3
	endedOK            = "ok"
	unsentPrefix       = "not sent: "
	endedCancelled     = "cancelled"
)

// requestPlacement asks placement for an upstream. Before Hold it only waits,
// because the former owner may not have noticed yet that its lease has expired.
func (o *Owner) requestPlacement(now time.Time, r *run) {
	if now.Before(o.Hold) {
		r.phase, r.deadline = waitTakeover, o.Hold
		return
	}
	r.phase = waitPlacement
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
		Attained:   p.root.attainedTokens,
		Avoid:      slices.Clone(r.avoid),
		Idempotent: o.idempotent(r),
		Retry:      r.failedAttempts > 0,
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
	if r == nil || !o.needsAttempt(r, a.Hedge) {
		o.emit(Place{Message: sched.Done{ID: a.ID, Upstream: a.Upstream, Outcome: sched.Cancelled}})
		return
	}
	if !o.MayDispatch(now) {
		o.emit(Place{Message: sched.Done{ID: a.ID, Upstream: a.Upstream, Outcome: sched.Unsent}})
		o.finish(now, r, o.unsureResult(r))
		return
	}
	r.phase = waitAttempt
	r.inFlight = append(r.inFlight, a.Upstream)
	r.attempts = append(r.attempts, hist.Try{Upstream: a.Upstream, Start: now})
	o.emit(Dispatch{
		Request:   a.ID,
		Call:      r.call,
		Upstream:  a.Upstream,
		Address:   a.Address,
		Priority:  r.prog.priority,
		MaxTokens: r.max,
		Fence:     o.Writer.Epoch,
		Timeout:   o.cfg.Services[r.call.Service].Timeout,
		Try:       len(r.attempts),
	})
}

// needsAttempt reports whether the call still waits for the attempt that
// placement assigned. A hedge runs beside another attempt and is allowed only
// for an idempotent call.
func (o *Owner) needsAttempt(r *run, hedge bool) bool {
	if hedge {
		return r.phase == waitAttempt && o.idempotent(r)
	}
	return r.phase == waitPlacement
}

// refused ends a call that placement refused. If an earlier attempt was sent, the
// outcome is that of a failed attempt, as the call may have run.
func (o *Owner) refused(now time.Time, m sched.Refuse) {
	r := o.runs[m.ID]
	if r == nil || r.phase != waitPlacement {
		return
	}
	if r.sent() {
		o.finish(now, r, o.failure(r, "no further attempt: "+m.Message))
		return
	}
	o.finish(now, r, result.Refuse(m.Code, "%s", m.Message).WithRetryAfter(m.RetryAfter))
}

// notifyPlacement sends a message about a request to placement. Placement does
// not know a moved call, which the former owner placed.
func (o *Owner) notifyPlacement(r *run, m sched.Message) {
	if !r.moved {
		o.emit(Place{Message: m})
	}
}

// sent reports whether an attempt may have reached an upstream.
func (r *run) sent() bool {
	return slices.ContainsFunc(r.attempts, func(t hist.Try) bool {
		return len(t.Ended) < len(unsentPrefix) || t.Ended[:len(unsentPrefix)] != unsentPrefix
	})
}

func (o *Owner) attemptEnded(now time.Time, m AttemptEnded) {
	r := o.runs[m.Request]
	if r == nil || !r.endAttempt(now, m) {
		return
	}
	r.pieces = max(r.pieces, m.Pieces)
	r.deadline = time.Time{}
	o.notifyPlacement(r, sched.Done{ID: m.Request, Upstream: m.Upstream, Outcome: m.Outcome, Usage: m.Usage})
	if r.phase != waitAttempt {
		return
	}
	switch m.Outcome {
	case sched.Succeeded:
		o.succeeded(now, r, m)
	case sched.Unsent, sched.Failed:
		r.charge(m)
		r.avoid = append(r.avoid, m.Upstream)
		o.retry(now, r, m)
	case sched.Cancelled:
		r.charge(m)
		o.finish(now, r, result.Failed(result.CodeCancelled, r.ran(), "cancelled while it ran"))
	}
}

// endAttempt records the attempt's end; false if there is no such attempt.
func (r *run) endAttempt(now time.Time, m AttemptEnded) bool {
	i := slices.Index(r.inFlight, m.Upstream)
	if i < 0 {
		return false
	}
	r.inFlight = slices.Delete(r.inFlight, i, i+1)
	for j := len(r.attempts) - 1; j >= 0; j-- {
		t := &r.attempts[j]
		if t.Upstream != m.Upstream || t.Ended != "" {
			continue
		}
		t.End = now
		switch m.Outcome {
		case sched.Succeeded:
			t.Ended = endedOK
		case sched.Unsent:
			t.Ended = unsentPrefix + m.Reason
		case sched.Cancelled:
			t.Ended = endedCancelled
		case sched.Failed:
			t.Ended = m.Reason
		}
		break
	}
	return true
}

// charge raises the call's cost by an attempt that ended without an answer: by its
// usage if the engine reported it. Otherwise the cost becomes all that the call
// holds, as an engine that breaks off does not report what it generated; charging
// nothing would let a program exceed its budget when engines fail often. An attempt
// that was not sent costs nothing.
func (r *run) charge(m AttemptEnded) {
	switch {
	case m.Outcome == sched.Unsent:
	case m.Usage.Prompt+m.Usage.Output > 0:
		r.cost += int64(m.Usage.Prompt + m.Usage.Output)
	default:
		r.cost = r.hold // covers this attempt and the earlier ones
	}
}

func (o *Owner) succeeded(now time.Time, r *run, m AttemptEnded) {
	o.cancelAttempts(r)
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

// retry asks for a further attempt after a failed one, or finishes the call if none
// is allowed: for a moved call, after maxAttempts, for an idempotent call without a
// caller, if the budget is used up, or if an attempt is not safe. It is safe if the
// last one was not sent, or if the call is idempotent and no caller has received a
// part of an answer that a second attempt could contradict.
func (o *Owner) retry(now time.Time, r *run, m AttemptEnded) {
	if len(r.inFlight) > 0 {
		return // a hedge is still under way
	}
	safe := m.Outcome == sched.Unsent || o.idempotent(r) && r.pieces == 0
	r.failedAttempts++
	if r.moved || !safe || r.failedAttempts >= o.maxAttempts(r) || len(r.tickets) == 0 && o.idempotent(r) {
		o.finish(now, r, o.failure(r, m.Reason))
		return
	}
	if !o.extendHold(now, r) {
		o.finish(now, r, o.failure(r, m.Reason+"; the budget allows no further attempt"))
		return
	}
	if r.phase != waitBudget {
		o.requestPlacement(now, r)
	}
}

// extendHold raises the hold to cover a further attempt in addition to what the
// failed ones cost; false if the budget does not allow it. If the journal has not
// reserved that much yet, the call waits for it in waitBudget.
func (o *Owner) extendHold(now time.Time, r *run) bool {
	root := r.prog.root
	more := r.cost + r.promptBound + int64(r.max) - r.hold
	if r.cost == 0 || more <= 0 {
		return true
	}
	if root.budget.Free() < more {
		return false
	}
	if !root.budget.Fits(more) {
		r.seq = o.requestReservation(root, more)
		r.phase = waitBudget
		r.deadline = now.Add(journalTimeout)
	}
	root.budget = root.budget.WithHold(more)
	r.hold += more
	return true
}

func (o *Owner) maxAttempts(r *run) int {
	if n := o.cfg.Services[r.call.Service].MaxTries; r.call.Kind == call.Service && n > 0 {
		return n
	}
	return defaultMaxAttempts
}

// ran returns what is certain about a call that ended without an answer.
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
