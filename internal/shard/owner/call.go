package owner

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/order"
	"github.com/slaterock/slaterock/internal/prog/record"
	"github.com/slaterock/slaterock/internal/prog/result"
)

const (
	waitOrder  phase = iota // for the calls before it
	waitBudget              // for a reservation to be committed
	waitIntent              // for its intent to be committed
	waitHold                // for a former owner's time to be over
	waitPlace               // for an upstream
	waitAnswer              // an attempt is under way
	waitKeep                // for its texts to be in data folders
	waitCommit              // for its outcome to be committed

	maxEarly  = 16
	maxJoined = 16
)

type (
	phase int

	// run is one call on its way.
	run struct {
		call     call.Call
		prog     *program
		phase    phase
		digest   string
		blocks   []engine.Block
		shared   int   // leading messages that the program's model call before had
		prompt   int64 // bound of the prompt's tokens
		max      int   // tokens that may be generated
		hold     int64
		cost     int64 // of attempts that failed after they were sent
		tickets  []Ticket
		tries    []hist.Try
		live     []string // upstreams with an attempt under way
		failed   []string // upstreams to avoid
		retries  int
		before   int64
		start    time.Time
		deadline time.Time // of the present phase, zero is none
		alone    time.Time // since when no caller waits
		pieces   int
		seq      uint64 // the record that the phase waits for
		target   string // of a moved call, whose body is not here
		asked    string
		size     int
		moved    bool // its attempt is under way at the former owner's daemon
		result   result.Result
		final    bool
		told     *hist.Call // its outcome, while its texts are being kept
		keep     uint64     // the Keep that waitKeep waits for
	}
)

func (o *Owner) call(now time.Time, m Call) {
	p := o.progs[m.Call.Program]
	switch {
	case p == nil && o.gone(m.Call.Program):
		o.reply(m.Ticket, m.Call.Request, result.Refuse(result.CodeEnded, "the program has ended"))
		return
	case p == nil || p.open.Account != m.Call.Account:
		o.reply(m.Ticket, m.Call.Request, result.Refuse(result.CodeNotFound, "no such program"))
		return
	}
	p.active = now
	digest := digestOf(m.Call)
	switch v := p.order.Judge(m.Call.Number); v {
	case order.Join:
		o.join(m, p.current, digest)
	case order.Again:
		o.again(now, m, p, digest)
	case order.Past:
		o.past(m, p)
	case order.Far:
		o.reply(m.Ticket, m.Call.Request, result.Refuse(result.CodeOrder, "call %d is too far ahead; the next is %d", m.Call.Number, p.order.Next))
	case order.Run, order.Early:
		o.accept(now, m, p, digest, v)
	}
}

