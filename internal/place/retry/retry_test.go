package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestBudgetIsAShare(t *testing.T) {
	tests := map[string]struct {
		share    float64
		attempts int
		want     int
	}{
		"idle":          {0.1, 0, minTokens},
		"a tenth":       {0.1, 500, 50 + minTokens},
		"default":       {0, 500, 50 + minTokens},
		"a fifth":       {0.2, 200, 40 + minTokens},
		"none":          {-1, 500, 0},
		"never hoarded": {0.5, 10_000, maxTokens + minTokens},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := Budget{Share: tt.share}
			for range tt.attempts {
				b.Earn()
			}
			got := 0
			for b.Spend() {
				got++
			}
			is.True(got >= tt.want-1 && got <= tt.want) // one may be lost to rounding
		})
	}
}

func TestDelayGrowsAndSpreads(t *testing.T) {
	is := is.New(t)
	is.Equal(Delay(1, 1), 2*baseDelay)
	is.Equal(Delay(2, 0.5), 2*baseDelay)
	is.Equal(Delay(3, 0), time.Duration(0))
	is.Equal(Delay(20, 1), maxDelay)
}
