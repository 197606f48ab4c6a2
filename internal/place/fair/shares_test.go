package fair

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// One of 20 accounts asks for 7.5 times as many programs as the others. It must be found
// whatever the unit of the weights: with large weights the others were forgotten at once, and
// nobody asked for more than the mean.
func TestOverAtAnyWeight(t *testing.T) {
	for _, w := range []float64{0, 1, 60, 400, 10000} {
		t.Run(fmt.Sprint(w), func(t *testing.T) {
			is := is.New(t)
			var s Shares
			now := time.Unix(1000, 0)
			running, weights := map[string]int{}, map[string]float64{}
			for i := range 20 {
				running[fmt.Sprint(i)], weights[fmt.Sprint(i)] = 4, w
			}
			running["0"] = 30
			for range 50 { // 5 s
				now = now.Add(100 * time.Millisecond)
				for i := range 20 {
					s.Ask(now, fmt.Sprint(i), w)
				}
				for range 6 {
					s.Ask(now, "0", w)
				}
			}
			s.Observe(now, running, weights)
			is.True(s.Over("0", w))
			is.True(!s.Over("1", w))
		})
	}
}
