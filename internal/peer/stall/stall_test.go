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

// A VM is suspended while a call is under way. Its answer is older than the monotonic clock
// shows.
func TestSuspended(t *testing.T) {
	cases := map[string]struct{ mono, wall, want time.Duration }{
		"it ran":                      {time.Second, time.Second, 0},
		"the clock was slewed":        {time.Second, time.Second + MinStall/2, 0},
		"suspended":                   {100 * time.Millisecond, 4100 * time.Millisecond, 4 * time.Second},
		"frozen with a running clock": {4 * time.Second, 4 * time.Second, 0},
		"the wall clock was set back": {time.Second, -time.Hour, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(suspended(c.mono, c.wall), c.want)
		})
	}
	is.New(t).Equal(Suspended(time.Now(), time.Now()), time.Duration(0))
}
