package pace

import (
	"math"
	"time"
)

// sums are what is known of the times at one upstream. Times are in units of the wire.
type sums struct {
	count    float64 // samples
	expected float64 // time by the service's usual speed
	measured float64 // time taken, bounded for each sample
	square   float64 // sum of measured² / expected
	long     float64 // samples that took longer than chance explains, and are confirmed
	short    float64 // samples that took shorter than chance explains
	usual    float64 // samples that did neither
	slower   float64 // number of daemons that found it to have become slower
	faster   float64 // the same for faster
}

func (s *sums) add(o sums) {
	s.count += o.count
	s.expected += o.expected
	s.measured += o.measured
	s.square += o.square
	s.long += o.long
	s.short += o.short
	s.usual += o.usual
	s.slower += o.slower
	s.faster += o.faster
}

func (s *sums) scale(by float64) {
	s.count *= by
	s.expected *= by
	s.measured *= by
	s.square *= by
	s.long *= by
	s.short *= by
	s.usual *= by
	s.slower *= by
	s.faster *= by
}

// decay returns what is left of a weight after some time.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

// mean returns the measured as a multiple of the expected time, 1 if there is none.
func (s *sums) mean() float64 {
	if s.expected <= 0 {
		return 1
	}
	return s.measured / s.expected
}

// deviation returns the standard deviation of a sample.
func (s *sums) deviation() float64 {
	if s.expected <= 0 {
		return 0
	}
	f := s.mean()
	return math.Sqrt(max(s.square/s.expected-f*f, minDeviation*minDeviation*f*f))
}

// standardError returns the standard error of the mean.
func (s *sums) standardError() float64 { return s.deviation() * math.Sqrt(dependence/s.count) }

// factor returns the mean, moved towards 1 the fewer samples there are, or 1 if it does not
// differ from 1 by more than chance.
func (s *sums) factor() float64 {
	if s.count <= 0 {
		return 1
	}
	f := s.mean()
	if math.Abs(f-1) <= significance*s.standardError() {
		return 1
	}
	return 1 + (f-1)*s.count/(s.count+shrinkCount)
}

// set makes the sums those of so many samples with a mean and a standard deviation.
func (s *sums) set(count, mean, deviation float64) {
	expected := count * usualTime
	*s = sums{count: count, expected: expected, measured: expected * mean, square: expected * (mean*mean + deviation*deviation)}
}
