package slope

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

func TestLine(t *testing.T) {
	tests := map[string]struct {
		rise, noise float64
		low, high   float64
	}{
		"steep":               {0.5, 0, 0.4, 0.52},
		"flat":                {0, 0, 0, 0.02},
		"hidden by its noise": {0.5, 4, 0, 0.15},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(1, 1))
			var s Slope
			for range 2000 {
				x := 6 * rng.Float64()
				s.Observe(x+tt.noise*rng.NormFloat64(), 1+tt.rise*x)
			}
			is.True(s.Rise() >= tt.low && s.Rise() <= tt.high)
			is.True(math.Abs(s.At(s.x)-s.y) < 1e-9)
		})
	}
}

func TestZeroSlope(t *testing.T) {
	is := is.New(t)
	var s Slope
	is.True(!s.Known())
	is.Equal(s.At(5), 0.0)
}
