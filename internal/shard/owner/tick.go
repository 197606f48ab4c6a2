package owner

import (
	"slices"
	"time"

	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/result"
)

const (
	// commitWait is how long a caller waits for the journal. After it the
	// caller is told at once how things stand and when to come back; holding
	// the answer longer would only keep a caller from trying elsewhere.
	commitWait = 10 * time.Second
	// stallTime is how long an entry may wait for the store before the store
	// counts as down.
	stallTime = 2 * time.Second
	// journalWait is how long a call waits for its intent or its reservation.
	// Nothing was sent yet, so its caller can be refused as soon as the store
	// is taken for down.
	journalWait = stallTime + time.Second
	// aloneTime is how long an idempotent call goes on without a caller.
	aloneTime = 2 * time.Second

	sweepEvery    = time.Second
	retryAfter    = 2 * time.Second
	defaultBlock  = 8192
	defaultBuffer = 8 << 20
)

// stalled reports whether the store is taken for down.
func (o *Owner) stalled() bool { return o.stalledNow || o.Writer.UncommittedBytes() > o.buffer() }

func (o *Owner) buffer() int {
	if o.cfg.Limits.JournalBuffer > 0 {
		return o.cfg.Limits.JournalBuffer
	}
	return defaultBuffer
}

func (o *Owner) down() result.Result {
	return result.Refuse(result.CodeStoreDown, "the platform's store does not answer; nothing was run").WithRetryAfter(retryAfter)
}

func (o *Owner) moving() result.Result {
	r := result.Refuse(result.CodeNotOwner, "the program is moving to another daemon")
	if o.stalled() {
		r = r.WithRetryAfter(retryAfter)
	}
	return r
}

func (o *Owner) unsure(r *run) result.Result {
	return result.Failed(result.CodeNotOwner, r.ran(), "this daemon can't be sure that it still owns the program").WithRetryAfter(retryAfter)
}

func (o *Owner) tick(now time.Time) {
	o.stalledNow = o.Writer.StalledFor(now) > stallTime
	for _, r := range o.due(now) {
		o.overdue(now, r)
	}
	if now.Before(o.sweepAt) {
		return
	}
	o.sweepAt = now.Add(sweepEvery)
	o.expire(now)
}

// due returns the runs whose time is up, in the order of their requests so that
// a replay takes them alike.
func (o *Owner) due(now time.Time) []*run {
	var rs []*run
	for _, r := range o.runs {
		late := !r.deadline.IsZero() && !now.Before(r.deadline)
		lonely := !r.alone.IsZero() && now.Sub(r.alone) >= aloneTime && o.idempotent(r)
		if late || lonely && r.phase != waitCommit && r.phase != waitKeep {
			rs = append(rs, r)
		}
	}
	slices.SortFunc(rs, byName)
	return rs
}

func (o *Owner) overdue(now time.Time, r *run) {
	if r.phase == waitCommit {
		o.late(r)
		return
	}
	if o.runs[r.call.Request] != r {
		return
	}
	if r.phase == waitKeep {
		o.inline(now, r)
		return
	}
	if r.moved && !now.Before(r.deadline) {
		o.orphaned(now, r)
		return
	}
	if len(r.tickets) == 0 {
		o.abandon(now, r, result.CodeCancelled, "the caller is gone")
		return
	}
	switch r.phase {
	case waitOrder:
		if r.prog.order.Running {
			r.deadline = now.Add(o.cfg.Limits.GapWait) // the one before is on its way
			return
		}
		o.refuse(now, r, result.Refuse(result.CodeOrder, "call %d came without call %d", r.call.Number, r.prog.order.Next))
	case waitBudget, waitIntent:
		o.abandon(now, r, result.CodeStoreDown, "the platform's store does not answer; nothing was run")
	case waitHold:
		o.ask(now, r)
	case waitPlace, waitAnswer, waitKeep, waitCommit:
	}
}

// late tells callers of an outcome that the journal does not have yet. The call
// ran; its answer is whole only when its record is, so they are to ask again.
func (o *Owner) late(r *run) {
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

// expire ends programs that are idle or old, so that a caller that died
// between two turns doesn't leave engine memory held for good.
func (o *Owner) expire(now time.Time) {
	var ids []string
	for id, p := range o.progs {
		if p.closed == "" && o.limit(now, p) != "" {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		p := o.progs[id]
		if code := o.limit(now, p); p.closed == "" && code != "" {
			o.close(now, p, code)
		}
	}
}

func (o *Owner) limit(now time.Time, p *program) string {
	a := o.agent(p)
	if a.MaxDuration > 0 && now.Sub(p.opened) >= a.MaxDuration {
		return codeTooLong
	}
	idle := a.IdleLimit > 0 && now.Sub(o.activity(p)) >= a.IdleLimit
	if idle && p.current == nil && len(p.early) == 0 {
		return codeExpired
	}
	return ""
}

// activity is when the program or one of its sub-agents last did something; a
// parent that waits for a sub-agent is not idle.
func (o *Owner) activity(p *program) time.Time {
	at := p.active
	for _, q := range p.root.family {
		if q.current != nil || len(q.early) > 0 {
			return time.Unix(1<<40, 0)
		}
		if q == p || call.Root(p.id) == p.id || call.ChildOf(q.id, p.id) {
			at = later(at, q.active)
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
