// Package limit finds how much work one owner may have in flight at one
// upstream, from the latency that it measures there.
//
// Each answer is compared with the latency that the upstream shows when it is
// not crowded. While answers come about as fast, the limit grows by a little
// more than its square root for each round of answers; when they come slower
// it shrinks in proportion. Several owners that share an upstream thus settle
// on shares of it without talking to each other.
package limit

import "math"

const (
	initial   = 8
	smallest  = 1
	tolerance = 2.0 // slower than this by comparison means crowded
	smoothing = 0.2
	lowest    = 0.5 // the most that one round takes away
)

type (
	// Limit is one upstream's limit. The zero value starts at 8.
	Limit struct {
		Max int // upper bound, 0 for none

		limit   float64
		ratio   float64 // smoothed measured latency over expected
		crowded bool    // the upstream was found crowded once
	}
)

// Value returns how many requests may be in flight, at least one.
func (l *Limit) Value() int { return int(l.value()) }

// Observe takes one answer's latency and the latency expected of an uncrowded
// upstream, in the same unit, and the requests in flight when it came.
func (l *Limit) Observe(measured, expected float64, inflight int) {
	if expected <= 0 || measured < 0 {
		return
	}
	if l.ratio == 0 {
		l.ratio = 1
	}
	// One request that was held up by another's long prompt says little; ten
	// do. The cap keeps a single stray answer from shutting the upstream.
	l.ratio += smoothing * (min(measured/expected, 4*tolerance) - l.ratio)
	v := l.value()
	gradient := min(1, max(lowest, tolerance/l.ratio))
	if gradient == 1 && float64(inflight) < v/2 {
		return // the limit was not what held the work back
	}
	l.crowded = l.crowded || gradient < 1
	if !l.crowded {
		// Until the upstream first shows where its limit is, it doubles with
		// each round of answers. Growing by the root from the start kept the
		// first seconds' requests waiting before an upstream with room.
		l.limit = l.clamp(v + 1)
		return
	}
	next := v*gradient + math.Sqrt(v)*boolFactor(gradient == 1)
	v += (next - v) / max(1, v)
	l.limit = l.clamp(v)
}

// Drop takes half of the limit away after a failure.
func (l *Limit) Drop() {
	l.crowded = true
	l.limit = l.clamp(l.value() / 2)
}

func (l *Limit) value() float64 {
	if l.limit == 0 {
		return l.clamp(initial)
	}
	return l.clamp(l.limit)
}

func (l *Limit) clamp(v float64) float64 {
	if l.Max > 0 {
		v = min(v, float64(l.Max))
	}
	return max(v, smallest)
}

func boolFactor(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
