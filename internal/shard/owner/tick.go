package owner

import (
	"slices"
	"time"

	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/result"
)

const (
	// commitTimeout is how long a caller waits for an outcome to be committed.
	// After it the caller gets result.CodeStoreDown and a time to retry; a
	// longer wait would only keep it from retrying, maybe at another daemon.
	commitTimeout = 10 * time.Second
	// stallThreshold is how long a journal entry may wait for the store before
	// the store counts as down.
	stallThreshold = 2 * time.Second
	// journalTimeout is how long a call waits for its intent or its reservation
	// to be committed: a little longer than it takes until the store counts as
	// down. No attempt is under way, so there is no outcome to wait for.
	journalTimeout = stallThreshold + time.Second
	// noCallerTimeout is how long an idempotent call continues without a caller.
	noCallerTimeout = 2 * time.Second

	sweepInterval        = time.Second
	retryAfter           = 2 * time.Second
	defaultBudgetBlock   = 8192
	defaultJournalBuffer = 8 << 20
)

// stalled reports whether the store counts as down: an entry has waited for
// longer than stallThreshold, or the records that wait exceed the buffer.
func (o *Owner) stalled() bool {
	return o.writeStalled || o.Writer.UncommittedBytes() > o.bufferLimit()
}

func (o *Owner) bufferLimit() int {
	if o.cfg.Limits.JournalBuffer > 0 {
		return o.cfg.Limits.JournalBuffer
	}
	return defaultJournalBuffer
}

func (o *Owner) storeDownResult() result.Result {
	return result.Refuse(result.CodeStoreDown, "the platform's store does not answer; nothing was run").WithRetryAfter(retryAfter)
}

func (o *Owner) movingResult() result.Result {
	r := result.Refuse(result.CodeNotOwner, "the program is moving to another daemon")
	if o.stalled() {
		r = r.WithRetryAfter(retryAfter)
	}
	return r
}

func (o *Owner) unsureResult(r *run) result.Result {
	return result.Failed(result.CodeNotOwner, r.ran(), "this daemon can't be sure that it still owns the program").WithRetryAfter(retryAfter)
}

func (o *Owner) tick(now time.Time) {
	o.writeStalled = o.Writer.StalledFor(now) > stallThreshold
	for _, r := range o.expiredRuns(now) {
		o.handleTimeout(now, r)
	}
	if now.Before(o.nextSweep) {
		return
	}
	o.nextSweep = now.Add(sweepInterval)
	o.closeExpired(now)
}

// expiredRuns returns the runs whose deadline has passed, or that are idempotent,
// have no outcome yet and have been without a caller for noCallerTimeout. They are
// ordered by request id so that the same messages always give the same effects.
func (o *Owner) expiredRuns(now time.Time) []*run {
	var rs []*run
	for _, r := range o.runs {
		timedOut := !r.deadline.IsZero() && !now.Before(r.deadline)
		withoutCaller := !r.noCallerSince.IsZero() && now.Sub(r.noCallerSince) >= noCallerTimeout && o.idempotent(r)
		if timedOut || withoutCaller && r.phase != waitCommit && r.phase != waitOffload {
			rs = append(rs, r)
		}
	}
	slices.SortFunc(rs, compareRequests)
	return rs
}

func (o *Owner) handleTimeout(now time.Time, r *run) {
	if r.phase == waitCommit {
		o.replyNotRecorded(r)
		return
	}
	if o.runs[r.call.Request] != r {
		return
	}
	if r.phase == waitOffload {
		o.recordInline(now, r)
		return
	}
	if r.moved && !now.Before(r.deadline) {
		o.attemptLost(now, r)
		return
	}
	if len(r.tickets) == 0 {
		o.abandon(now, r, result.CodeCancelled, "the caller is gone")
		return
	}
	switch r.phase {
	case waitOrder:
		if r.prog.order.Running {
			r.deadline = now.Add(o.cfg.Limits.GapWait) // a predecessor is under way
			return
		}
		o.refuse(now, r, result.Refuse(result.CodeOrder, "call %d came without call %d", r.call.Number, r.prog.order.Next))
	case waitBudget, waitIntent:
		o.abandon(now, r, result.CodeStoreDown, "the platform's store does not answer; nothing was run")
	case waitTakeover:
		o.requestPlacement(now, r)
	case waitPlacement, waitAttempt, waitOffload, waitCommit:
	}
}

// replyNotRecorded tells the callers of a call to repeat it, because its outcome is
// not committed yet. The call has ended, but its answer may be sent only after the
// commit.
func (o *Owner) replyNotRecorded(r *run) {
	r.deadline = time.Time{}
	res := result.Failed(result.CodeStoreDown, result.Yes, "the answer is not recorded yet; repeat the call to get it")
	if r.result.Ran == result.Unknown {
		res.Ran = result.Unknown
	}
	for _, t := range r.tickets {
		delete(o.tickets, t)
		o.reply(t, r.call.Request, res.WithRetryAfter(retryAfter))
	}
	r.tickets = nil
}

// closeExpired closes programs that are idle or have been open for too long, so
// that a caller that died between two calls does not occupy engine memory
// forever.
func (o *Owner) closeExpired(now time.Time) {
	var ids []string
	for id, p := range o.progs {
		if p.closed == "" && o.limitReached(now, p) != "" {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		p := o.progs[id]
		if code := o.limitReached(now, p); p.closed == "" && code != "" {
			o.close(now, p, code)
		}
	}
}

func (o *Owner) limitReached(now time.Time, p *program) string {
	a := o.agent(p)
	if a.MaxDuration > 0 && now.Sub(p.opened) >= a.MaxDuration {
		return codeTooLong
	}
	idle := a.IdleLimit > 0 && now.Sub(o.lastActivity(p)) >= a.IdleLimit
	if idle && p.current == nil && len(p.early) == 0 {
		return codeExpired
	}
	return ""
}

// lastActivity returns the time of the last activity of the program or of its
// sub-agents. It is far in the future while a call of the family is waiting or
// under way, so that a parent that waits for a sub-agent is not idle.
func (o *Owner) lastActivity(p *program) time.Time {
	at := p.lastActive
	for _, q := range p.root.family {
		if q.current != nil || len(q.early) > 0 {
			return time.Unix(1<<40, 0)
		}
		if q == p || call.Root(p.id) == p.id || call.ChildOf(q.id, p.id) {
			at = later(at, q.lastActive)
		}
	}
	return at
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
