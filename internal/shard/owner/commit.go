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

// finish gives a call its outcome. A refusal that did not run is told at once;
// everything else is told when it is committed, so that whatever a caller saw
// complete is in the history.
func (o *Owner) finish(now time.Time, r *run, res result.Result) {
	p := r.prog
	if n := len(r.tries); n > 0 {
		res.Upstream = r.tries[n-1].Upstream
	}
	r.result = res
	r.final = res.OK() || !o.idempotent(r) && res.Ran != result.No
	root := p.root
	root.budget = root.budget.WithSettled(r.hold, r.cost)
	root.attained += r.cost
	h := o.history(r)
	h.End = now
	if res.Ran == result.No {
		h.Asked = ""
	}
	o.remember(r, res)
	if o.keep(now, r, h) {
		return
	}
	o.record(now, r, h)
}

// record writes the outcome down and lets the program's next call run.
func (o *Owner) record(now time.Time, r *run, h hist.Call) {
	p, res := r.prog, r.result
	head := p.current == r
	r.seq = o.add(record.Ended{Program: p.id, Call: h, Tokens: r.cost, Final: r.final, Head: head})
	r.phase = waitCommit
	r.deadline = now.Add(commitWait)
	o.emit(Log{Account: p.open.Account, Program: p.id, Call: h})
	o.reserveAhead(p.root, r)
	if res.Ran == result.No {
		o.answer(r)
		delete(o.runs, r.call.Request)
	}
	delete(p.early, r.call.Number)
	if !head {
		return
	}
	if res.Ran != result.No {
		p.turns++
	}
	p.active = now
	p.current = nil
	p.order = p.order.WithEnded()
	p.last = r
	o.next(now, p)
}

// reserveAhead asks for what the program's next call may cost while this one's
// outcome is written, so that it need not wait for a write of its own.
func (o *Owner) reserveAhead(root *program, r *run) {
	if root.closed != "" || r.call.Kind != call.Model {
		return
	}
	next := r.prompt + 2*int64(r.max) + int64(len(r.result.Body)) + o.block()/4
	if root.budget.Fits(next) {
		return
	}
	if total, more := root.budget.Ahead(next, o.block()); more {
		root.budget = root.budget.WithAsked(total)
		o.add(record.Reserved{Program: root.id, Total: total})
	}
}

// remember keeps what the next call's prompt is measured against.
func (o *Owner) remember(r *run, res result.Result) {
	if r.call.Kind != call.Model || !res.OK() {
		return
	}
	p := r.prog
	p.prefix = p.prefix[:0]
	for _, b := range r.blocks {
		p.prefix = append(p.prefix, b.Hash)
	}
	p.size = state.Size{Prompt: res.Prompt, Output: res.Output, Bytes: len(r.call.Body)}
}

// next starts the call that waited for the one that ended.
func (o *Owner) next(now time.Time, p *program) {
	r := p.early[p.order.Next]
	if r == nil || p.closed != "" {
		return
	}
	delete(p.early, p.order.Next)
	o.begin(now, r)
}

// answer tells all waiting callers.
func (o *Owner) answer(r *run) {
	for _, t := range r.tickets {
		delete(o.tickets, t)
		o.reply(t, r.call.Request, r.result)
	}
	r.tickets = nil
}

// close ends a program and its sub-agents, and stops what they have under way.
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

// engines returns those that ran the program's calls, as far as the journal has them.
func (o *Owner) engines(program string) []string {
	if d := o.Fold.Programs[program]; d != nil {
		return slices.Clone(d.Engines)
	}
	return nil
}

func (o *Owner) refuse(now time.Time, r *run, res result.Result) { o.finish(now, r, res) }

// abandon gives up a call under way. A non-idempotent call that was sent goes
// on: its outcome must be learnt, not cut.
func (o *Owner) abandon(now time.Time, r *run, code result.Code, why string) {
	switch r.phase {
	case waitAnswer:
		if !o.idempotent(r) {
			return
		}
		o.stop(r)
		r.cost = r.hold // covers this attempt and those before
		for i := range r.tries {
			if r.tries[i].Ended == "" {
				r.tries[i].End, r.tries[i].Ended = now, endedWithdrawn
			}
		}
		o.finish(now, r, result.Failed(code, r.ran(), "%s", why))
		return
	case waitPlace:
		o.emit(Place{Message: sched.Cancel{ID: r.call.Request}})
	case waitIntent, waitBudget:
		if r.phase == waitIntent && o.Writer.Withdraw(r.seq) {
			o.queue = slices.DeleteFunc(o.queue, func(p pending) bool { return p.seq == r.seq })
		}
	case waitKeep:
		o.inline(now, r)
		return
	case waitCommit:
		return
	case waitOrder, waitHold:
	}
	if r.sent() {
		o.finish(now, r, result.Failed(code, r.ran(), "%s", why))
		return
	}
	o.finish(now, r, result.Refuse(code, "%s", why))
}

