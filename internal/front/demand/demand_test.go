package demand

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The closed form must admit no program for which the limit does not suffice at some later
// moment, and must not leave more than a tenth of what it allows unused: compared with the
// sum over small steps of time.
func TestRoomCoversEachMoment(t *testing.T) {
	for _, rate := range []float64{0.5, 10, 60, 400} {
		for _, level := range []float64{0, 1, 5, 30, 66, 440} {
			is := is.New(t)
			var f Forecast
			age, requests := f.Age().Seconds(), f.Requests()
			most := f.Room(level, rate) * requests
			lowest := func(remaining float64) float64 {
				out := math.Inf(1)
				for at := 0.0; at < 30; at += 0.001 {
					out = min(out, level+rate*at-remaining*(1-math.Exp(-at/age)))
				}
				return out
			}
			is.True(lowest(most) >= -0.01)
			is.True(lowest(most*1.1+0.1) < 0)
		}
	}
}

// A front that has just started, or one that resumed, must not take the account for idle: it
// would let programs begin for which the limit does not suffice.
func TestResume(t *testing.T) {
	is := is.New(t)
	var all, started Forecast
	for range 100 {
		all.Advance(100*time.Millisecond, 60, 6)
	}
	started.Resume(60)
	is.True(math.Abs(started.Remaining()-all.Remaining()) < all.Remaining()/4)
	is.True(started.Room(0, 60) < 2)
}

// Without requests the estimates return to the usual values and nothing remains: otherwise a
// program that never continued would block others for good.
func TestForgets(t *testing.T) {
	is := is.New(t)
	var f Forecast
	f.Begin(1)
	f.Admit(1)
	for range 100 {
		f.Observe(100 * time.Millisecond)
	}
	is.True(f.Age() < usualAge/2)
	f.Advance(10*maxAge, 0, 0)
	is.True(f.Remaining() < 0.01)
	is.True(math.Abs(f.Requests()-usualRequests) < 0.5)
}
