package index

import (
	"maps"
	"slices"
	"time"
)

// expires returns when the record's retention ends. It counts from the time in the record,
// not from now: all records are read again after a restart, which must not extend their
// retention.
func (r Record) expires(now time.Time) time.Time {
	at := now
	if r.At > 0 && r.At < now.UnixMilli() {
		at = time.UnixMilli(r.At)
	}
	return at.Add(time.Duration(r.TTL)*time.Millisecond + ClockSlack)
}

// openAttempt is an attempt that has stated no end. Its records state until when it retains its program if its
// end is never recorded.
type openAttempt struct {
	attempt string
	until   time.Time
	claims  bool // it has stated what it needs
}

// IsOver reports whether the record is of the end of its attempt, or later.
func (r Record) IsOver() bool { return r.Settled || r.Turn != nil }

// isClaim reports whether the record only states what an attempt needs that may last for long.
func (r Record) isClaim() bool {
	return len(r.Needs) > 0 && !r.IsOver() && !r.Reserved && r.Run == nil && r.Part == nil
}

// need retains the programs that a record needs, here as far as they are indexed, and at other replicas when they ask.
func (ix *Index) need(r Record, now time.Time) {
	until := r.expires(now)
	for _, name := range r.Needs {
		if p := ix.programs[name]; p != nil {
			p.extend(until)
			continue
		}
		if ix.needed == nil {
			ix.needed = map[string]time.Time{}
		}
		ix.needed[name] = latest(ix.needed[name], until)
	}
	if r.isClaim() {
		p := ix.program(r.Key())
		p.retain(r, now)
		p.claim(r.Attempt)
	}
}

func (p *program) claim(attempt string) {
	for i := range p.open {
		p.open[i].claims = p.open[i].claims || p.open[i].attempt == attempt
	}
}

func (p *program) hasClaim(attempt string) bool {
	return slices.ContainsFunc(p.open, func(o openAttempt) bool { return o.attempt == attempt && o.claims })
}

// hasClaim reports whether the claim, or the end of its attempt, is indexed.
func (ix *Index) hasClaim(r Record) bool {
	p := ix.programs[r.Key()]
	return ix.turns[r.Attempt] != nil || p != nil && (p.charges[r.Attempt].Settled || p.hasClaim(r.Attempt))
}

// retain retains a program for one of its records.
func (p *program) retain(r Record, now time.Time) {
	until := r.expires(now)
	i := slices.IndexFunc(p.open, func(o openAttempt) bool { return o.attempt == r.Attempt })
	switch {
	case r.IsOver():
		p.extend(until)
		if i >= 0 {
			p.open = slices.Delete(p.open, i, i+1)
		}
	case p.charges[r.Attempt].Settled:
	case i < 0:
		p.open = append(p.open, openAttempt{attempt: r.Attempt, until: until})
	default:
		p.open[i].until = latest(p.open[i].until, until)
	}
}

// retainedUntil returns until when the program is retained.
func (p *program) retainedUntil() time.Time {
	until := p.expires
	for _, o := range p.open {
		until = latest(until, o.until)
	}
	return until
}

// extendChain extends the retention of a turn and of those before it in its chain, with their programs.
func (ix *Index) extendChain(id string, until time.Time) {
	for range MaxChain {
		t := ix.turns[id]
		if t == nil {
			ix.await(id, until)
			return
		}
		if !t.expires.Before(until) {
			return
		}
		t.expires = until
		ix.program(t.owner).extend(until)
		id = t.previous
	}
}

// await notes that the turn, once it is indexed, is to be retained until then.
func (ix *Index) await(id string, until time.Time) {
	if id == "" || !ix.awaited[id].Before(until) {
		return
	}
	if ix.awaited == nil {
		ix.awaited = map[string]time.Time{}
	}
	ix.awaited[id] = until
}

// Expired returns at most limit programs whose retention has ended, as far as is known here. All records of
// a program have the same retention: a replica that lacks a turn in the middle of a chain can't tell which
// ones come before it.
func (ix *Index) Expired(now time.Time, limit int) (names []string) {
	for name, p := range ix.programs {
		if len(names) == limit {
			break
		}
		if now.After(p.expires) && now.After(p.retainedUntil()) {
			names = append(names, name)
		}
	}
	return names
}

// RetainedUntil returns until when a program is retained, here or because of turns of other programs; the zero time
// if neither its records nor such turns are indexed.
func (ix *Index) RetainedUntil(name string) time.Time {
	p := ix.programs[name]
	if p == nil {
		return ix.needed[name]
	}
	return p.retainedUntil()
}

// Retain retains a program's records until then at least.
func (ix *Index) Retain(name string, until time.Time) {
	if p := ix.programs[name]; p != nil {
		p.extend(until)
	}
}

// Remove removes a program with its turns, if its retention had ended by then.
func (ix *Index) Remove(name string, at time.Time) {
	p := ix.programs[name]
	if p == nil || !at.After(p.retainedUntil()) {
		return
	}
	for _, id := range p.turns {
		delete(ix.turns, id)
	}
	delete(ix.programs, name)
}

// ExpireAwaited forgets turns and programs that have not come, and that no turn retains any more.
func (ix *Index) ExpireAwaited(now time.Time) {
	ended := func(_ string, until time.Time) bool { return now.After(until) }
	maps.DeleteFunc(ix.awaited, ended)
	maps.DeleteFunc(ix.needed, ended)
}

func (p *program) extend(until time.Time) { p.expires = latest(p.expires, until) }

func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
