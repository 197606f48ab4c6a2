package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/slaterock/slaterock/internal/place/sched"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/record"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/prog/state"
	"github.com/slaterock/slaterock/internal/shard/jrnl"
)

// finish sets a call's outcome. The outcome of a call that did not run is sent
// at once; any other only after it is committed, so that every answer that a
// caller has received is in the history.
func (o *Owner) finish(now time.Time, r *run, res result.Result) {
	p := r.prog
	if n := len(r.attempts); n > 0 {
		res.Upstream = r.attempts[n-1].Upstream
	}
	r.result = res
	r.final = res.OK() || !o.idempotent(r) && res.Ran != result.No
	root := p.root
	root.budget = root.budget.WithSettled(r.hold, r.cost)
	root.attainedTokens += r.cost
	h := o.callRecord(r)
	h.End = now
	if res.Ran == result.No {
		h.Asked = ""
	}
	o.savePrompt(r, res)
	if o.offload(now, r, h) {
		return
	}
	o.record(now, r, h)
}

// record adds the outcome to the journal and starts the program's next call.
func (o *Owner) record(now time.Time, r *run, h hist.Call) {
	p, res := r.prog, r.result
	head := p.current == r
	r.seq = o.add(record.Ended{Program: p.id, Call: h, Tokens: r.cost, Final: r.final, InOrder: head})
	r.phase = waitCommit
	r.deadline = now.Add(commitTimeout)
	o.emit(Log{Account: p.open.Account, Program: p.id, Call: h})
	o.reserveForNext(p.root, r)
	if res.Ran == result.No {
		o.replyCallers(r)
		delete(o.runs, r.call.Request)
	}
	delete(p.early, r.call.Number)
	if !head {
		return
	}
	if res.Ran != result.No {
		p.turns++
	}
	p.lastActive = now
	p.current = nil
	p.order = p.order.WithEnded()
	p.last = r
	o.startNext(now, p)
}

// reserveForNext reserves the estimated cost of the program's next call along with
// this call's outcome, so that the next call seldom waits for a journal write of
// its own.
func (o *Owner) reserveForNext(root *program, r *run) {
	if root.closed != "" || r.call.Kind != call.Model {
		return
	}
	next := r.promptBound + 2*int64(r.max) + int64(len(r.result.Body)) + o.budgetBlock()/4
	if root.budget.Fits(next) {
		return
	}
	if total, more := root.budget.NextReservation(next, o.budgetBlock()); more {
		root.budget = root.budget.WithRequested(total)
		o.add(record.Reserved{Program: root.id, Total: total})
	}
}

// savePrompt stores the prompt's blocks and size, against which measurePrompt
// measures the next call's prompt.
func (o *Owner) savePrompt(r *run, res result.Result) {
	if r.call.Kind != call.Model || !res.OK() {
		return
	}
	p := r.prog
	p.prefix = p.prefix[:0]
	for _, b := range r.blocks {
		p.prefix = append(p.prefix, b.Hash)
	}
	p.promptSize = state.Size{Prompt: res.Prompt, Output: res.Output, Bytes: len(r.call.Body)}
}

// startNext starts the program's next call if it is waiting already.
func (o *Owner) startNext(now time.Time, p *program) {
	r := p.early[p.order.Next]
	if r == nil || p.closed != "" {
		return
	}
	delete(p.early, p.order.Next)
	o.begin(now, r)
}

// replyCallers sends the result to all waiting callers.
func (o *Owner) replyCallers(r *run) {
	for _, t := range r.tickets {
		delete(o.tickets, t)
		o.reply(t, r.call.Request, r.result)
	}
	r.tickets = nil
}

// close ends a program, and with a root its sub-agents, and abandons their
// calls under way. It returns the sequence number of the program's Closed
// record.
func (o *Owner) close(now time.Time, p *program, code string) uint64 {
	if p.root == p {
		for _, q := range p.family {
			if q != p && q.closed == "" {
				o.closeOne(now, q, code)
			}
		}
	}
	return o.closeOne(now, p, code)
}

