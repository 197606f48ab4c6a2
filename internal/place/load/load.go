// Package load keeps one owner's picture of the work at one upstream.
//
// Load reports lag: what was sent after a report was measured is missing from
// it, and what ended since is still in it. Load therefore remembers its own
// recent starts and ends, takes its own share out of each report, and adds
// what it has in flight now. What remains is the work of other owners.
package load

import (
	"time"

	"github.com/slaterock/slaterock/internal/plat/engine"
)

const (
	ringSize = 64
	// An engine's clock may be off; no report is taken for older than this.
	maxLag = 5 * time.Second
	// Work of others is forgotten by half in this time without a report.
	halfLife = 5 * time.Second
	// The part that each report has in the usual load.
	averageAlpha = 0.05
	// How much of a report's difference from the usual still holds when a
	// request that is sent by it has arrived.
	reportWeight = 0.1
)

type (
	// Load is the picture of one upstream. The zero value is idle.
	Load struct {
		report        engine.Load
		received      time.Time
		others        float64
		averageOthers float64 // others, on average over some time
		slots         float64 // requests that it serves at a time, 0 if unknown
		inflight      int
		ring          [ringSize]change
		next          int
	}

	change struct {
		at    time.Time
		delta int
	}
)

// Start notes that a request was sent.
func (l *Load) Start(now time.Time) { l.change(now, 1) }

// End notes that a request ended.
func (l *Load) End(now time.Time) { l.change(now, -1) }

func (l *Load) change(now time.Time, delta int) {
	l.inflight += delta
	l.ring[l.next] = change{at: now, delta: delta}
	l.next = (l.next + 1) % ringSize
}

// Report takes a load report and reports whether it was newer than the last.
// An engine that restarted counts from the start again, so the time of
// measurement decides where the numbers do not.
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
	// How much an upstream serves at a time shows when it keeps some waiting.
	if r.Waiting > 0 || l.slots > 0 && float64(r.Running) > l.slots {
		l.slots = float64(r.Running)
	}
	l.others = max(0, float64(r.Running+r.Waiting-l.own(measured)))
	l.averageOthers += averageAlpha * (l.others - l.averageOthers)
	return true
}

// own returns how many own requests were in flight at the time.
func (l *Load) own(at time.Time) int {
	n := l.inflight
	for _, c := range l.ring {
		if c.at.After(at) {
			n -= c.delta
		}
	}
	return max(n, 0)
}

// Inflight returns the owner's own requests in flight.
func (l *Load) Inflight() int { return l.inflight }

// Others estimates the requests that other owners have in flight.
func (l *Load) Others(now time.Time) float64 {
	return (l.averageOthers + reportWeight*(l.others-l.averageOthers)) * l.freshness(now)
}

// Usual returns the work of other owners on average over the last reports. A
// single report tells of a moment that is over when it arrives; where others'
// programs live shows in the average.
func (l *Load) AverageOthers(now time.Time) float64 { return l.averageOthers * l.freshness(now) }

// Slots returns how many requests the upstream serves at a time, 0 if it was
// never seen full.
func (l *Load) Slots() float64 { return l.slots }

// fresh falls from 1 to 0 as the report ages, so that an upstream whose
// reports stopped in a bad moment is not shunned for good.
func (l *Load) freshness(now time.Time) float64 {
	age := now.Sub(l.received)
	return float64(halfLife) / float64(halfLife+max(age, 0))
}

// Room returns how many tokens fit before something is evicted, and whether
// the upstream ever said.
func (l *Load) Room() (tokens int, known bool) {
	return l.report.Total - l.report.Used, l.report.Total > 0
}

// Leaving reports whether the newest report said that the upstream leaves.
func (l *Load) Leaving() bool { return l.report.Leaving }
