package gate

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/slaterock/slaterock/internal/place/fair"
)

const (
	// meterTime is the time constant of the rate at which programs begin. One daemon of
	// hundreds begins about one in a second.
	meterTime = 3 * time.Second
	// minBegun is the number of programs in the meter below which there is no forecast.
	minBegun = 3.0
	// certainty is the multiple of the time left for waiting that the forecast must exceed
	// before a program is refused at once: a rate from a dozen programs is off by a third.
	certainty = 2
	// minAfter is the shortest time after which a refused program may retry. The forecast
	// knows the queue, but not how long a burst lasts: with 300 ms twice as many programs
	// were refused for good on engines that were nearly full.
	minAfter = 650 * time.Millisecond
	// jitterShare is the greatest part by which the time until a retry is shortened, so that
	// callers refused in the same moment don't retry in the same moment.
	jitterShare = 0.2
)

// meter counts programs that begin, and forgets them with the time constant meterTime.
type meter struct {
	sum float64
	at  time.Time
}

func (m *meter) add(now time.Time) {
	m.sum = m.count(now) + 1
	m.at = now
}

func (m *meter) count(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	return m.sum * math.Exp(-float64(now.Sub(m.at))/float64(meterTime))
}

// delay returns the time in which so many programs begin here, and false if it is not known.
func (m *meter) delay(now time.Time, programs float64) (time.Duration, bool) {
	sum := m.count(now)
	if sum < minBegun {
		return 0, false
	}
	return time.Duration(programs / sum * float64(meterTime)), true
}

// share returns the turns in flight of the program's account for each unit of its weight.
func (e Arrive) share() float64 { return fair.Share(e.Load.Running[e.Account], e.Weight) }

// Ahead returns how many programs begin before an arriving one: those that wait here and come
// before it, and the more urgent ones at other daemons.
func (g *Gate) Ahead(e Arrive) (n int) {
	for p, queued := range e.Load.Queued {
		if p < e.Priority {
			n += queued
		}
	}
	return n + g.waiting.Ahead(e.Priority, e.share())
}

// infeasible reports whether a program that has arrived will not begin in time by the forecast.
// One program of each priority waits in any case, for the part of the capacity that each
// priority gets. Without accounts and other priorities the newest program comes first, so
// that nothing is known to be ahead of it.
func (g *Gate) infeasible(now time.Time, e Arrive) bool {
	if e.Account == "" && !g.mixed(now, e.Load, e.Priority) || g.waiting.LenAt(e.Priority) < 2 {
		return false
	}
	here := float64(g.waiting.Ahead(e.Priority, e.share()))
	elsewhere := float64(g.Ahead(e)) - here
	wait, known := g.begun.delay(now, here+elsewhere/float64(max(e.Load.Daemons, 1)))
	return known && wait > certainty*e.LatestStart.Sub(now)
}

// retryAfter returns the time until a refused program may retry: by the forecast when those
// ahead of it have begun, with jitter. Without accounts and other priorities it is After.
func (g *Gate) retryAfter(now time.Time, ticket uint64, ahead int) time.Duration {
	if now.Sub(g.accountAt) > classTTL && !g.classes.several(now) {
		return After
	}
	after, known := g.begun.delay(now, float64(ahead))
	if !known {
		after = After
	}
	after = min(max(after, minAfter), After)
	return time.Duration(float64(after) * (1 - jitterShare*chance(now, ticket)))
}

// chance returns a number from 0 to 1 that depends on the moment and the program.
func chance(now time.Time, ticket uint64) float64 {
	var source rand.PCG
	source.Seed(ticket, uint64(now.UnixNano()))
	return float64(source.Uint64()>>11) / (1 << 53)
}
