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
	waitOrder     phase = iota // for the preceding calls to end; also once begun, before any other wait
	waitBudget                 // for a reservation to be committed
	waitIntent                 // for its intent to be committed
	waitTakeover               // until a former owner can no longer dispatch
	waitPlacement              // for placement to choose an upstream
	waitAttempt                // for the attempt under way to end
	waitOffload                // for its texts to be stored in data folders
	waitCommit                 // for its outcome to be committed

	maxEarlyCalls     = 16
	maxCallersPerCall = 16
)

type (
	phase int

	// run is one call from its acceptance until its outcome is committed, or
	// until it is replied to if the call did not run.
	run struct {
		call           call.Call
		prog           *program
		phase          phase
		digest         string
		blocks         []engine.Block // one for each message of the prompt
		shared         int            // leading messages in common with the program's newest answered model call
		promptBound    int64          // upper bound of the prompt's tokens
		max            int            // limit of generated tokens
		hold           int64          // tokens held in the budget
		cost           int64          // tokens charged for attempts that were sent
		tickets        []Ticket
		attempts       []hist.Try
		inFlight       []string // upstreams with an attempt under way
		avoid          []string // upstreams of attempts that failed or were not sent
		failedAttempts int
		budgetBefore   int64
		start          time.Time
		deadline       time.Time // of the current phase; zero for none
		noCallerSince  time.Time // start of noCallerTimeout; zero if it does not run
		pieces         int
		seq            uint64 // of the record that the phase waits for
		target         string // of a moved call, as recorded
		bodyText       string // of a moved call, as recorded; its body is not in memory
		bodySize       int    // of a moved call, in bytes
		moved          bool   // taken over with an attempt under way at the former owner's daemon
		result         result.Result
		final          bool
		outcome        *hist.Call // while its texts are being stored in data folders
		offload        uint64     // ID of the Offload that waitOffload waits for
	}
)

func (o *Owner) call(now time.Time, m Call) {
	p := o.progs[m.Call.Program]
	switch {
	case p == nil && o.hasEnded(m.Call.Program):
		o.reply(m.Ticket, m.Call.Request, result.Refuse(result.CodeEnded, "the program has ended"))
		return
	case p == nil || p.open.Account != m.Call.Account:
		o.reply(m.Ticket, m.Call.Request, result.Refuse(result.CodeNotFound, "no such program"))
		return
	}
	p.lastActive = now
	digest := digestOf(m.Call)
	switch v := p.order.Classify(m.Call.Number); v {
	case order.Join:
		o.join(m, p.current, digest)
	case order.Repeat:
		o.repeatNewest(now, m, p, digest)
	case order.Superseded:
		o.repeatOlder(m, p)
	case order.TooFar:
		o.reply(m.Ticket, m.Call.Request, result.Refuse(result.CodeOrder, "call %d is too far ahead; the next is %d", m.Call.Number, p.order.Next))
	case order.Run, order.Early:
		o.accept(now, m, p, digest, v)
	}
}

// digestOf hashes the fields by which a repeat is told from a different
// request with the same call number.
func digestOf(c call.Call) string {
	h := sha256.New()
	for _, s := range []string{string(c.Kind), c.Service, c.Method, c.Path, c.Model} {
		_, _ = h.Write([]byte(s))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// join makes a repeat wait for the outcome of the call that was accepted already.
// The caller may have lost its first connection; running the call for the second
// one as well would cost double or repeat its side effects.
func (o *Owner) join(m Call, r *run, digest string) {
	switch {
	case r.digest != digest:
		o.reply(m.Ticket, m.Call.Request, result.Refuse(result.CodeConflict, "call %d is under way with another body", r.call.Number))
	case len(r.tickets) >= maxCallersPerCall:
		o.reply(m.Ticket, m.Call.Request, result.Failed(result.CodeLimited, result.Unknown, "call %d is under way, and has too many callers waiting", r.call.Number))
	default:
		o.addCaller(m.Ticket, r)
	}
}

func (o *Owner) addCaller(t Ticket, r *run) {
	r.tickets = append(r.tickets, t)
	r.noCallerSince = time.Time{}
	o.tickets[t] = r
	if r.phase != waitCommit {
		o.emit(Subscribe{Ticket: t, Request: r.call.Request})
	}
}

// repeatNewest handles a repeat of the newest call that ended.
func (o *Owner) repeatNewest(now time.Time, m Call, p *program, digest string) {
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
	case d.BodyDropped:
		o.emit(ReplyFromJournal{Ticket: m.Ticket, Program: p.id, Number: m.Call.Number, Entries: d.Entries})
	default:
		o.reply(m.Ticket, d.Last.Request, d.Last.Result)
	}
}

// rerun runs the newest call again, whose outcome was not final: the call did
// not run, or it was idempotent and failed.
func (o *Owner) rerun(now time.Time, m Call, p *program, digest string) {
	if p.order.Running {
		o.reply(m.Ticket, m.Call.Request, result.Refuse(result.CodeOrder, "call %d runs already", p.order.Current))
		return
	}
	p.order.Next = m.Call.Number
	o.accept(now, m, p, digest, order.Run)
}

// repeatOlder answers a repeat of an older call from the journal.
func (o *Owner) repeatOlder(m Call, p *program) {
	d := o.Fold.Programs[p.id]
	if d == nil {
		o.reply(m.Ticket, m.Call.Request, result.Refuse(result.CodeOrder, "call %d has ended", m.Call.Number))
		return
	}
	o.emit(ReplyFromJournal{Ticket: m.Ticket, Program: p.id, Number: m.Call.Number, Entries: d.Entries})
}

// accept starts a call that is the program's next, or queues one that arrived
// before its predecessors.
func (o *Owner) accept(now time.Time, m Call, p *program, digest string, v order.Class) {
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
		o.reply(m.Ticket, m.Call.Request, o.movingResult())
		return
	}
	o.runs[r.call.Request] = r
	o.addCaller(m.Ticket, r)
	if v == order.Run {
		o.begin(now, r)
		return
	}
	if len(p.early) >= maxEarlyCalls {
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
		o.measurePrompt(r)
	}
	r.budgetBefore = p.root.budget.Free()
	if refusal := o.reserve(now, r); refusal.Code != "" {
		o.finish(now, r, refusal)
		return
	}
	if r.phase == waitOrder {
		o.startReserved(now, r)
	}
}

