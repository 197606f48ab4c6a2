// Package load estimates the load of one upstream as seen by one owner.
//
// An upstream's reports lag: requests sent after the measurement are missing from
// a report, and requests that ended since are still in it. The type Load therefore
// records this owner's recent starts and ends, and subtracts from each report this
// owner's requests that were in flight when it was measured. The rest are requests
// of other owners; Inflight plus Others is the estimated load.
package load

import (
	"time"

	"github.com/slaterock/slaterock/internal/plat/engine"
)

const (
	ringSize = 64
	// Upper bound on the assumed age of a report, as an engine's clock may be off.
	maxLag = 5 * time.Second
	// Age of the last report at which the load of others counts half.
	halfWeightAge = 5 * time.Second
	// Weight of each report in the average load.
	averageAlpha = 0.05
	// Weight of the last report's deviation from the average. Most of a deviation
	// is gone before a request that was placed because of it arrives.
	reportWeight = 0.1
)

type (
	// Load is the estimate for one upstream. The zero value is idle.
	Load struct {
		report        engine.Load
		received      time.Time
		others        float64
		averageOthers float64 // moving average of others
		slots         float64 // concurrent requests that it serves, 0 if unknown
		inflight      int
		ring          [ringSize]change
		next          int
	}

	change struct {
		at    time.Time
		delta int
	}
)

// Start records that a request was sent.
func (l *Load) Start(now time.Time) { l.change(now, 1) }

// End records that a request ended.
func (l *Load) End(now time.Time) { l.change(now, -1) }

func (l *Load) change(now time.Time, delta int) {
	l.inflight += delta
	l.ring[l.next] = change{at: now, delta: delta}
	l.next = (l.next + 1) % ringSize
}

// Report applies a load report and reports whether it was newer than the last.
// An engine that restarted begins its sequence numbers anew, so a report with a
// later time of measurement is newer as well.
func (l *Load) Report(now time.Time, r engine.Load) bool {
	if r.Seq <= l.report.Seq && !r.At.After(l.report.At) {
		return false
	}
	measured := r.At
	if measured.After(now) {
		measured = now
	}
	if now.Sub(measured) > maxLag {
		measured = now.Add(-maxLag)
	}
	l.report, l.received = r, now
	// The number of slots is visible only when requests queue at the upstream.
	if r.Waiting > 0 || l.slots > 0 && float64(r.Running) > l.slots {
		l.slots = float64(r.Running)
	}
	l.others = max(0, float64(r.Running+r.Waiting-l.own(measured)))
	l.averageOthers += averageAlpha * (l.others - l.averageOthers)
	return true
}

// own returns the number of own requests that were in flight at that time.
func (l *Load) own(at time.Time) int {
	n := l.inflight
	for _, c := range l.ring {
		if c.at.After(at) {
			n -= c.delta
		}
	}
	return max(n, 0)
}

// Inflight returns the number of this owner's requests in flight.
func (l *Load) Inflight() int { return l.inflight }

// Others estimates the number of other owners' requests in flight.
func (l *Load) Others(now time.Time) float64 {
	return (l.averageOthers + reportWeight*(l.others-l.averageOthers)) * l.freshness(now)
}

// AverageOthers returns the average number of other owners' requests over the last
// reports. A single report is outdated when it arrives; the average shows where
// the programs of others are placed.
func (l *Load) AverageOthers(now time.Time) float64 { return l.averageOthers * l.freshness(now) }

// Slots returns how many concurrent requests the upstream serves, 0 if it was
// never seen full.
func (l *Load) Slots() float64 { return l.slots }

// freshness falls from 1 towards 0 as the last report ages, so that an upstream
// whose reports stopped while it was busy is not avoided for good.
func (l *Load) freshness(now time.Time) float64 {
	age := now.Sub(l.received)
	return float64(halfWeightAge) / float64(halfWeightAge+max(age, 0))
}

// FreeTokens returns the free cache space in tokens; known is false if the upstream has
// not reported its cache size.
func (l *Load) FreeTokens() (tokens int, known bool) {
	return l.report.Total - l.report.Used, l.report.Total > 0
}

// Leaving reports whether the newest report marks the upstream as leaving.
func (l *Load) Leaving() bool { return l.report.Leaving }
