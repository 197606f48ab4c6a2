// Package limit finds how much work one owner may have in flight at one
// upstream, from the latency that it measures there.
//
// Each answer is compared with the latency that is usual for such a request.
// While answers come about as fast, the limit grows slowly; when they come
// much slower it shrinks in proportion. What is usual may itself have been
// measured in a crowd, so now and then the limit is halved for a moment. If
// answers come clearly faster then, the upstream was saturated and the half
// stays; otherwise the limit is put back. Several owners that share an upstream
// thus settle on shares of it without talking to each other.
package limit

const (
	initial    = 8
	smallest   = 1
	tolerance  = 2.0 // slower than this by comparison means crowded
	smoothing  = 0.2
	minFactor  = 0.5 // the most that one round takes away
	growth     = 0.5 // for each round of answers
	roomGrowth = 1.5

	// Answers between two probes, and in one, for each unit of the limit.
	probeEvery = 12
	probeFor   = 4
	minEvery   = 40
	minFor     = 16
	// A probe's answers faster than this by comparison mean saturation.
	saturatedBelow = 0.75
)

type (
	// Limit is one upstream's limit. The zero value starts at 8.
	Limit struct {
		Max int // upper bound, 0 for none

		limit float64
		ratio float64 // smoothed measured latency over expected
		count int     // answers since the last probe, or in it
		probe probe
		room  float64 // up to which it grows fast
	}

	probe struct {
		active bool
		before float64 // ratio when it began
		sum    float64
		n      int
	}
)

// Value returns how many requests may be in flight, at least one.
func (l *Limit) Value() int {
	v := l.value()
	if l.probe.active {
		v /= 2
	}
	return int(max(v, smallest))
}

// Observe takes one answer's latency and the latency expected of such a
// request, in the same unit, and the requests in flight when it came.
func (l *Limit) Observe(measured, expected float64, inflight int) {
	if expected <= 0 || measured < 0 {
		return
	}
	if l.ratio == 0 {
		l.ratio = 1
	}
	// One request that was held up by another's long prompt says little; ten
	// do. The cap keeps a single stray answer from shutting the upstream.
	now := min(measured/expected, 4*tolerance)
	l.ratio += smoothing * (now - l.ratio)
	l.count++
	if l.probe.active {
		l.observeProbe(now)
		return
	}
	v := l.value()
	full := float64(inflight) >= v/2
	switch {
	case l.ratio > tolerance:
		l.limit = l.clamp(v - (1-max(minFactor, tolerance/l.ratio))*v/max(v, 1))
	case full && v < l.room:
		l.limit = l.clamp(v + 1)
	case full: // otherwise the limit was not what held the work back
		l.limit = l.clamp(v + growth/v)
	}
	if full && v >= 2 && l.count >= max(minEvery, int(probeEvery*v)) {
		l.probe, l.count = probe{active: true, before: l.ratio}, 0
	}
}

// Room takes a load report that says whether anything waits at the upstream. If
// nothing does, the limit may grow by a half before the next report; growing
// slowly before an engine that itself says that it has room would keep requests
// waiting here for nothing. Several owners may take the same room; the next
// report then tells.
func (l *Limit) SetWaiting(waiting int) {
	l.room = 0
	if waiting == 0 {
		l.room = roomGrowth * l.value()
	}
}

// probing takes an answer while the limit is halved. The first ones were still
// sent before.
func (l *Limit) observeProbe(ratio float64) {
	v := int(l.value())
	if l.count <= v {
		return
	}
	l.probe.sum += ratio
	l.probe.n++
	if l.probe.n < max(minFor, probeFor*v) {
		return
	}
	if l.probe.sum/float64(l.probe.n) < saturatedBelow*l.probe.before {
		l.limit = l.clamp(l.value() / 2)
	}
	l.probe, l.count = probe{}, 0
}

// Drop takes half of the limit away after a failure.
func (l *Limit) Drop() { l.limit = l.clamp(l.value() / 2) }

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