// check returns a refusal if the call exceeds its agent's turns, names a model
// or service that is not declared, or needs the store while it is down. The
// zero Result allows the call. An empty model becomes the agent's.
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
			return o.storeDownResult()
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

// measurePrompt finds the leading messages in common with the program's newest
// answered model call, and bounds the prompt's tokens. If the prompt extends
// that call's, the bound is the engine's count of the earlier prompt plus one
// token for each further byte; otherwise it is one token for each byte. An
// estimate from the usual number of bytes per token would let a text that has
// fewer bytes per token exceed the budget.
func (o *Owner) measurePrompt(r *run) {
	p := r.prog
	r.blocks = engine.Blocks(r.call.Body)
	for r.shared < len(r.blocks) && r.shared < len(p.prefix) && r.blocks[r.shared].Hash == p.prefix[r.shared] {
		r.shared++
	}
	r.promptBound = int64(len(r.call.Body))
	if n := len(p.prefix); n > 0 && r.shared == n && len(r.call.Body) >= p.promptSize.Bytes {
		r.promptBound = int64(p.promptSize.Prompt + len(r.call.Body) - p.promptSize.Bytes)
	}
}

// reserve holds the call's maximum cost in the family's budget. If the journal
// has not reserved that much yet, the call waits for it in waitBudget.
func (o *Owner) reserve(now time.Time, r *run) result.Result {
	if r.call.Kind == call.Service {
		return result.Result{}
	}
	root := r.prog.root
	limit := o.cfg.Models[r.call.Model].MaxTokens
	if n := r.call.MaxTokens; n > 0 && (limit == 0 || n < limit) {
		limit = n
	}
	room := root.budget.Free() - r.promptBound
	if room < 1 {
		return result.Refuse(result.CodeBudget, "the call may cost %d tokens and more; the budget has %d left", r.promptBound+1, root.budget.Free())
	}
	r.max = int(min(int64(limit), room))
	r.hold = r.promptBound + int64(r.max)
	if !root.budget.Fits(r.hold) {
		if o.stalled() {
			r.hold = 0
			return o.storeDownResult()
		}
		r.seq = o.requestReservation(root, r.hold)
		r.phase = waitBudget
		r.deadline = now.Add(journalTimeout)
	}
	root.budget = root.budget.WithHold(r.hold)
	return result.Result{}
}

// requestReservation adds a record that reserves n more tokens and a budget block
// in advance, unless an earlier one covers them. It returns the sequence number
// up to which the journal must be committed.
func (o *Owner) requestReservation(root *program, n int64) uint64 {
	total, more := root.budget.NextReservation(n, o.budgetBlock())
	if more {
		root.budget = root.budget.WithRequested(total)
		return o.add(record.Reserved{Program: root.id, Total: total})
	}
	return o.newestSeq()
}

func (o *Owner) budgetBlock() int64 {
	if o.cfg.Limits.BudgetBlock > 0 {
		return o.cfg.Limits.BudgetBlock
	}
	return defaultBudgetBlock
}

// startReserved continues a call whose budget is held. A non-idempotent call
// commits its intent before it asks for an upstream.
func (o *Owner) startReserved(now time.Time, r *run) {
	if o.idempotent(r) {
		o.requestPlacement(now, r)
		return
	}
	r.phase = waitIntent
	r.deadline = now.Add(journalTimeout)
	r.seq = o.add(record.Intent{Program: r.prog.id, Call: o.callRecord(r)})
}

// callRecord returns the call in the form in which the journal stores it.
func (o *Owner) callRecord(r *run) hist.Call {
	target, bodyText, bodySize := r.call.Model, "", len(r.call.Body)
	if r.call.Kind == call.Service {
		target = r.call.Service + r.call.Path
	}
	if r.moved {
		target, bodyText, bodySize = r.target, r.bodyText, r.bodySize
	} else {
		bodyText = recordedBody(r.call, r.shared)
	}
	return hist.Call{
		Request:      r.call.Request,
		Number:       r.call.Number,
		Kind:         r.call.Kind,
		Target:       target,
		Digest:       r.digest,
		Size:         bodySize,
		Shared:       r.shared,
		Asked:        bodyText,
		Tries:        append([]hist.Try(nil), r.attempts...),
		Result:       r.result,
		BudgetBefore: r.budgetBefore,
		BudgetAfter:  r.prog.root.budget.Free(),
		Config:       o.cfg.Version,
		Epoch:        o.Writer.Epoch,
		Start:        r.start,
	}
}
