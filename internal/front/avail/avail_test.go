package avail

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func at(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }

func span(from, to float64) Interval { return Interval{From: at(from), To: at(to)} }

// A daemon that takes its own partition for an outage retains upstreams that left; one that
// takes an outage for its own partition drops upstreams that are alive.
func TestMerge(t *testing.T) {
	cases := map[string]struct {
		own, peer, want Interval
		outage          time.Duration
	}{
		"the first news":                       {Interval{}, span(5, 5), span(5, 5), 0},
		"news in time":                         {span(0, 5), span(5.5, 5.5), span(0, 5.5), 0},
		"just in time":                         {span(0, 5), span(7, 7), span(0, 7), 0},
		"after an outage":                      {span(0, 5), span(15, 15), span(15, 15), 10 * time.Second},
		"told by one that was never without":   {span(0, 5), span(0, 15), span(0, 15), 0},
		"told so after an own reading":         {span(15, 15), span(0, 14.9), span(0, 15), 0},
		"told by one that is back as well":     {span(15, 15), span(14.8, 15.2), span(14.8, 15.2), 0},
		"told by one that has heard nothing":   {span(15, 15), span(0, 5), span(15, 15), 0},
		"told by one that has just started":    {span(0, 15), span(14.9, 14.9), span(0, 15), 0},
		"told of the other side of the outage": {span(0, 5), span(14, 15), span(14, 15), 9 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			merged, outage := c.own.Merge(c.peer)
			is.Equal(merged, c.want)
			is.Equal(outage, c.outage)
		})
	}
	is.New(t).Equal(Interval{}.ShiftBack(time.Second), Interval{})
	is.New(t).Equal(span(3, 9).ShiftBack(2*time.Second), span(1, 7))
}
