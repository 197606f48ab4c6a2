package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/prog/budget"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/order"
	"github.com/slaterock/slaterock/internal/prog/record"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/prog/state"
)

const (
	codeExpired = "expired"  // no call for the agent's IdleLimit
	codeTooLong = "too_long" // open for the agent's MaxDuration
)

type (
	// program is the volatile state of a program. Its durable state is in
	// Owner.Fold.
	program struct {
		id             string
		open           call.Open
		priority       int
		root           *program
		family         []*program    // root only: the root and all its sub-agents
		budget         budget.Budget // root only
		attainedTokens int64         // root only: tokens charged in this and earlier epochs
		order          order.Order
		turns          int
		opened         time.Time
		lastActive     time.Time
		openSeq        uint64
		early          map[int]*run // calls that wait for their predecessors, by number
		current        *run
		last           *run       // newest call that ended; cleared at its commit, unless it did not run
		prefix         []uint64   // prefix hashes of the newest answered prompt's messages
		promptSize     state.Size // tokens and bytes of the newest answered model call
		closed         string     // code; empty while open
	}

	// usage counts an account's open programs in this shard.
	usage struct{ open int }
)

// restore builds the volatile state from Fold. Reserved tokens count as spent, and
// a call whose intent has no outcome ends as unknown, unless the former owner
// handed it over: it may have been dispatched already, and a second run could
// repeat its side effects.
func (o *Owner) restore(now time.Time) {
	ids := make([]string, 0, len(o.Fold.Programs))
	for id := range o.Fold.Programs {
		ids = append(ids, id)
	}
	slices.Sort(ids) // parents sort before their sub-agents
	for _, id := range ids {
		o.restoreProgram(now, o.Fold.Programs[id])
	}
}

func (o *Owner) restoreProgram(now time.Time, d *state.Program) {
	p := o.addProgram(d.Open, d.Priority, d.Opened)
	p.lastActive, p.turns, p.closed, p.promptSize = d.LastActive, d.Turns, d.Closed, d.Conversation
	p.order = order.Order{Next: d.Next}
	if p.root == p {
		p.budget = budget.Budget{Limit: d.Budget, Reserved: d.Reserved, Spent: d.Spent}.Recovered()
		p.attainedTokens = d.Spent
	}
	if p.closed != "" {
		o.accounts[p.open.Account].open--
	}
	if m := d.Moved; m != nil {
		o.restoreRun(now, p, *m)
	}
	open := make([]hist.Call, 0, len(d.Intents))
	for _, c := range d.Intents {
		open = append(open, c)
	}
	slices.SortFunc(open, func(a, b hist.Call) int { return cmp.Compare(a.Number, b.Number) })
	for _, c := range open {
		if d.Moved == nil || d.Moved.Call.Request != c.Request {
			o.endUnknown(now, p, c)
		}
	}
}

// endUnknown ends a call whose intent has no outcome. Until its end is committed
// it is the program's last call, so that a repeat joins it and does not run.
func (o *Owner) endUnknown(now time.Time, p *program, c hist.Call) {
	c.End = now
	c.Result = result.Failed(result.CodeUnknown, result.Unknown,
		"the daemon that had accepted the call was lost before its outcome was recorded; it is not run again")
	r := &run{prog: p, phase: waitCommit, digest: c.Digest, result: c.Result, final: true, start: c.Start}
	r.call = call.Call{Request: c.Request, Account: p.open.Account, Program: p.id, Number: c.Number, Kind: c.Kind}
	r.seq = o.add(record.Ended{Program: p.id, Call: c, Final: true, InOrder: true})
	o.runs[c.Request] = r
	p.last = r
	p.order.Next = max(p.order.Next, c.Number+1)
	p.turns++
}

// addProgram adds a program and counts it as open for its account.
func (o *Owner) addProgram(open call.Open, priority int, opened time.Time) *program {
	p := &program{id: open.Program, open: open, priority: priority, opened: opened, lastActive: opened}
	p.root = o.progs[call.Root(open.Program)]
	if p.root == nil {
		p.root = p
	}
	p.root.family = append(p.root.family, p)
	o.progs[p.id] = p
	u := o.accounts[open.Account]
	if u == nil {
		u = &usage{}
		o.accounts[open.Account] = u
	}
	u.open++
	return p
}

func (o *Owner) agent(p *program) file.Agent { return o.cfg.Agents[p.open.Agent] }

func (o *Owner) open(now time.Time, m Open) {
	if p := o.progs[m.Open.Program]; p != nil {
		o.repeatOpen(m, p)
		return
	}
	open, agent, r := o.admit(m.Open)
	if r.Code != "" {
		o.reply(m.Ticket, "", r)
		return
	}
	p := o.addProgram(open, cmp.Or(open.Priority, agent.Priority), now)
	rec := record.Opened{Open: open, Priority: p.priority, Config: o.cfg.Version, At: now}
	if p.root == p {
		rec.Budget = cmp.Or(open.Budget, agent.Budget)
		p.budget = budget.Budget{Limit: rec.Budget}
		rec.Reserved, _ = p.budget.NextReservation(0, o.budgetBlock())
		p.budget = p.budget.WithRequested(rec.Reserved)
	}
	p.openSeq = o.add(rec)
	o.waitingReplies = append(o.waitingReplies, waitingReply{seq: p.openSeq, ticket: m.Ticket, result: okResult()})
}

