// Package index is the in-memory index over one VM's durable records, and the format of
// a record. It has the charges on each program's budget and the position of each stored
// turn in the log.
//
// It is a state machine that uses no clock, lock or disk: callers synchronize, and pass
// the time in.
package index

import (
	"cmp"
	"slices"
	"time"

	"github.com/slaterock/slaterock/internal/disk/seglog"
)

const (
	// MaxChain bounds the turns of one chain. The longest programs have 320
	// turns; a chain beyond this is a loop in the records.
	MaxChain = 4096
	// ClockSlack is added to the TTL of a record: VMs' clocks differ, and may be
	// stepped, by seconds.
	ClockSlack = 20 * time.Second
)

type (
	// Index has the charges of programs and the positions of turns. The zero value is
	// empty.
	Index struct {
		programs map[string]*program
		turns    map[string]*turn
		// awaited has, for turns that are not indexed, until when turns that continue them retain them:
		// records come in any order.
		awaited map[string]time.Time
		// needed has, for programs that are not indexed, until when turns of others need them.
		needed map[string]time.Time
	}

	program struct {
		charges map[string]Charge
		runs    map[string]Run   // of attempts for which anything is stated; nil for none
		parts   map[partKey]part // nil for none
		turns   []string
		open    []openAttempt // not known to be over
		expires time.Time     // as far as open attempts don't retain it
	}

	turn struct {
		previous string
		owner    string // key of its record: the program with which it is retained
		pos      seglog.Pos
		expires  time.Time // by its own record and the turns that continue it
	}
)

// Apply indexes a durable record at pos.
func (ix *Index) Apply(r Record, pos seglog.Pos, now time.Time) {
	ix.ApplyCharge(r, now)
	if r.Part != nil {
		p := ix.program(r.Key())
		p.addPart(r, pos)
		p.extend(r.expires(now))
	}
	if len(r.Needs) > 0 {
		ix.need(r, now)
	}
	if r.Turn == nil {
		return
	}
	ix.program(r.Key()).retain(r, now)
	if ix.turns == nil {
		ix.turns = map[string]*turn{}
	}
	t := ix.turns[r.Attempt]
	if t == nil {
		t = &turn{previous: r.Turn.Previous, owner: r.Key()}
		ix.turns[r.Attempt] = t
		p := ix.program(t.owner)
		p.turns = append(p.turns, r.Attempt)
	}
	t.pos = pos
	until := r.expires(now)
	if later, ok := ix.awaited[r.Attempt]; ok {
		delete(ix.awaited, r.Attempt)
		until = latest(until, later)
	}
	ix.extendChain(r.Attempt, until)
}

// ApplyCharge applies a record's reservation or settlement. It may be called before the
// record is durable, so that concurrent attempts see each other's charges.
func (ix *Index) ApplyCharge(r Record, now time.Time) {
	if !r.hasCharge() && !r.hasRun() {
		return
	}
	p := ix.program(r.Program)
	p.retain(r, now)
	if r.hasCharge() {
		p.charges[r.Attempt] = Merge(p.charges[r.Attempt], r.charge())
	}
	if r.hasRun() {
		p.addRun(r.run())
	}
}

func (ix *Index) program(name string) *program {
	if ix.programs == nil {
		ix.programs = map[string]*program{}
	}
	p := ix.programs[name]
	if p == nil {
		p = &program{charges: map[string]Charge{}, expires: ix.needed[name]}
		ix.programs[name] = p
		delete(ix.needed, name)
	}
	return p
}

func (r Record) hasCharge() bool { return r.Program != "" && (r.Reserved || r.Settled) }

func (r Record) charge() Charge {
	if r.Settled {
		return Charge{Attempt: r.Attempt, Tokens: r.Spent, Settled: true, Upstream: r.Upstream, Session: r.Session, At: r.At}
	}
	c := Charge{Attempt: r.Attempt, Tokens: r.MaxTokens}
	if r.Run != nil {
		c.Request, c.Front = r.Run.Request, r.Run.Front
	}
	return c
}

// Merge merges two charges of one attempt, as from two replicas: a settled one has
// precedence over a reservation; if both or neither are settled, the one with more tokens
// has.
func Merge(a, b Charge) Charge {
	request, front := max(a.Request, b.Request), cmp.Or(a.Front, b.Front) // a settlement states none
	a.Request, b.Request, a.Front, b.Front = request, request, front, front
	switch {
	case a.Attempt == "":
		return b
	case a.Settled != b.Settled:
		if a.Settled {
			return a
		}
		return b
	case a.Tokens > b.Tokens:
		return a
	default:
		return b
	}
}

// WithinBudget reports whether the sum of a program's charges is within its budget:
// settled attempts count with the tokens spent, others with the maximum reserved.
func WithinBudget(charges []Charge, budget int) bool {
	sum := 0
	for _, c := range charges {
		sum += c.Tokens
	}
	return sum <= budget
}

