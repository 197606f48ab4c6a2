package batch

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// Measured values of different kinds of engine: the event time of a lone turn and the
// increase with each concurrent turn, in milliseconds. A fixed share that suits one kind
// would make all programs late at another, or refuse callers that could be served.
func TestShare(t *testing.T) {
	cases := map[string]struct {
		alone, perTurn float64
		meanTurns      float64 // turns in flight
		batchSize      int
		want           float64
	}{
		"16 places":                      {26, 1.3, 6, 16, 1.14},
		"12 places":                      {27, 1.9, 5, 12, 1.13},
		"6 places, a full batch is fine": {46, 1.9, 3, 6, 1.66},
		"64 places, slow long before":    {18, 1.9, 6, 64, minShare},
		"load makes no difference":       {20, 0, 5, 16, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			const daemons = 20 // each with an estimator of its own
			mean := 0.0
			for seed := range uint64(daemons) {
				var p Estimator
				rnd := rand.New(rand.NewPCG(seed, 1))
				is.New(t).Equal(p.Share(c.batchSize), maxShare) // no samples, no limit
				for range 600 {
					n := max(1, c.meanTurns+2*rnd.NormFloat64())
					p.Observe(n, (c.alone+c.perTurn*(n-1)+2*rnd.NormFloat64())/1000)
				}
				got := p.Share(c.batchSize)
				is.New(t).True(math.Abs(got-c.want) < 0.12*c.want)
				mean += got / daemons
			}
			is.New(t).True(math.Abs(mean-c.want) < 0.05*c.want)
		})
	}
}
