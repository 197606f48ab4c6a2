package stall

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A VM is frozen for some seconds. Undetected, its process continues with outdated
// state and sends requests to upstreams that have been removed meanwhile.
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
				var d Detector
				const interval = 100 * time.Millisecond
				d.Check(time.Now(), interval)
				time.Sleep(interval + c.frozen)
				stalled, suspended := d.Check(time.Now(), interval)
				is.Equal(stalled, c.want)
				is.Equal(suspended, time.Duration(0))
			})
		})
	}
}

// A VM is suspended: its monotonic clock stops, and only the wall clock shows the gap.
func TestSuspension(t *testing.T) {
	is := is.New(t)
	var d Detector
	begin := time.Now()
	d.Check(begin.Round(0), 0)
	// Neither time has a monotonic reading, so only the wall clock counts.
	stalled, _ := d.Check(begin.Round(0).Add(4*time.Second), 0)
	is.Equal(stalled, 4*time.Second)
	d.Check(begin, 0)
	stalled, _ = d.Check(begin.Round(0).Add(-time.Hour), 0) // clock set back: not a stall
	is.Equal(stalled, time.Duration(0))
}
