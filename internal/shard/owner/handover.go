package owner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/slaterock/slaterock/internal/place/sched"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/record"
	"github.com/slaterock/slaterock/internal/prog/result"
)

const (
	// attemptSilenceTimeout is how long the new owner waits between two reports
	// of an attempt that the former owner's daemon continues.
	attemptSilenceTimeout = 10 * time.Second
	// rejoinTimeout is how long the callers of a moved call have to reconnect to
	// the new owner before an idempotent call is abandoned.
	rejoinTimeout = 20 * time.Second
)

// drain starts the handover of the shard. Waiting until all calls have ended
// would block every program of the shard for as long as the longest stream
// lasts; cancelling them would break the guarantee that a planned stop cuts no
// call.
func (o *Owner) drain(now time.Time) {
	if o.draining {
		return
	}
	o.draining = true
	for _, r := range o.sortedRuns() {
		switch r.phase {
		case waitAttempt:
			o.add(record.Moved{Program: r.prog.id, Call: o.callRecord(r), Service: r.call.Service, Hold: r.hold, Cost: r.cost})
		case waitOffload:
			o.recordInline(now, r)
		case waitCommit:
		case waitIntent, waitBudget, waitOrder, waitTakeover, waitPlacement:
			o.endWaiting(now, r)
		}
	}
	o.releaseReservations()
	for _, id := range o.programIDs() {
		o.emit(Place{Message: sched.ProgramMoved{Program: id}})
	}
}

// sortedRuns returns all runs, ordered by request id so that the same messages
// always give the same effects.
func (o *Owner) sortedRuns() []*run {
	rs := make([]*run, 0, len(o.runs))
	for _, r := range o.runs {
		rs = append(rs, r)
	}
	slices.SortFunc(rs, compareRequests)
	return rs
}

// compareRequests orders runs by request id.
func compareRequests(a, b *run) int { return cmp.Compare(a.call.Request, b.call.Request) }

// programIDs returns the ids of all programs, sorted so that the same messages
// always give the same journal.
func (o *Owner) programIDs() []string { return slices.Sorted(maps.Keys(o.progs)) }

// endWaiting ends a call that has no attempt under way. An idempotent call of which
// no attempt was sent leaves no record: its callers repeat it at the next owner.
func (o *Owner) endWaiting(now time.Time, r *run) {
	if r.phase == waitIntent || r.sent() || !o.idempotent(r) {
		o.abandon(now, r, result.CodeNotOwner, "the program is moving to another daemon")
		return
	}
	if r.phase == waitPlacement {
		o.emit(Place{Message: sched.Cancel{ID: r.call.Request}})
	}
	r.result = o.movingResult()
	o.replyCallers(r)
	delete(o.runs, r.call.Request)
	root := r.prog.root
	root.budget = root.budget.WithSettled(r.hold, 0)
}

// releaseReservations lowers each budget's reservation to what is spent or
// held. The next owner would have to count the rest as spent.
func (o *Owner) releaseReservations() {
	for _, id := range o.programIDs() {
		p := o.progs[id]
		b := p.budget
		total := b.Spent + b.Held
		if p.root != p || p.closed != "" || b.Reserved <= total {
			continue
		}
		p.budget = b.WithReserved(total).WithRequested(total)
		o.add(record.Reserved{Program: id, Total: total})
	}
}

// restoreRun takes over a call whose attempt is under way at the former owner's
// daemon. The tokens that it holds are moved from spent back to held.
func (o *Owner) restoreRun(now time.Time, p *program, m record.Moved) {
	c := m.Call
	r := &run{prog: p, phase: waitAttempt, digest: c.Digest, shared: c.Shared, hold: m.Hold, cost: m.Cost, attempts: c.Tries, moved: true}
	r.call = call.Call{Request: c.Request, Account: p.open.Account, Program: p.id, Number: c.Number, Kind: c.Kind, Service: m.Service}
	r.start, r.budgetBefore = c.Start, c.BudgetBefore
	r.target, r.bodyText, r.bodySize = c.Target, c.Asked, c.Size
	r.deadline = now.Add(attemptSilenceTimeout)
	r.noCallerSince = now.Add(rejoinTimeout - noCallerTimeout) // expires after rejoinTimeout
	for _, t := range c.Tries {
		if t.Ended == "" {
			r.inFlight = append(r.inFlight, t.Upstream)
		}
	}
	root := p.root
	root.budget.Spent -= m.Hold
	root.budget = root.budget.WithHold(m.Hold)
	o.runs[c.Request] = r
	p.current = r
	p.order = p.order.WithStarted(c.Number)
}

func (o *Owner) attemptAlive(now time.Time, request string) {
	if r := o.runs[request]; r != nil && r.moved && r.phase == waitAttempt {
		r.deadline = now.Add(attemptSilenceTimeout)
	}
}

// attemptLost ends a moved call whose attempt has not been reported for
// attemptSilenceTimeout. The daemon that ran the attempt counts as lost, and the
// attempt's outcome can't be learnt.
func (o *Owner) attemptLost(now time.Time, r *run) {
	r.cost = r.hold // covers this attempt and the earlier ones
	for i := range r.attempts {
		if r.attempts[i].Ended == "" {
			r.attempts[i].End, r.attempts[i].Ended = now, "the daemon that had the attempt is gone"
		}
	}
	r.inFlight = nil
	o.finish(now, r, o.failure(r, "the daemon that had the attempt is gone"))
}

// HasAttempt reports whether the request has an attempt under way. A daemon that
// continues an attempt of an earlier epoch cancels it once this is false.
func (o *Owner) HasAttempt(request string) bool {
	r := o.runs[request]
	return r != nil && r.phase == waitAttempt
}
