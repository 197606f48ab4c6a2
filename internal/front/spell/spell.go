// Package spell holds since when somebody has had news of the store without a gap.
//
// A daemon that has had none for a while can't tell an outage of the store from its own
// network, or its own VM, having stood still. The others can: if one of them had news all
// the while, the store was there. So daemons tell each other their spells, and an outage
// is what lies between two that don't meet.
package spell

import "time"

// Gap is the longest time without news within a spell. Upstreams' entries lapse after
// three reports that did not come, 3.6 s and more; while all is well news is half a
// second old.
const Gap = 2 * time.Second

// Spell is a time in which the store was there. The zero value is none.
type Spell struct{ From, To time.Time }

// At returns the spell of a single piece of news.
func At(t time.Time) Spell { return Spell{From: t, To: t} }

// With returns the spell with a later or an overlapping one, own or told. Away is how
// long the store was away between the two, 0 if it was not.
func (s Spell) With(o Spell) (joined Spell, away time.Duration) {
	switch {
	case s.To.IsZero():
		return o, 0
	case o.From.Sub(s.To) > Gap:
		return o, o.From.Sub(s.To)
	case s.From.Sub(o.To) > Gap:
		return s, 0 // told by one that has heard nothing since
	}
	if o.From.Before(s.From) {
		s.From = o.From
	}
	if o.To.After(s.To) {
		s.To = o.To
	}
	return s, 0
}

// Earlier returns the spell moved back, for a clock that stood still.
func (s Spell) Earlier(by time.Duration) Spell {
	if s.To.IsZero() {
		return s
	}
	return Spell{From: s.From.Add(-by), To: s.To.Add(-by)}
}
