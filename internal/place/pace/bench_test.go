package pace

import (
	"testing"
	"time"
)

// BenchmarkSelect and BenchmarkFactors measure what a hub computes for its digests, and a front for
// its choices, with 10,000 upstreams of which a third differs.
func BenchmarkSelect(b *testing.B) {
	t, now := manyUpstreams()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		t.Select(now, 12)
	}
}

func BenchmarkFactors(b *testing.B) {
	t, now := manyUpstreams()
	for b.Loop() {
		t.Factors(now)
	}
}

func manyUpstreams() (t *Table, now time.Time) {
	t, now = &Table{}, epoch
	for id := range ID(10000) {
		for range 40 {
			t.Observe(now, id, []float64{0.06, 0.1, 0.1}[id%3], 0.1, false)
		}
	}
	return t, now
}
