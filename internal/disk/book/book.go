// Package book is the index over one VM's durable records: what each program
// has spent, and where each kept turn lies in the log.
//
// It is a state machine without clock, lock or disk. Expiry is by the time that
// is passed in.
package book

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
	Slack = 20 * time.Second
)

type (
	// Book is the index. The zero value is empty.
	Book struct {
		programs map[string]*program
		turns    map[string]*turn
	}

	program struct {
		shares  map[string]Share
		expires time.Time
	}

	turn struct {
		previous string
		pos      seglog.Pos
		expires  time.Time
	}
)

// Apply takes a record that lies at pos.
func (b *Book) Apply(r Record, pos seglog.Pos, now time.Time) {
	b.Note(r, now)
	if r.Turn == nil {
		return
	}
	if b.turns == nil {
		b.turns = map[string]*turn{}
	}
	t := b.turns[r.Attempt]
	if t == nil {
		t = &turn{previous: r.Turn.Previous}
		b.turns[r.Attempt] = t
	}
	t.pos = pos
	b.extend(r.Attempt, r.expires(now))
}

// extend keeps a turn together with the chain before it.
func (b *Book) extend(id string, until time.Time) {
	for range MaxChain {
		t := b.turns[id]
		if t == nil || !t.expires.Before(until) {
			return
		}
		t.expires = until
		id = t.previous
	}
}

// Note takes what a record says of a budget. It may come before the record is
// durable, so that attempts which run at the same time see each other.
func (b *Book) Note(r Record, now time.Time) {
	if r.Program == "" || !r.Reserved && !r.Settled {
		return
	}
	if b.programs == nil {
		b.programs = map[string]*program{}
	}
	p := b.programs[r.Program]
	if p == nil {
		p = &program{shares: map[string]Share{}}
		b.programs[r.Program] = p
	}
	if until := r.expires(now); until.After(p.expires) {
		p.expires = until
	}
	p.shares[r.Attempt] = Join(p.shares[r.Attempt], r.share())
}

func (r Record) share() Share {
	if r.Settled {
		return Share{Attempt: r.Attempt, Tokens: r.Spent, Settled: true, Upstream: r.Upstream, Session: r.Session, At: r.At}
	}
	return Share{Attempt: r.Attempt, Tokens: r.Most}
}

// Join returns what two replicas know together of one attempt: what was spent
// in the end goes before what it might spend.
func Join(a, b Share) Share {
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
func Fits(shares []Share, budget int) bool {
	sum := 0
	for _, s := range shares {
		sum += s.Tokens
	}
	return sum <= budget
}

// LastRan returns the upstream that last ran a turn of the session, else one of
// the whole program: a sub-agent's prompt begins with its parent's.
func LastRan(shares []Share, session string) (upstream string) {
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
func Begun(shares []Share, attempt string) bool {
	for _, s := range shares {
		if s.Attempt != attempt && (s.Tokens > 0 || s.Upstream != "") {
			return true
		}
	}
	return false
}

// Since returns when the first attempt of a program came, now if none is known.
func Since(shares []Share, now time.Time) time.Time {
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
	return at.Add(time.Duration(r.Keep)*time.Millisecond + Slack)
}

// Shares returns what the attempts of a program take of its budget.
func (b *Book) Shares(name string) []Share {
	p := b.programs[name]
	if p == nil {
		return nil
	}
	list := make([]Share, 0, len(p.shares))
	for _, s := range p.shares {
		list = append(list, s)
	}
	return list
}

// Chain returns where the turn and those before it lie, the newest first, as far
// as they are known here. Next is the first that isn't, empty if all are: a
// replica that was away may have a turn but lack one that it continues.
func (b *Book) Chain(id string) (list []seglog.Pos, next string) {
	for id != "" && len(list) < MaxChain {
		t := b.turns[id]
		if t == nil {
			return list, id
		}
		list = append(list, t.pos)
		id = t.previous
	}
	return list, id
}

// Expire forgets what need not be remembered any more.
func (b *Book) Expire(now time.Time) {
	for name, p := range b.programs {
		if now.After(p.expires) {
			delete(b.programs, name)
		}
	}
	for id, t := range b.turns {
		if now.After(t.expires) {
			delete(b.turns, id)
		}
	}
}

// Live tells whether a record that lies at pos is still needed.
func (b *Book) Live(r Record, pos seglog.Pos) bool {
	if r.Turn != nil {
		if t := b.turns[r.Attempt]; t != nil && t.pos == pos {
			return true
		}
	}
	p := b.programs[r.Program]
	if p == nil {
		return false
	}
	_, ok := p.shares[r.Attempt]
	return ok
}

// Has tells whether the book already knows everything that the record says.
func (b *Book) Has(r Record) bool {
	if r.Turn != nil && b.turns[r.Attempt] == nil {
		return false
	}
	if r.Program == "" || !r.Reserved && !r.Settled {
		return true
	}
	p := b.programs[r.Program]
	if p == nil {
		return false
	}
	old, known := p.shares[r.Attempt]
	return known && Join(old, r.share()) == old
}

// Len returns the number of programs and turns.
func (b *Book) Len() (programs, turns int) { return len(b.programs), len(b.turns) }