func okResult() result.Result {
	return result.Result{Code: result.CodeOK, Ran: result.Yes, Status: 200}
}

// repeatOpen answers a repeated Open, whose caller may have lost the first
// reply.
func (o *Owner) repeatOpen(m Open, p *program) {
	switch {
	case p.open.Account != m.Open.Account:
		o.reply(m.Ticket, "", result.Refuse(result.CodeConflict, "the program id is taken"))
	case p.closed != "":
		o.reply(m.Ticket, "", result.Refuse(result.CodeEnded, "the program has ended: %s", p.closed))
	case !sameOpen(p.open, o.defaults(m.Open)):
		o.reply(m.Ticket, "", result.Refuse(result.CodeConflict, "the program is open with other values"))
	default:
		o.waitingReplies = append(o.waitingReplies, waitingReply{seq: p.openSeq, ticket: m.Ticket, result: okResult()})
		o.replyCommitted()
	}
}

func sameOpen(a, b call.Open) bool { return a == b }

// defaults fills in an empty agent: the parent's, or the only one configured.
func (o *Owner) defaults(open call.Open) call.Open {
	if open.Agent == "" && open.Parent != "" {
		if parent := o.progs[open.Parent]; parent != nil {
			open.Agent = parent.open.Agent
		}
	}
	if open.Agent == "" && len(o.cfg.Agents) == 1 {
		for name := range o.cfg.Agents {
			open.Agent = name
		}
	}
	return open
}

// admit checks an Open and fills in its defaults; a result with a code refuses
// it.
func (o *Owner) admit(open call.Open) (call.Open, file.Agent, result.Result) {
	none := result.Result{}
	open = o.defaults(open)
	agent, ok := o.cfg.Agents[open.Agent]
	acct, known := o.cfg.Accounts[open.Account]
	use := o.accounts[open.Account]
	_, gone := o.Fold.Gone[state.Hash(open.Program)]
	switch {
	case o.draining:
		return open, agent, o.movingResult()
	case gone:
		return open, agent, result.Refuse(result.CodeEnded, "a program with this id has ended")
	case !ok:
		return open, agent, result.Refuse(result.CodeBadRequest, "agent %q is not declared", open.Agent)
	case open.Budget < 0 || open.Budget > agent.Budget:
		return open, agent, result.Refuse(result.CodeBadRequest, "budget_tokens must be 1 to %d", agent.Budget)
	case known && acct.MaxPrograms > 0 && use != nil && use.open >= acct.MaxPrograms:
		return open, agent, result.Refuse(result.CodeLimited, "the account has %d programs open", use.open).WithRetryAfter(time.Second)
	case o.cfg.Limits.MaxPrograms > 0 && len(o.progs) >= o.cfg.Limits.MaxPrograms:
		return open, agent, result.Refuse(result.CodeLimited, "too many programs are open").WithRetryAfter(time.Second)
	case o.stalled():
		return open, agent, o.storeDownResult()
	}
	root := call.Root(open.Program)
	if root == open.Program {
		if open.Parent != "" {
			return open, agent, result.Refuse(result.CodeBadRequest, "a sub-agent's id is its parent's, a slash and a name")
		}
		return open, agent, none
	}
	parent := o.progs[open.Parent]
	switch {
	case !call.ChildOf(open.Program, open.Parent):
		return open, agent, result.Refuse(result.CodeBadRequest, "a sub-agent's id is its parent's, a slash and a name")
	case parent == nil || parent.open.Account != open.Account:
		return open, agent, result.Refuse(result.CodeNotFound, "no such parent program")
	case parent.closed != "" || parent.root.closed != "":
		return open, agent, result.Refuse(result.CodeEnded, "the parent program has ended")
	case open.Budget != 0:
		return open, agent, result.Refuse(result.CodeBadRequest, "a sub-agent shares its parent's budget and has none of its own")
	}
	return open, agent, none
}

func (o *Owner) end(now time.Time, m End) {
	p := o.progs[m.End.Program]
	switch {
	case p == nil && o.hasEnded(m.End.Program):
		o.reply(m.Ticket, "", okResult())
	case p == nil || p.open.Account != m.End.Account:
		o.reply(m.Ticket, "", result.Refuse(result.CodeNotFound, "no such program"))
	case p.closed == "":
		seq := o.close(now, p, string(m.End.Kind))
		o.waitingReplies = append(o.waitingReplies, waitingReply{seq: seq, ticket: m.Ticket, result: okResult()})
	default:
		o.waitingReplies = append(o.waitingReplies, waitingReply{seq: o.newestSeq(), ticket: m.Ticket, result: okResult()})
		o.replyCommitted()
	}
}

func (o *Owner) hasEnded(program string) bool {
	_, ok := o.Fold.Gone[state.Hash(program)]
	return ok
}

// newestSeq is the sequence number of the newest record added.
func (o *Owner) newestSeq() uint64 {
	if n := len(o.queue); n > 0 {
		return o.queue[n-1].seq
	}
	return o.committedSeq
}