// SettledTokens returns the tokens that the settled attempts of a program have spent. The sum
// never falls.
func (ix *Index) SettledTokens(name string) (sum int) {
	p := ix.programs[name]
	if p == nil {
		return 0
	}
	for _, c := range p.charges {
		if c.Settled {
			sum += c.Tokens
		}
	}
	return sum
}

// LastUpstream returns the id of the upstream that last ran a turn of the session, or
// else of the whole program, since a sub-agent's prompt begins with its parent's. It is
// empty if there is none.
func LastUpstream(charges []Charge, session string) (upstream string) {
	newest, ownSession := int64(-1), false
	for _, c := range charges {
		sameSession := c.Session == session
		if c.Upstream == "" || ownSession && !sameSession || ownSession == sameSession && c.At <= newest {
			continue
		}
		upstream, newest, ownSession = c.Upstream, c.At, sameSession
	}
	return upstream
}

// OthersStarted reports whether an attempt of the program other than this one has run or
// may be running.
func OthersStarted(charges []Charge, attempt string) bool {
	for _, c := range charges {
		if c.Attempt != attempt && (c.Tokens > 0 || c.Upstream != "") {
			return true
		}
	}
	return false
}

// OpenAttempts returns the attempts of the request that are not settled, other than the one given and those
// with runs: each is under way, or its daemon was lost with it.
func OpenAttempts(charges []Charge, request uint64, attempt string, runs []Run) (open []Run) {
	for _, c := range charges {
		if c.Request != request || c.Settled || c.Attempt == attempt {
			continue
		}
		noted := func(r Run) bool { return r.Attempt == c.Attempt && r.HasFailed() }
		if !slices.ContainsFunc(runs, noted) {
			open = append(open, Run{Attempt: c.Attempt, Request: request, At: c.At, Under: 1, Front: c.Front})
		}
	}
	return open
}

// StartTime returns the time of the earliest settled attempt of a program, or now if there
// is none.
func StartTime(charges []Charge, now time.Time) time.Time {
	first := now
	for _, c := range charges {
		if at := time.UnixMilli(c.At); c.At > 0 && at.Before(first) {
			first = at
		}
	}
	return first
}

// Charges returns the charges on a program's budget, one for each attempt.
func (ix *Index) Charges(name string) []Charge {
	p := ix.programs[name]
	if p == nil {
		return nil
	}
	list := make([]Charge, 0, len(p.charges))
	for _, c := range p.charges {
		list = append(list, c)
	}
	return list
}

// Chain returns the positions of the turn and the previous ones, the newest first, as far
// as they are indexed. Next is the id of the first that is missing or beyond MaxChain,
// empty if none is: a replica that was down may have a turn but lack the one that it
// continues.
func (ix *Index) Chain(id string) (list []seglog.Pos, next string) {
	for id != "" && len(list) < MaxChain {
		t := ix.turns[id]
		if t == nil {
			return list, id
		}
		list = append(list, t.pos)
		id = t.previous
	}
	return list, id
}

// Live reports whether a record at pos must be retained.
func (ix *Index) Live(r Record, pos seglog.Pos) bool {
	if r.Turn != nil {
		if t := ix.turns[r.Attempt]; t != nil && t.pos == pos {
			return true
		}
	}
	p := ix.programs[r.Key()]
	if p == nil {
		return false
	}
	if r.Part != nil && p.parts[r.partKey()].pos == pos {
		return true
	}
	_, charged := p.charges[r.Attempt]
	_, ran := p.runs[r.Attempt]
	return charged || ran || r.isClaim() && p.hasClaim(r.Attempt)
}

// Has reports whether applying the record would change nothing in the index but positions
// and expiry.
func (ix *Index) Has(r Record) bool {
	if r.Turn != nil && ix.turns[r.Attempt] == nil {
		return false
	}
	if r.Part != nil && !ix.hasPart(r) {
		return false
	}
	if r.isClaim() && !ix.hasClaim(r) {
		return false
	}
	if !r.hasCharge() && !r.hasRun() {
		return true
	}
	p := ix.programs[r.Program]
	return p != nil && (!r.hasCharge() || p.hasCharge(r)) && (!r.hasRun() || p.hasRun(r.run()))
}

func (ix *Index) hasPart(r Record) bool {
	p := ix.programs[r.Key()]
	if p == nil {
		return false
	}
	_, known := p.parts[r.partKey()]
	return known
}

func (p *program) hasCharge(r Record) bool {
	old, known := p.charges[r.Attempt]
	return known && Merge(old, r.charge()) == old
}

// Len returns the number of programs and turns.
func (ix *Index) Len() (programs, turns int) { return len(ix.programs), len(ix.turns) }
