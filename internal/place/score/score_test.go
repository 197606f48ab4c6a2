package score

import (
	"testing"

	"github.com/matryer/is"
)

// Chooses between an upstream that has the prompt cached and a queue, and one
// that is idle and has nothing cached.
func TestWeightsDecide(t *testing.T) {
	const perToken = 0.0002
	home := func(queued float64) Candidate {
		return Candidate{Queued: queued, Capacity: 8, Mean: 2, ServiceTime: 2, PerToken: perToken}
	}
	idle := Candidate{Capacity: 8, Mean: 2, ServiceTime: 2, PerToken: perToken, Missing: 10_000, Lost: 10_000}
	tests := map[string]struct {
		w      Weights
		queued float64
		stays  bool
	}{
		"short queue":                     {Weights{1, 1}, 4, true},
		"long queue":                      {Weights{1, 1}, 40, false},
		"latency weighs more":             {Weights{2, 1}, 14, false},
		"cache weighs more":               {Weights{1, 2}, 14, true},
		"zero value weighs both the same": {Weights{}, 14, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(tt.w.Cost(home(tt.queued)) < tt.w.Cost(idle), tt.stays)
		})
	}
}

func TestEvictionCosts(t *testing.T) {
	is := is.New(t)
	w := Weights{Latency: 1, Cache: 1}
	free, full := Candidate{PerToken: 0.001}, Candidate{PerToken: 0.001, Evicted: 1000}
	is.Equal(w.Cost(full)-w.Cost(free), reuse*1.0)
}
