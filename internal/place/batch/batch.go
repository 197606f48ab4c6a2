// Package batch estimates how far the batches of a service's engines can be filled
// with concurrent turns before programs miss their deadlines.
//
// The more turns an engine runs, the longer each stream event takes, and the slowdown
// differs between engines: a full batch of 16 doubles the time of an event, a full batch
// of 6 adds a third, and 18 turns in a batch of 64 make it 3.6 times as long. The
// estimate is therefore a line fitted to event time over turns in flight.
package batch

import "github.com/slaterock/slaterock/internal/place/slope"

const (
	// maxSlowdown is the greatest event time, as a multiple of that of a lone turn, at
	// which programs still meet their deadlines. The time allowed to a program is 1.4 to
	// 2.4 times its time on idle engines plus 0.2 s. At low load it takes 0.55 of that: a
	// third of the allowed time outside the engines, the rest in them. At a slowdown of 2
	// it takes about 0.8.
	maxSlowdown = 2.0
	// minShare and maxShare bound the fill level. A smaller minimum would refuse callers
	// while many slots are free; a larger maximum would have most turns queue in the engine.
	minShare = 0.72
	maxShare = 2.0
	// minSamples is the number of observed events below which Share returns maxShare. A
	// daemon of a large fleet sees about a dozen a second. One full batch until then would
	// refuse programs that engines with small batches can take.
	minSamples = 50
	// decay is the factor on the weight of earlier events at each new one. The window is
	// about a thousand events, half a minute at one daemon. The estimate from a hundred
	// varies by a third.
	decay = 0.999
	// outlier is the ratio of measured to expected event time above which the engine is
	// taken to be slow for a reason of its own, and the event is ignored.
	outlier = 2.5
	// minExpected is the number of events from which on Mean is known. A daemon of a
	// large fleet sees few, and the errors of many daemons cancel out.
	minExpected = 1
)

// Estimator holds the estimate for one service. The zero value is ready.
type Estimator struct {
	fit     slope.Slope
	samples int
}

// Observe adds the time of one event, in seconds, and the number of turns that the
// engine ran meanwhile.
func (e *Estimator) Observe(turns, event float64) {
	if e.samples >= minSamples && event > outlier*e.fit.At(turns) {
		return
	}
	e.fit.Keep = decay
	e.fit.Observe(turns, event)
	e.samples++
}

// Share returns the fill level, the number of turns in flight as a share of the batch
// size, up to which an engine with that batch size should be filled. Above 1, turns
// queue in the engine: with 1.3 times the batch size in flight, each takes 1.3 times as
// long as its time in the batch.
func (e *Estimator) Share(batchSize int) float64 {
	if e.samples < minSamples || batchSize <= 0 {
		return maxShare
	}
	alone, full := e.fit.At(1), e.fit.At(float64(batchSize))
	if full <= maxSlowdown*alone {
		return min(maxSlowdown*alone/full, maxShare)
	}
	turns := 1 + (maxSlowdown-1)*alone/e.fit.Rise()
	return max(turns/float64(batchSize), minShare)
}

// Mean returns the mean time of one event, in seconds, at the usual number of turns, and whether
// it is known.
func (e *Estimator) Mean() (event float64, known bool) {
	return e.fit.Mean(), e.samples >= minExpected
}
