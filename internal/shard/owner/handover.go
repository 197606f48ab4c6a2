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
	// tailTime is how long an attempt that the former owner's daemon goes on
	// with may give no sign.
	attemptSilenceTimeout = 10 * time.Second
	// rejoinTime is how long a moved call's callers may take to find the new
	// owner.
	rejoinTimeout = 20 * time.Second
)

// drain gives the shard up. Waiting until all calls have ended would block
// every program of the shard for as long as the longest stream lasts; cutting
// them would break the promise of a planned stop.
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
			o.rejectUnsent(now, r)
		}
	}
	o.releaseReservations()
	for _, id := range o.programIDs() {
		o.emit(Place{Message: sched.Forget{Program: id}})
	}
}

// byRequest returns all runs, in the order of their requests so that a replay
// takes them alike.
func (o *Owner) sortedRuns() []*run {
	rs := make([]*run, 0, len(o.runs))
	for _, r := range o.runs {
		rs = append(rs, r)
	}
	slices.SortFunc(rs, compareRequests)
	return rs
}

// byName orders runs by their requests.
func compareRequests(a, b *run) int { return cmp.Compare(a.call.Request, b.call.Request) }

// ids returns the programs' ids, sorted so that a replay writes the same journal.
func (o *Owner) programIDs() []string { return slices.Sorted(maps.Keys(o.progs)) }

// turnAway ends a call that was not sent. Its callers repeat it at the next
// owner, so without an intent the history has no need of it.
func (o *Owner) rejectUnsent(now time.Time, r *run) {
	if r.phase == waitIntent || r.sent() || !o.idempotent(r) {
		o.abandon(now, r, result.CodeNotOwner, "the program is moving to another daemon")
		return
	}
	if r.phase == waitPlacement {
		o.emit(Place{Message: sched.Withdraw{ID: r.call.Request}})
	}
	r.result = o.movingResult()
	o.replyCallers(r)
	delete(o.runs, r.call.Request)
	root := r.prog.root
	root.budget = root.budget.WithSettled(r.hold, 0)
}

// settle gives back what is reserved and neither spent nor held: the next owner
// would have to count it as spent.
func (o *Owner) releaseReservations() {
	for _, id := range o.programIDs() {
		p := o.progs[id]
		b := p.budget
		total := b.Spent + b.Held
		if p.root != p || p.closed != "" || b.Reserved <= total {
			continue
		}
		p.budget = b.WithReserved(total).WithAsked(total)
		o.add(record.Reserved{Program: id, Total: total})
	}
}

// adoptRun goes on with a call whose attempt is under way at the former owner's
// daemon. What it holds is not spent yet.
func (o *Owner) restoreRun(now time.Time, p *program, m record.Moved) {
	c := m.Call
	r := &run{prog: p, phase: waitAttempt, digest: c.Digest, shared: c.Shared, hold: m.Hold, cost: m.Cost, attempts: c.Tries, moved: true}
	r.call = call.Call{Request: c.Request, Account: p.open.Account, Program: p.id, Number: c.Number, Kind: c.Kind, Service: m.Service}
	r.start, r.budgetBefore = c.Start, c.Before
	r.target, r.requestText, r.requestSize = c.Target, c.Asked, c.Size
	r.deadline = now.Add(attemptSilenceTimeout)
	r.noCallerSince = now.Add(rejoinTimeout - noCallerTimeout)
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

// orphaned ends a moved call of which nothing is heard: the daemon that had its
// attempt is gone, so nobody will tell how it ended.
func (o *Owner) attemptLost(now time.Time, r *run) {
	r.cost = r.hold // covers this attempt and those before
	for i := range r.attempts {
		if r.attempts[i].Ended == "" {
			r.attempts[i].End, r.attempts[i].Ended = now, "the daemon that had the attempt is gone"
		}
	}
	r.inFlight = nil
	o.finish(now, r, o.failure(r, "the daemon that had the attempt is gone"))
}

// Knows reports whether the request is still under way. A daemon that goes on
// with an attempt for an earlier epoch stops when nobody waits for it.
func (o *Owner) HasAttempt(request string) bool {
	r := o.runs[request]
	return r != nil && r.phase == waitAttempt
}
