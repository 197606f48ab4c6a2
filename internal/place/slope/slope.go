// Package slope is a linear regression of time over load with exponentially
// decaying weights.
//
// The load that an owner sees is an estimate: reports lag and other owners send
// too. The line is fitted to this estimate, so its slope shows how well the
// estimate predicts the time: if it does not, the line is flat and the load has
// no influence on placement.
package slope

import "cmp"

const (
	defaultKeep = 0.99 // default of Slope.Keep, about the last hundred pairs
	// Prior for the slope: priorRise times the mean time per unit of load. It weighs
	// as much as observations whose squared deviations of the load sum to
	// priorWeight. Batching slows every upstream somewhat, and without a prior an
	// owner would send all its first programs to one of them.
	priorWeight = 10.0
	priorRise   = 0.05
)

type (
	// Slope is the fitted line. The zero value is flat at zero.
	Slope struct {
		// Keep is the factor on the weight of earlier pairs at each new one; 0 means
		// 0.99, about the last hundred pairs.
		Keep float64

		n, x, y float64 // weight and means
		xx, xy  float64 // sums of squares and products about the means
	}
)

// Observe adds one pair of load x and time y.
func (s *Slope) Observe(x, y float64) {
	keep := cmp.Or(s.Keep, defaultKeep)
	s.n = s.n*keep + 1
	dx := x - s.x
	s.x += dx / s.n
	s.y += (y - s.y) / s.n
	s.xx = s.xx*keep + dx*(x-s.x)
	s.xy = s.xy*keep + dx*(y-s.y)
}

// Rise returns the increase of the time with each unit of load, at least 0.
func (s *Slope) Rise() float64 { return max(0, (s.xy+priorWeight*priorRise*s.y)/(s.xx+priorWeight)) }

// At returns the expected time at load x, at least a quarter of the mean time.
func (s *Slope) At(x float64) float64 { return max(s.y+s.Rise()*(x-s.x), s.y/4) }

// Mean returns the mean time.
func (s *Slope) Mean() float64 { return s.y }

// Known reports whether anything was observed.
func (s *Slope) Known() bool { return s.n > 0 }
