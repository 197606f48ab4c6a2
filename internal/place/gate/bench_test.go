package gate

import (
	"testing"
	"time"
)

// BenchmarkArrive measures the arrival and cancellation of one program while 5,000
// wait: 5 us and no allocation on a machine under other load (46 us when each step
// scanned the whole queue). The budget for a decision is 20 us.
func BenchmarkArrive(b *testing.B) {
	var g Gate
	now := time.UnixMilli(1_000_000)
	full := Load{InFlight: 100, Capacity: 100}
	for i := range uint64(5000) {
		g.Step(now, Arrive{Ticket: i, LatestStart: now.Add(time.Hour), Load: full})
	}
	b.ReportAllocs()
	for i := uint64(5000); b.Loop(); i++ {
		g.Step(now, Arrive{Ticket: i, LatestStart: now.Add(time.Hour), Load: full})
		g.Step(now, Cancel{Ticket: i})
	}
}
