// Package spell holds since when somebody has had news of the store without a gap.
//
// A daemon that has had none for a while can't tell an outage of the store from its own
// network, or its own VM, having stood still. The others can: if one of them had news all
// the while, the store was there. So daemons tell each other their spells, and an outage
// is what lies between two that don't meet.
package avail

import "time"

// Gap is the longest time without news within a spell. Upstreams' entries lapse after
// three reports that did not come, 3.6 s and more; while all is well news is half a
// second old.
const MaxGap = 2 * time.Second

// Spell is a time in which the store was there. The zero value is none.
type Interval struct{ From, To time.Time }

// At returns the spell of a single piece of news.
func At(t time.Time) Interval { return Interval{From: t, To: t} }

// With returns the spell with a later or an overlapping one, own or told. Away is how
// long the store was away between the two, 0 if it was not.
func (s Interval) Merge(o Interval) (merged Interval, outage time.Duration) {
	switch {
	case s.To.IsZero():
		return o, 0
	case o.From.Sub(s.To) > MaxGap:
		return o, o.From.Sub(s.To)
	case s.From.Sub(o.To) > MaxGap:
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
func (s Interval) ShiftBack(by time.Duration) Interval {
	if s.To.IsZero() {
		return s
	}
	return Interval{From: s.From.Add(-by), To: s.To.Add(-by)}
}
