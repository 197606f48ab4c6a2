// Package limit is an adaptive concurrency limit for one owner's requests to one
// upstream, driven by the measured latency.
//
// Each answer's latency is compared with the expected latency of such a request.
// While the two are about equal, the limit grows slowly; when answers are much
// slower, it shrinks in proportion. The expected latency may itself have been
// measured under saturation, so from time to time a probe halves the limit for
// some answers. If these are clearly faster, the upstream was saturated and the
// limit stays halved; otherwise it is restored. Several owners that share an
// upstream thus converge on shares of it without communication.
package limit

const (
	initial    = 8
	smallest   = 1
	tolerance  = 2.0 // ratio of measured to expected latency above which the limit shrinks
	smoothing  = 0.2
	minFactor  = 0.5 // smallest factor that a round of answers applies to the limit
	growth     = 0.5 // increase in a round of answers
	roomGrowth = 1.5

	// Answers between two probes and within one: probeEvery and probeFor per unit of
	// the limit, but at least minEvery and minFor.
	probeEvery = 12
	probeFor   = 4
	minEvery   = 40
	minFor     = 16
	// A mean ratio during the probe below this share of that before it indicates
	// saturation.
	saturatedBelow = 0.75
)

type (
	// Limit is one upstream's limit. The zero value starts at 8.
	Limit struct {
		Max int // upper bound, 0 for none

		limit     float64
		ratio     float64 // smoothed measured latency over expected
		count     int     // answers since the last probe, or since the probe began
		probe     probe
		fastLimit float64 // limit up to which it grows by one for each answer
	}

	probe struct {
		active bool
		before float64 // smoothed ratio when the probe began
		sum    float64
		n      int
	}
)

// Value returns the number of requests that may be in flight, at least 1.
func (l *Limit) Value() int {
	v := l.value()
	if l.probe.active {
		v /= 2
	}
	return int(max(v, smallest))
}

// Observe records the latency of one answer, the expected latency of such a
// request in the same unit, and the requests in flight at the time of the answer.
func (l *Limit) Observe(measured, expected float64, inflight int) {
	if expected <= 0 || measured < 0 {
		return
	}
	if l.ratio == 0 {
		l.ratio = 1
	}
	// A single slow answer may only have waited for another's long prompt, so the
	// ratio is smoothed. The cap keeps one outlier from reducing the limit to its
	// minimum.
	current := min(measured/expected, 4*tolerance)
	l.ratio += smoothing * (current - l.ratio)
	l.count++
	if l.probe.active {
		l.observeProbe(current)
		return
	}
	v := l.value()
	inUse := float64(inflight) >= v/2 // with less in flight the limit restricts nothing, and must not grow
	// A round is as many answers as the limit; each answer changes it by 1/v of the
	// change for a round.
	switch {
	case l.ratio > tolerance:
		l.limit = l.clamp(v - (1-max(minFactor, tolerance/l.ratio))*v/max(v, 1))
	case inUse && v < l.fastLimit:
		l.limit = l.clamp(v + 1)
	case inUse:
		l.limit = l.clamp(v + growth/v)
	}
	if inUse && v >= 2 && l.count >= max(minEvery, int(probeEvery*v)) {
		l.probe, l.count = probe{active: true, before: l.ratio}, 0
	}
}

// SetWaiting applies the number of requests queued at the upstream, from a load
// report. If it is 0, the limit may grow quickly by half before the next report:
// with slow growth, requests would queue here while the engine has free slots.
// Several owners may use the same free slots; the next report then shows it.
func (l *Limit) SetWaiting(waiting int) {
	l.fastLimit = 0
	if waiting == 0 {
		l.fastLimit = roomGrowth * l.value()
	}
}

// observeProbe records an answer during a probe. The first answers, up to the
// limit, are skipped: their requests were sent before the probe.
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

// Drop halves the limit after a failure.
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
