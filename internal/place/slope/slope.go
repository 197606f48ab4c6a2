// Package slope fits a line through recent pairs of load and time.
//
// The load that an owner sees is an estimate: reports lag and others send too.
// A line fitted to what was estimated, not to what was true, says how far the
// estimate can be trusted: if it tells nothing about the time that follows, the
// line is flat and nothing is moved for its sake.
package slope

import "cmp"

const (
	defaultKeep = 0.99 // of the weight of earlier pairs, at each new one
	// What is assumed before much was seen, as if so much variance of load had
	// been seen: each unit adds this part of the mean time. Batching slows
	// every upstream somewhat, and an owner that starts by assuming nothing
	// sends all its first programs to one of them.
	priorWeight = 10.0
	priorRise   = 0.05
)

type (
	// Slope is the line. The zero value is flat at zero.
	Slope struct {
		// Keep is how much of the weight of earlier pairs is kept at each new one;
		// 0 is for the last hundred or so.
		Keep float64

		n, x, y float64 // weight and means
		xx, xy  float64 // sums of squares and products about the means
	}
)

// Observe adds one pair.
func (s *Slope) Observe(x, y float64) {
	keep := cmp.Or(s.Keep, defaultKeep)
	s.n = s.n*keep + 1
	dx := x - s.x
	s.x += dx / s.n
	s.y += (y - s.y) / s.n
	s.xx = s.xx*keep + dx*(x-s.x)
	s.xy = s.xy*keep + dx*(y-s.y)
}

// Rise returns by how much the time grows with each unit of load, never less
// than nothing.
func (s *Slope) Rise() float64 { return max(0, (s.xy+priorWeight*priorRise*s.y)/(s.xx+priorWeight)) }

// At returns the expected time at the load.
func (s *Slope) At(x float64) float64 { return max(s.y+s.Rise()*(x-s.x), s.y/4) }

// Known reports whether anything was observed.
func (s *Slope) Known() bool { return s.n > 0 }
