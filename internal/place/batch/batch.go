// Package pace learns how many turns the engines of a service run side by side
// before programs take too long.
//
// An engine makes each event more slowly the more turns it runs, by how much
// differs: a full batch of 16 doubles the time of an event, one of 6 adds a third, and
// 18 of 64 places make it 3.6 times as long. So the time of events is compared with
// the turns that were under way.
package batch

import "github.com/slaterock/slaterock/internal/place/slope"

const (
	// stretch is how many times as long as alone an event may take. Programs are
	// given 1.4 to 2.4 times their time on idle engines and 0.2 s. Where little is to do
	// they take 0.55 of that, a third of it elsewhere, so at 2 some 0.8. At 1.6 bursts
	// that 44 engines of 6 places could still bear were refused.
	maxSlowdown = 2.0
	// least and most bound the share of its places up to which an engine is filled.
	// At 16 places 0.72 served best of 0.52 to 0.95; less would refuse callers while
	// many places are free, more would have most of them wait in the engine.
	minShare = 0.72
	maxShare = 2.0
	// enough is how many events must have been seen; before, nothing is limited that
	// might do no harm. Daemons of a large fleet see a dozen a second: taken to have
	// room for one batch until then, 44 engines of 6 places that could bear 1.6 times as
	// much were guarded for ten seconds, and the day lost 0.12 of its worth (two paired
	// plays).
	minSamples = 50
	// keep is the part of the weight of earlier events that is kept at each new one:
	// the last thousand count, half a minute at a daemon. With a hundred the share was
	// 0.55 to 0.8 where 0.83 is right, and a day lost 0.07 of its worth (six paired
	// plays).
	decay = 0.999
	// ill is how many times as long as expected an event takes at an engine that is
	// slow for a reason of its own, which says nothing of the others.
	outlier = 2.5
)

// Pace is what was learnt of one service. The zero value is ready.
type Estimator struct {
	fit     slope.Slope
	samples int
}

// Observe takes the time of an event, in seconds, and how many turns the engine
// ran meanwhile.
func (p *Estimator) Observe(turns, event float64) {
	if p.samples >= minSamples && event > outlier*p.fit.At(turns) {
		return
	}
	p.fit.Keep = decay
	p.fit.Observe(turns, event)
	p.samples++
}

// Share returns up to which share of its places an engine should be filled, that
// runs so many turns at a time. Above 1 turns wait in the engine: beside 1.3 times
// the turns that it runs, each takes 1.3 times its time in the batch.
func (p *Estimator) Share(places int) float64 {
	if p.samples < minSamples || places <= 0 {
		return maxShare
	}
	alone, full := p.fit.At(1), p.fit.At(float64(places))
	if full <= maxSlowdown*alone {
		return min(maxSlowdown*alone/full, maxShare)
	}
	turns := 1 + (maxSlowdown-1)*alone/p.fit.Rise()
	return max(turns/float64(places), minShare)
}