func (o *Owner) closeOne(now time.Time, p *program, code string) uint64 {
	p.closed = code
	if u := o.accounts[p.open.Account]; u != nil {
		u.open--
	}
	early := make([]*run, 0, len(p.early))
	for _, r := range p.early {
		early = append(early, r)
	}
	slices.SortFunc(early, func(a, b *run) int { return a.call.Number - b.call.Number })
	for _, r := range early {
		o.refuse(now, r, result.Refuse(result.CodeEnded, "the program has ended: %s", code))
	}
	if r := p.current; r != nil {
		o.abandon(now, r, result.CodeCancelled, "the program has ended: "+code)
	}
	seq := o.add(record.Closed{Program: p.id, Code: code, At: now})
	o.emit(Place{Message: sched.ProgramEnded{Program: p.id, Engines: o.engines(p.id)}})
	return seq
}

// engines returns the engines that ran the program's model calls, as far as they
// are in the journal.
func (o *Owner) engines(program string) []string {
	if d := o.Fold.Programs[program]; d != nil {
		return slices.Clone(d.Engines)
	}
	return nil
}

func (o *Owner) refuse(now time.Time, r *run, res result.Result) { o.finish(now, r, res) }

// abandon ends a call that has no outcome yet; one that waits in waitOffload is
// recorded with its outcome. A non-idempotent call whose attempt is under way
// continues, because its outcome must be recorded.
func (o *Owner) abandon(now time.Time, r *run, code result.Code, why string) {
	switch r.phase {
	case waitAttempt:
		if !o.idempotent(r) {
			return
		}
		o.cancelAttempts(r)
		r.cost = r.hold // covers this attempt and the earlier ones
		for i := range r.attempts {
			if r.attempts[i].Ended == "" {
				r.attempts[i].End, r.attempts[i].Ended = now, endedCancelled
			}
		}
		o.finish(now, r, result.Failed(code, r.ran(), "%s", why))
		return
	case waitPlacement:
		o.emit(Place{Message: sched.Cancel{ID: r.call.Request}})
	case waitIntent, waitBudget:
		// An intent that no write to the store carries yet is taken back.
		if r.phase == waitIntent && o.Writer.Withdraw(r.seq) {
			o.queue = slices.DeleteFunc(o.queue, func(p pending) bool { return p.seq == r.seq })
		}
	case waitOffload:
		o.recordInline(now, r)
		return
	case waitCommit:
		return
	case waitOrder, waitTakeover:
	}
	if r.sent() {
		o.finish(now, r, result.Failed(code, r.ran(), "%s", why))
		return
	}
	o.finish(now, r, result.Refuse(code, "%s", why))
}

// cancelAttempts cancels the attempts under way.
func (o *Owner) cancelAttempts(r *run) {
	for _, u := range r.inFlight {
		o.emit(CancelAttempt{Request: r.call.Request, Upstream: u})
		o.notifyPlacement(r, sched.Done{ID: r.call.Request, Upstream: u, Outcome: sched.Cancelled})
	}
	r.inFlight = nil
}

// callerGone removes a waiting caller. An idempotent call without callers
// continues for noCallerTimeout, so that a caller whose connection broke can
// reconnect and join it.
func (o *Owner) callerGone(now time.Time, t Ticket) {
	r := o.tickets[t]
	delete(o.tickets, t)
	o.waitingReplies = slices.DeleteFunc(o.waitingReplies, func(w waitingReply) bool { return w.ticket == t })
	if r == nil {
		return
	}
	r.tickets = slices.DeleteFunc(r.tickets, func(x Ticket) bool { return x == t })
	if len(r.tickets) == 0 {
		r.noCallerSince = now
	}
}

func (o *Owner) stepChain(now time.Time, m jrnl.Message) {
	for _, e := range o.Writer.Step(now, m) {
		switch e := e.(type) {
		case jrnl.Create, jrnl.Read:
			o.emit(StoreRequest{Effect: e})
		case jrnl.Committed:
			o.committed(now, e)
		case jrnl.Fenced:
			o.emit(Fenced{})
		}
	}
}

