package limit

import (
	"testing"

	"github.com/matryer/is"
)

// An upstream slows down because it gets more requests than it can serve. With a
// fixed limit they would queue inside it, where they can no longer be refused or
// sent elsewhere.
func TestLimitFollowsLatency(t *testing.T) {
	tests := map[string]struct {
		slots, most int
		low, high   int // bounds of the limit at the end
	}{
		"small upstream": {4, 0, 3, 16},
		"large upstream": {64, 0, 40, 200},
		"bounded":        {64, 10, 10, 10},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := Limit{Max: tt.most}
			for range 3000 {
				n := l.Value() // unlimited demand
				latency := max(1, float64(n)/float64(tt.slots))
				l.Observe(latency, 1, n)
			}
			is.True(l.Value() >= tt.low)
			is.True(l.Value() <= tt.high)
		})
	}
}

func TestLimitStays(t *testing.T) {
	is := is.New(t)
	var l Limit
	for range 1000 {
		l.Observe(1, 1, 1)
	}
	is.Equal(l.Value(), initial) // no growth below half of the limit in flight
	for range 10 {
		l.Drop()
	}
	is.Equal(l.Value(), smallest)
}
