// Package avail tracks the interval in which the store has been available without a gap.
//
// A daemon that could not read the store for a while can't tell an outage of the store
// from a failure of its own network or a freeze of its own VM. Its peers can: if the store
// answered one of them throughout, it was available. So daemons exchange the intervals in
// which it answered them, and an outage is a gap of more than MaxGap between two of them.
package avail

import "time"

// MaxGap is the longest time without a successful read within an interval. It is less than
// the 3.6 s, three missed reports, after which the entry of an upstream may expire, and more
// than the half second between reads in normal operation.
const MaxGap = 2 * time.Second

// Interval is a time in which the store was available. The zero value is empty.
type Interval struct{ From, To time.Time }

// At returns the interval of a single read.
func At(t time.Time) Interval { return Interval{From: t, To: t} }

// Merge returns the union if the two intervals are at most MaxGap apart, otherwise the
// later one. If s is empty it returns o. Outage is the gap if o begins more than MaxGap
// after the end of s, otherwise 0.
func (s Interval) Merge(o Interval) (merged Interval, outage time.Duration) {
	switch {
	case s.To.IsZero():
		return o, 0
	case o.From.Sub(s.To) > MaxGap:
		return o, o.From.Sub(s.To)
	case s.From.Sub(o.To) > MaxGap:
		return s, 0 // from a peer that has not reached the store since
	}
	if o.From.Before(s.From) {
		s.From = o.From
	}
	if o.To.After(s.To) {
		s.To = o.To
	}
	return s, 0
}

// ShiftBack returns the interval moved back in time, for a clock that stood still.
func (s Interval) ShiftBack(by time.Duration) Interval {
	if s.To.IsZero() {
		return s
	}
	return Interval{From: s.From.Add(-by), To: s.To.Add(-by)}
}