// digestOf covers all that makes two requests the same one.
func digestOf(c call.Call) string {
	h := sha256.New()
	for _, s := range []string{string(c.Kind), c.Service, c.Method, c.Path, c.Model} {
		_, _ = h.Write([]byte(s))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// join lets a repeat wait for the call under way. The caller's first
// connection may have gone silent; running the call again for the second would
// cost double or do it twice.
func (o *Owner) join(m Call, r *run, digest string) {
	switch {
	case r.digest != digest:
		o.reply(m.Ticket, m.Call.Request, result.Refuse(result.CodeConflict, "call %d is under way with another body", r.call.Number))
	case len(r.tickets) >= maxJoined:
		o.reply(m.Ticket, m.Call.Request, result.Refuse(result.CodeLimited, "call %d has too many callers waiting", r.call.Number))
	default:
		o.attach(m.Ticket, r)
	}
}

func (o *Owner) attach(t Ticket, r *run) {
	r.tickets = append(r.tickets, t)
	r.alone = time.Time{}
	o.tickets[t] = r
	if r.phase != waitCommit {
		o.emit(Join{Ticket: t, Request: r.call.Request})
	}
}

// again answers a repeat of the newest call that ended.
func (o *Owner) again(now time.Time, m Call, p *program, digest string) {
	if p.last != nil && p.last.call.Number == m.Call.Number {
		if p.last.final || p.last.digest == digest && p.last.result.OK() {
			o.join(m, p.last, digest)
			return
		}
		o.rerun(now, m, p, digest)
		return
	}
	d := o.Fold.Programs[p.id]
	if d == nil || d.Last.Number != m.Call.Number || !d.Final {
		o.rerun(now, m, p, digest)
		return
	}
	switch {
	case d.Last.Digest != digest:
		o.reply(m.Ticket, m.Call.Request, result.Refuse(result.CodeConflict, "call %d has ended with another body", m.Call.Number))
	case d.Dropped:
		o.emit(Recall{Ticket: m.Ticket, Program: p.id, Number: m.Call.Number, Entries: d.Entries})
	default:
		o.reply(m.Ticket, d.Last.Request, d.Last.Result)
	}
}

// rerun runs the newest call once more: its outcome was that it did not run,
// or that an idempotent call failed.
func (o *Owner) rerun(now time.Time, m Call, p *program, digest string) {
	if p.order.Running {
		o.reply(m.Ticket, m.Call.Request, result.Refuse(result.CodeOrder, "call %d runs already", p.order.Current))
		return
	}
	p.order.Next = m.Call.Number
	o.accept(now, m, p, digest, order.Run)
}

// past answers a repeat of an older call from the journal.
func (o *Owner) past(m Call, p *program) {
	d := o.Fold.Programs[p.id]
	if d == nil {
		o.reply(m.Ticket, m.Call.Request, result.Refuse(result.CodeOrder, "call %d has ended", m.Call.Number))
		return
	}
	o.emit(Recall{Ticket: m.Ticket, Program: p.id, Number: m.Call.Number, Entries: d.Entries})
}

// accept takes in a call that is to run now or after the ones before it.
func (o *Owner) accept(now time.Time, m Call, p *program, digest string, v order.Verdict) {
	if old := p.early[m.Call.Number]; old != nil {
		o.join(m, old, digest)
		return
	}
	if p.closed != "" {
		o.reply(m.Ticket, m.Call.Request, result.Refuse(result.CodeEnded, "the program has ended: %s", p.closed))
		return
	}
	r := &run{call: m.Call, prog: p, digest: digest, start: now}
	r.deadline = now.Add(o.cfg.Limits.GapWait)
	if o.draining {
		o.reply(m.Ticket, m.Call.Request, o.moving())
		return
	}
	o.runs[r.call.Request] = r
	o.attach(m.Ticket, r)
	if v == order.Run {
		o.begin(now, r)
		return
	}
	if len(p.early) >= maxEarly {
		o.refuse(now, r, result.Refuse(result.CodeOrder, "too many calls wait; the next is %d", p.order.Next))
		return
	}
	if p.early == nil {
		p.early = map[int]*run{}
	}
	p.early[m.Call.Number] = r
}

// begin starts the program's next call.
func (o *Owner) begin(now time.Time, r *run) {
	p := r.prog
	p.order = p.order.WithStarted(r.call.Number)
	p.current = r
	r.deadline = time.Time{}
	if refusal := o.check(r); refusal.Code != "" {
		o.finish(now, r, refusal)
		return
	}
	if r.call.Kind == call.Model {
		o.measure(r)
	}
	r.before = p.root.budget.Free()
	if refusal := o.reserve(now, r); refusal.Code != "" {
		o.finish(now, r, refusal)
		return
	}
	if r.phase == waitOrder {
		o.ready(now, r)
	}
}

// check refuses what the declarations don't allow.
func (o *Owner) check(r *run) result.Result {
	agent := o.agent(r.prog)
	if agent.MaxTurns > 0 && r.prog.turns >= agent.MaxTurns {
		return result.Refuse(result.CodeTurns, "the program has made its %d calls", agent.MaxTurns)
	}
	if r.call.Kind == call.Service {
		if _, ok := o.cfg.Services[r.call.Service]; !ok {
			return result.Refuse(result.CodeNotFound, "service %q is not declared", r.call.Service)
		}
		if !o.idempotent(r) && o.stalled() {
			return o.down()
		}
		return result.Result{}
	}
	if r.call.Model == "" {
		r.call.Model = agent.Model
	}
	if _, ok := o.cfg.Models[r.call.Model]; !ok {
		return result.Refuse(result.CodeNotFound, "model %q is not declared", r.call.Model)
	}
	return result.Result{}
}

func (o *Owner) idempotent(r *run) bool {
	return r.call.Kind == call.Model || o.cfg.Services[r.call.Service].Idempotent
}

// measure finds what the prompt shares with the program's call before, and
// bounds its tokens. What an engine counted before stays as it was counted;
// each further byte is at most one token. A guess by the usual bytes for a
// token would let a text that encodes badly pass the budget.
func (o *Owner) measure(r *run) {
	p := r.prog
	r.blocks = engine.Blocks(r.call.Body)
	for r.shared < len(r.blocks) && r.shared < len(p.prefix) && r.blocks[r.shared].Hash == p.prefix[r.shared] {
		r.shared++
	}
	r.prompt = int64(len(r.call.Body))
	if n := len(p.prefix); n > 0 && r.shared == n && len(r.call.Body) >= p.size.Bytes {
		r.prompt = int64(p.size.Prompt + len(r.call.Body) - p.size.Bytes)
	}
}

// reserve holds what the call can cost at most.
func (o *Owner) reserve(now time.Time, r *run) result.Result {
	if r.call.Kind == call.Service {
		return result.Result{}
	}
	root := r.prog.root
	limit := o.cfg.Models[r.call.Model].MaxTokens
	if n := r.call.MaxTokens; n > 0 && (limit == 0 || n < limit) {
		limit = n
	}
	room := root.budget.Free() - r.prompt
	if room < 1 {
		return result.Refuse(result.CodeBudget, "the call may cost %d tokens and more; the budget has %d left", r.prompt+1, root.budget.Free())
	}
	r.max = int(min(int64(limit), room))
	r.hold = r.prompt + int64(r.max)
	if !root.budget.Fits(r.hold) {
		if o.stalled() {
			r.hold = 0
			return o.down()
		}
		r.seq = o.ahead(root, r.hold)
		r.phase = waitBudget
		r.deadline = now.Add(journalWait)
	}
	root.budget = root.budget.WithHold(r.hold)
	return result.Result{}
}

// ahead asks the journal for n more tokens and a block, and returns the
// sequence number of the reservation that covers them.
func (o *Owner) ahead(root *program, n int64) uint64 {
	total, more := root.budget.Ahead(n, o.block())
	if more {
		root.budget = root.budget.WithAsked(total)
		return o.add(record.Reserved{Program: root.id, Total: total})
	}
	return o.newest()
}

func (o *Owner) block() int64 {
	if o.cfg.Limits.BudgetBlock > 0 {
		return o.cfg.Limits.BudgetBlock
	}
	return defaultBlock
}

// ready goes on with a call whose budget is held: a non-idempotent one commits
// its intent first.
func (o *Owner) ready(now time.Time, r *run) {
	if o.idempotent(r) {
		o.ask(now, r)
		return
	}
	r.phase = waitIntent
	r.deadline = now.Add(journalWait)
	r.seq = o.add(record.Intent{Program: r.prog.id, Call: o.history(r)})
}

// history is the call as the journal tells it.
func (o *Owner) history(r *run) hist.Call {
	target, asked, size := r.call.Model, "", len(r.call.Body)
	if r.call.Kind == call.Service {
		target = r.call.Service + r.call.Path
	}
	if r.moved {
		target, asked, size = r.target, r.asked, r.size
	} else {
		asked = added(r.call, r.shared)
	}
	return hist.Call{
		Request: r.call.Request,
		Number:  r.call.Number,
		Kind:    r.call.Kind,
		Target:  target,
		Digest:  r.digest,
		Size:    size,
		Shared:  r.shared,
		Asked:   asked,
		Tries:   append([]hist.Try(nil), r.tries...),
		Result:  r.result,
		Before:  r.before,
		After:   r.prog.root.budget.Free(),
		Config:  o.cfg.Version,
		Epoch:   o.Writer.Epoch,
		Start:   r.start,
	}
}
