package batch

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// Engines of different kinds, as measured: the time of an event alone and what each
// turn beside it adds, in milliseconds. A share of places that suits one of them
// makes all programs late at another, or refuses callers that could be served.
func TestShare(t *testing.T) {
	cases := map[string]struct {
		alone, beside float64
		usual         float64 // turns under way
		places        int
		want          float64
	}{
		"16 places":                      {26, 1.3, 6, 16, 1.14},
		"12 places":                      {27, 1.9, 5, 12, 1.13},
		"6 places, a full batch is fine": {46, 1.9, 3, 6, 1.66},
		"64 places, slow long before":    {18, 1.9, 6, 64, minShare},
		"load makes no difference":       {20, 0, 5, 16, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			const daemons = 20 // that learn by themselves
			mean := 0.0
			for seed := range uint64(daemons) {
				var p Estimator
				rnd := rand.New(rand.NewPCG(seed, 1))
				is.New(t).Equal(p.Share(c.places), maxShare) // nothing is known, so nobody is held back
				for range 600 {
					n := max(1, c.usual+2*rnd.NormFloat64())
					p.Observe(n, (c.alone+c.beside*(n-1)+2*rnd.NormFloat64())/1000)
				}
				got := p.Share(c.places)
				is.New(t).True(math.Abs(got-c.want) < 0.12*c.want)
				mean += got / daemons
			}
			is.New(t).True(math.Abs(mean-c.want) < 0.05*c.want)
		})
	}
}
