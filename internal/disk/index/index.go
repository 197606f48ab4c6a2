// Package book is the index over one VM's durable records: what each program
// has spent, and where each kept turn lies in the log.
//
// It is a state machine without clock, lock or disk. Expiry is by the time that
// is passed in.
package index

import (
	"time"

	"github.com/slaterock/slaterock/internal/disk/seglog"
)

const (
	// MaxChain bounds the turns of one chain. The longest programs have 320
	// turns; a chain beyond this is a loop in the records.
	MaxChain = 4096
	// Slack is added to the time for which a record is kept: VMs' clocks differ
	// and may be set by seconds.
	ClockSlack = 20 * time.Second
)

type (
	// Book is the index. The zero value is empty.
	Index struct {
		programs map[string]*program
		turns    map[string]*turn
	}

	program struct {
		charges map[string]Charge
		expires time.Time
	}

	turn struct {
		previous string
		pos      seglog.Pos
		expires  time.Time
	}
)

// Apply takes a record that lies at pos.
func (ix *Index) Apply(r Record, pos seglog.Pos, now time.Time) {
	ix.ApplyCharge(r, now)
	if r.Turn == nil {
		return
	}
	if ix.turns == nil {
		ix.turns = map[string]*turn{}
	}
	t := ix.turns[r.Attempt]
	if t == nil {
		t = &turn{previous: r.Turn.Previous}
		ix.turns[r.Attempt] = t
	}
	t.pos = pos
	ix.extendChain(r.Attempt, r.expires(now))
}

// extend keeps a turn together with the chain before it.
func (ix *Index) extendChain(id string, until time.Time) {
	for range MaxChain {
		t := ix.turns[id]
		if t == nil || !t.expires.Before(until) {
			return
		}
		t.expires = until
		id = t.previous
	}
}

// Note takes what a record says of a budget. It may come before the record is
// durable, so that attempts which run at the same time see each other.
func (ix *Index) ApplyCharge(r Record, now time.Time) {
	if r.Program == "" || !r.Reserved && !r.Settled {
		return
	}
	if ix.programs == nil {
		ix.programs = map[string]*program{}
	}
	p := ix.programs[r.Program]
	if p == nil {
		p = &program{charges: map[string]Charge{}}
		ix.programs[r.Program] = p
	}
	if until := r.expires(now); until.After(p.expires) {
		p.expires = until
	}
	p.charges[r.Attempt] = Merge(p.charges[r.Attempt], r.charge())
}

func (r Record) charge() Charge {
	if r.Settled {
		return Charge{Attempt: r.Attempt, Tokens: r.Spent, Settled: true, Upstream: r.Upstream, Session: r.Session, At: r.At}
	}
	return Charge{Attempt: r.Attempt, Tokens: r.MaxTokens}
}

// Join returns what two replicas know together of one attempt: what was spent
// in the end goes before what it might spend.
func Merge(a, b Charge) Charge {
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

// Fits tells whether a program's budget holds what its attempts take, the one
// asked for included: what has ended by what it spent, all others by their most.
func WithinBudget(shares []Charge, budget int) bool {
	sum := 0
	for _, s := range shares {
		sum += s.Tokens
	}
	return sum <= budget
}

// LastRan returns the upstream that last ran a turn of the session, else one of
// the whole program: a sub-agent's prompt begins with its parent's.
func LastUpstream(shares []Charge, session string) (upstream string) {
	newest, own := int64(-1), false
	for _, s := range shares {
		mine := s.Session == session
		if s.Upstream == "" || own && !mine || own == mine && s.At <= newest {
			continue
		}
		upstream, newest, own = s.Upstream, s.At, mine
	}
	return upstream
}

// Begun tells whether any other attempt of the program than this one has run, or
// may be running.
func OthersStarted(shares []Charge, attempt string) bool {
	for _, s := range shares {
		if s.Attempt != attempt && (s.Tokens > 0 || s.Upstream != "") {
			return true
		}
	}
	return false
}

// Since returns when the first attempt of a program came, now if none is known.
func StartTime(shares []Charge, now time.Time) time.Time {
	first := now
	for _, s := range shares {
		if at := time.UnixMilli(s.At); s.At > 0 && at.Before(first) {
			first = at
		}
	}
	return first
}

// expires counts from the record's own time: after a restart all records are
// read again, and none must live longer for it.
func (r Record) expires(now time.Time) time.Time {
	at := now
	if r.At > 0 && r.At < now.UnixMilli() {
		at = time.UnixMilli(r.At)
	}
	return at.Add(time.Duration(r.TTL)*time.Millisecond + ClockSlack)
}

// Shares returns what the attempts of a program take of its budget.
func (ix *Index) Charges(name string) []Charge {
	p := ix.programs[name]
	if p == nil {
		return nil
	}
	list := make([]Charge, 0, len(p.charges))
	for _, s := range p.charges {
		list = append(list, s)
	}
	return list
}

// Chain returns where the turn and those before it lie, the newest first, as far
// as they are known here. Next is the first that isn't, empty if all are: a
// replica that was away may have a turn but lack one that it continues.
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

// Expire forgets what need not be remembered any more.
func (ix *Index) Expire(now time.Time) {
	for name, p := range ix.programs {
		if now.After(p.expires) {
			delete(ix.programs, name)
		}
	}
	for id, t := range ix.turns {
		if now.After(t.expires) {
			delete(ix.turns, id)
		}
	}
}

// Live tells whether a record that lies at pos is still needed.
func (ix *Index) Live(r Record, pos seglog.Pos) bool {
	if r.Turn != nil {
		if t := ix.turns[r.Attempt]; t != nil && t.pos == pos {
			return true
		}
	}
	p := ix.programs[r.Program]
	if p == nil {
		return false
	}
	_, ok := p.charges[r.Attempt]
	return ok
}

// Has tells whether the book already knows everything that the record says.
func (ix *Index) Has(r Record) bool {
	if r.Turn != nil && ix.turns[r.Attempt] == nil {
		return false
	}
	if r.Program == "" || !r.Reserved && !r.Settled {
		return true
	}
	p := ix.programs[r.Program]
	if p == nil {
		return false
	}
	old, known := p.charges[r.Attempt]
	return known && Merge(old, r.charge()) == old
}

// Len returns the number of programs and turns.
func (ix *Index) Len() (programs, turns int) { return len(ix.programs), len(ix.turns) }
