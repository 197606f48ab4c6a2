// Package speed learns how fast one upstream works: prefill and decoding time
// for each token of an engine, and the time of one call to a service.
//
// What is wanted is the speed without waiting, but only times with waiting can
// be measured. An estimate therefore follows faster times quickly and slower
// ones slowly, which settles near the low end of what is seen and still
// follows an upstream that has become slower for good.
package speed

import "time"

const (
	fastAlpha = 0.2
	slowAlpha = 0.01
	meanAlpha = 0.1
	longAlpha = 0.005
	// Calls of one service differ; their mean is taken for no more than so
	// many times the low end.
	maxLongMean = 4
	// Shorter prompts measure the fixed cost of a request, not the prefill.
	minPrefill = 256
	maxFactor  = 10 // so that one stray time does not count for ever
	// An upstream's own speed counts for half when it was last seen so long ago.
	halfWeight = 30 * time.Second

	defaultPrefill = 0.0002 // seconds per token
	defaultCall    = 0.5    // seconds
)

type (
	// Speed is what was learnt of one upstream. All values are in seconds.
	Speed struct {
		prefill  float64 // per token
		call     float64 // mean time of one request, from dispatch to end
		best     float64 // low end of the time of one request
		longMean float64 // mean over a long time
		factor   float64 // multiple of the time that its group takes
		calls    int
		seen     time.Time
	}
)

// Prefill notes the time to the first token of a request with so many tokens
// that were not cached.
func (s *Speed) ObservePrefill(took time.Duration, tokens int) {
	if tokens < minPrefill || took <= 0 {
		return
	}
	s.prefill = trackLow(s.prefill, took.Seconds()/float64(tokens))
}

// Pace notes the time of a request as a multiple of what its group takes at
// the same load.
func (s *Speed) ObserveFactor(measured, expected float64) {
	if expected <= 0 || measured <= 0 {
		return
	}
	if s.factor == 0 {
		s.factor = 1
	}
	s.factor += meanAlpha * (min(measured/expected, maxFactor) - s.factor)
}

// Call notes the whole time of one request that ended now.
func (s *Speed) ObserveCall(now time.Time, took time.Duration) {
	x := took.Seconds()
	s.seen = now
	s.best = trackLow(s.best, x)
	s.calls++
	s.longMean += max(longAlpha, 1/float64(s.calls)) * (x - s.longMean)
	if s.call == 0 {
		s.call = x
		return
	}
	s.call += meanAlpha * (x - s.call)
}

// Among returns what is to be believed of the upstream when others of its
// group are as fast as group on average: its own speed while it is fresh, the
// group's when it is unknown or old. An upstream that was slow once and got no
// work since would otherwise look slow for ever.
func (s *Speed) Blend(now time.Time, group *Speed) Speed {
	if s.seen.IsZero() {
		return *group
	}
	age := max(now.Sub(s.seen), 0)
	w := float64(halfWeight) / float64(halfWeight+age)
	mix := func(own, all float64) float64 {
		if own == 0 || all == 0 {
			return max(own, all)
		}
		return all + w*(own-all)
	}
	return Speed{
		prefill: mix(s.prefill, group.prefill),
		call:    mix(s.call, group.call),
		factor:  mix(s.factor, 1),
		best:    s.best,
	}
}

// Factor returns by how much the upstream is slower than its group.
func (s *Speed) Factor() float64 {
	if s.factor == 0 {
		return 1
	}
	return s.factor
}

// PerToken returns the seconds of prefill for one token.
func (s *Speed) PerToken() float64 {
	if s.prefill == 0 {
		return defaultPrefill
	}
	return s.prefill
}

// Expected returns the seconds to the first token of a request with so many
// tokens to prefill, at an upstream that is not crowded.
func (s *Speed) Expected(tokens int) float64 {
	return s.PerToken() * float64(max(tokens, minPrefill))
}

// Mean returns the mean seconds of one request.
func (s *Speed) Mean() float64 {
	if s.call == 0 {
		return defaultCall
	}
	return s.call
}

// Usual returns the seconds of one request over a long time, which the work
// of a moment hardly changes. It is bounded by a multiple of the low end, so
// that a service that was crowded all along is not taken for slow. 0 is
// unknown.
func (s *Speed) LongMean() float64 { return min(s.longMean, maxLongMean*s.best) }

func trackLow(est, x float64) float64 {
	switch {
	case est == 0:
		return x
	case x < est:
		return est + fastAlpha*(x-est)
	default:
		return est + slowAlpha*(x-est)
	}
}