// committed applies the records that are durable now, and continues the calls
// and sends the replies that waited for them.
func (o *Owner) committed(now time.Time, c jrnl.Committed) {
	n := 0
	for n < len(o.queue) && o.queue[n].seq <= c.Seq {
		rec := o.queue[n].rec
		if err := o.Fold.Apply(c.Number, rec); err != nil {
			panic(err) // unreachable: the record was built from the same programs
		}
		if r, ok := rec.(record.Reserved); ok {
			o.reserved(r.Program, r.Total)
		}
		if r, ok := rec.(record.Opened); ok {
			o.reserved(r.Open.Program, r.Reserved)
		}
		n++
	}
	o.queue = append([]pending(nil), o.queue[n:]...)
	o.committedSeq = max(o.committedSeq, c.Seq)
	o.Fold.Upto = c.Number
	o.writeStalled = false
	o.replyCommitted()
	if o.verifySeq != 0 && c.Seq >= o.verifySeq {
		o.verifySeq = 0
		o.emit(Verified{})
	}
	for _, r := range o.committedRuns(c.Seq) {
		o.proceed(now, r)
	}
	if c.RecordBoundary {
		o.emit(SnapshotAllowed{})
	}
}

func (o *Owner) reserved(program string, total int64) {
	if p := o.progs[program]; p != nil && p.root == p {
		p.budget = p.budget.WithReserved(total)
	}
}

// committedRuns returns the runs whose awaited record is committed, oldest
// record first.
func (o *Owner) committedRuns(seq uint64) []*run {
	var rs []*run
	for _, r := range o.runs {
		waits := r.phase == waitBudget || r.phase == waitIntent || r.phase == waitCommit
		if waits && r.seq <= seq {
			rs = append(rs, r)
		}
	}
	slices.SortFunc(rs, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.seq, b.seq), compareRequests(a, b))
	})
	return rs
}

func (o *Owner) proceed(now time.Time, r *run) {
	switch r.phase {
	case waitBudget:
		r.phase = waitOrder // begun, and waits for nothing else yet
		o.startReserved(now, r)
	case waitIntent:
		o.requestPlacement(now, r)
	case waitCommit:
		o.replyCallers(r)
		delete(o.runs, r.call.Request)
		if r.prog.last == r {
			r.prog.last = nil
		}
	case waitOrder, waitTakeover, waitPlacement, waitAttempt, waitOffload:
	}
}

// replyCommitted answers requests to open or end a program whose records are
// committed.
func (o *Owner) replyCommitted() {
	o.waitingReplies = slices.DeleteFunc(o.waitingReplies, func(w waitingReply) bool {
		if w.seq > o.committedSeq {
			return false
		}
		o.reply(w.ticket, "", w.result)
		return true
	})
}

// snapshotSaved drops from memory the texts that the snapshot lists and the
// ended families that are in its index.
func (o *Owner) snapshotSaved(m SnapshotSaved) {
	o.Fold.DropTexts(m.Upto)
	if o.Fold.Gone == nil {
		o.Fold.Gone = map[uint64]uint32{}
	}
	for id, p := range o.progs {
		at, ok := m.Gone[state.Hash(id)]
		if !ok || p.root != p || !o.fullyEnded(p, m.Upto) {
			continue
		}
		o.Fold.Gone[state.Hash(id)] = at
		for _, q := range p.family {
			delete(o.progs, q.id)
			delete(o.Fold.Programs, q.id)
		}
	}
}

// fullyEnded reports whether all programs of a family are closed, without a
// call under way, and have all their records in entries up to upto.
func (o *Owner) fullyEnded(root *program, upto uint64) bool {
	return !slices.ContainsFunc(root.family, func(p *program) bool {
		d := o.Fold.Programs[p.id]
		return p.closed == "" || p.current != nil || p.last != nil || d == nil || !d.CompleteUpTo(upto)
	})
}