// stop cancels the attempts under way.
func (o *Owner) stop(r *run) {
	for _, u := range r.live {
		o.emit(Stop{Request: r.call.Request, Upstream: u})
		o.place(r, sched.Done{ID: r.call.Request, Upstream: u, Outcome: sched.Cancelled})
	}
	r.live = nil
}

// leave forgets a waiting caller. The call goes on for a moment: a caller whose
// connection broke comes back and joins.
func (o *Owner) leave(now time.Time, t Ticket) {
	r := o.tickets[t]
	delete(o.tickets, t)
	o.opening = slices.DeleteFunc(o.opening, func(w waiter) bool { return w.ticket == t })
	if r == nil {
		return
	}
	r.tickets = slices.DeleteFunc(r.tickets, func(x Ticket) bool { return x == t })
	if len(r.tickets) == 0 {
		r.alone = now
	}
}

func (o *Owner) journal(now time.Time, m jrnl.Message) {
	for _, e := range o.Writer.Step(now, m) {
		switch e := e.(type) {
		case jrnl.Create, jrnl.Read:
			o.emit(Write{Effect: e})
		case jrnl.Committed:
			o.committed(now, e)
		case jrnl.Fenced:
			o.emit(Fenced{})
		}
	}
}

// committed applies what is durable now and tells whoever waited for it.
func (o *Owner) committed(now time.Time, c jrnl.Committed) {
	n := 0
	for n < len(o.queue) && o.queue[n].seq <= c.Seq {
		rec := o.queue[n].rec
		if err := o.Fold.Apply(c.Number, rec); err != nil {
			panic(err) // the record was made here from the same programs
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
	o.bySeq = max(o.bySeq, c.Seq)
	o.Fold.Upto = c.Number
	o.stalledNow = false
	o.release()
	if o.verifySeq != 0 && c.Seq >= o.verifySeq {
		o.verifySeq = 0
		o.emit(Verified{})
	}
	for _, r := range o.waiting(c.Seq) {
		o.proceed(now, r)
	}
	if c.RecordBoundary {
		o.emit(Saving{})
	}
}

func (o *Owner) reserved(program string, total int64) {
	if p := o.progs[program]; p != nil && p.root == p {
		p.budget = p.budget.WithReserved(total)
	}
}

// waiting returns the runs whose record is committed, oldest record first.
func (o *Owner) waiting(seq uint64) []*run {
	var rs []*run
	for _, r := range o.runs {
		waits := r.phase == waitBudget || r.phase == waitIntent || r.phase == waitCommit
		if waits && r.seq <= seq {
			rs = append(rs, r)
		}
	}
	slices.SortFunc(rs, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.seq, b.seq), byName(a, b))
	})
	return rs
}

func (o *Owner) proceed(now time.Time, r *run) {
	switch r.phase {
	case waitBudget:
		r.phase = waitOrder
		o.ready(now, r)
	case waitIntent:
		o.ask(now, r)
	case waitCommit:
		o.answer(r)
		delete(o.runs, r.call.Request)
		if r.prog.last == r {
			r.prog.last = nil
		}
	case waitOrder, waitHold, waitPlace, waitAnswer, waitKeep:
	}
}

// release answers the openings and ends that are committed.
func (o *Owner) release() {
	o.opening = slices.DeleteFunc(o.opening, func(w waiter) bool {
		if w.seq > o.bySeq {
			return false
		}
		o.reply(w.ticket, "", w.result)
		return true
	})
}

// saved forgets families that have ended and stand in the snapshot's index.
func (o *Owner) saved(m Saved) {
	o.Fold.Named(m.Upto)
	if o.Fold.Gone == nil {
		o.Fold.Gone = map[uint64]uint32{}
	}
	for id, p := range o.progs {
		at, ok := m.Gone[state.Hash(id)]
		if !ok || p.root != p || !o.over(p, m.Upto) {
			continue
		}
		o.Fold.Gone[state.Hash(id)] = at
		for _, q := range p.family {
			delete(o.progs, q.id)
			delete(o.Fold.Programs, q.id)
		}
	}
}

// over reports whether a family has ended for good, with all its records in
// entries up to upto.
func (o *Owner) over(root *program, upto uint64) bool {
	return !slices.ContainsFunc(root.family, func(p *program) bool {
		d := o.Fold.Programs[p.id]
		return p.closed == "" || p.current != nil || p.last != nil || d == nil || !d.Settled(upto)
	})
}
