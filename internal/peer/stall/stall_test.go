package stall

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A VM is frozen for some seconds. Its process goes on as if nothing had happened: it
// sends requests to upstreams that have left meanwhile.
func TestFreeze(t *testing.T) {
	cases := map[string]struct {
		frozen time.Duration
		want   time.Duration
	}{
		"it ran":   {0, 0},
		"a delay":  {MinStall - time.Millisecond, 0},
		"a freeze": {3 * time.Second, 3 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var a Detector
				const due = 100 * time.Millisecond
				a.Check(time.Now(), due)
				time.Sleep(due + c.frozen)
				away, stood := a.Check(time.Now(), due)
				is.Equal(away, c.want)
				is.Equal(stood, time.Duration(0))
			})
		})
	}
}

// A VM is suspended: its steady clock stands still, and only the time of day shows it.
func TestSuspension(t *testing.T) {
	is := is.New(t)
	var a Detector
	begin := time.Now()
	a.Check(begin.Round(0), 0)
	// Both moments without a steady clock: the time of day is all there is.
	away, _ := a.Check(begin.Round(0).Add(4*time.Second), 0)
	is.Equal(away, 4*time.Second)
	a.Check(begin, 0)
	away, _ = a.Check(begin.Round(0).Add(-time.Hour), 0) // set back: nothing is known of it
	is.Equal(away, time.Duration(0))
}
