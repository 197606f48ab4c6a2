// Package speed estimates the speed of an upstream, a group or a service: the prefill
// time per token and the time of one request. Its slowdown relative to its group is
// estimated by package pace.
//
// The prefill time and the shortest time of a request are wanted without queueing, but
// only times with queueing can be measured. Their estimates therefore follow faster times
// quickly and slower ones slowly: they settle near the low end of the measured times and
// still follow an upstream that has become slower for good. The other estimates are
// moving averages.
package speed

import "time"

const (
	fastAlpha = 0.2
	slowAlpha = 0.01
	meanAlpha = 0.1
	longAlpha = 0.005
	// Upper bound of LongMean as a multiple of the low end, as calls of one service
	// differ in duration.
	maxLongMean = 4
	// Fewer tokens measure the fixed cost of a request, not the prefill.
	minPrefill = 256
	// Age of the last measurement at which an upstream's own speed counts half.
	halfWeightAge = 30 * time.Second

	defaultPrefill = 0.0002 // seconds per token
	defaultCall    = 0.5    // seconds
)

type (
	// Speed holds the estimates for one upstream, group or service. Times are in
	// seconds.
	Speed struct {
		prefill  float64 // per token
		call     float64 // moving average of the time of one request, from dispatch to end
		best     float64 // low end of the time of one request
		longMean float64 // average of the time of one request over a long time
		calls    int
		seen     time.Time
	}
)

// ObservePrefill records the time to the first token of a request with the given
// number of uncached tokens.
func (s *Speed) ObservePrefill(took time.Duration, tokens int) {
	if tokens < minPrefill || took <= 0 {
		return
	}
	s.prefill = trackLow(s.prefill, took.Seconds()/float64(tokens))
}

// ObserveCall records the total time of one request that ended now.
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

// Blend returns the upstream's speed mixed with the average of its group: its own
// while the measurements are recent, that of the group if they are old or missing.
// Otherwise an upstream that was slow once and got no requests since would be
// considered slow for ever. The result has no LongMean.
func (s *Speed) Blend(now time.Time, group *Speed) Speed {
	if s.seen.IsZero() {
		return *group
	}
	age := max(now.Sub(s.seen), 0)
	w := float64(halfWeightAge) / float64(halfWeightAge+age)
	mix := func(own, all float64) float64 {
		if own == 0 || all == 0 {
			return max(own, all)
		}
		return all + w*(own-all)
	}
	return Speed{
		prefill: mix(s.prefill, group.prefill),
		call:    mix(s.call, group.call),
		best:    s.best,
	}
}

// PerToken returns the seconds of prefill for one token.
func (s *Speed) PerToken() float64 {
	if s.prefill == 0 {
		return defaultPrefill
	}
	return s.prefill
}

// Expected returns the seconds to the first token of a request with the given
// number of uncached tokens, at an upstream without queueing.
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

// LongMean returns the long-term average seconds of one request, which the current
// load hardly changes. It is at most maxLongMean times the low end, so that constant
// overload of a service is not mistaken for its normal duration. 0 is unknown.
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
