package bucket

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	limits    = map[string]Limit{"small": {10, 10}}
	tolerance = Tolerance{Window: 5 * time.Second, Over: 0.1, Slack: 20}
)

// A front that is alone takes its part of the limit, and no part at all if it has been
// alone for too long to know whether it is counted.
func TestIsolatedFront(t *testing.T) {
	cases := map[string]struct {
		heard PeerUsage
		most  int // let in within ten seconds
		knows bool
	}{
		"one of one":       {PeerUsage{Fronts: 1, Total: 1}, 10*10 + 10 + 20, true},
		"one of ten":       {PeerUsage{Fronts: 1, Total: 10}, 10 + 1 + 2, true},
		"one of hundreds":  {PeerUsage{Fronts: 1, Total: 320}, 0, true},
		"none of ten":      {PeerUsage{Fronts: 0, Total: 10}, 0, false},
		"nothing is heard": {PeerUsage{}, 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := Limiter{Tolerance: tolerance}
			now := time.Unix(1000, 0)
			r.Limit(now, limits)
			in, unknown := 0, 0
			for range 1000 {
				if c.heard.Total > 0 {
					r.Update(now, c.heard)
				}
				now = now.Add(10 * time.Millisecond)
				v := r.Take(now, "small", true)
				if v.OK {
					in++
				} else {
					is.True(v.RetryAfter > 0)
				}
				if v.NoShare {
					unknown++
				}
			}
			is.True(in <= c.most)
			is.True(in >= c.most*3/4)
			is.Equal(unknown == 0, c.knows)
		})
	}
}

// A front that wakes from a freeze has old news: it would let in what the others took
// meanwhile once more.
func TestResumedFrontStartsEmpty(t *testing.T) {
	is := is.New(t)
	r := Limiter{Tolerance: tolerance}
	now := time.Unix(1000, 0)
	r.Limit(now, limits)
	for range 100 {
		r.Update(now, PeerUsage{Fronts: 2, Total: 2})
		now = now.Add(stallTime / 10)
	}
	is.True(r.Peek(now, "small").OK)
	is.True(!r.Peek(now.Add(2*stallTime), "small").OK)
}

// What was taken and not sent is given back, and what is sent twice counts twice.
func TestRefundAndResend(t *testing.T) {
	is := is.New(t)
	r := Limiter{Tolerance: tolerance}
	now := time.Unix(1000, 0)
	r.Limit(now, limits)
	r.Update(now, PeerUsage{Fronts: 1, Total: 1})
	now = now.Add(stallTime)
	before := r.Remaining(now)["small"]
	is.True(r.Take(now, "small", true).OK)
	r.Refund(now, "small")
	is.Equal(r.Remaining(now)["small"], before)
	is.Equal(len(r.Used(now)), 0)
	r.Add(now, "small")
	r.Add(now, "small")
	is.Equal(r.Used(now)["small"], 2)
	is.True(r.Remaining(now)["small"] < before)
	is.Equal(r.Used(now.Add(2 * Period))["small"], 0)
}

func BenchmarkTake(b *testing.B) {
	r := Limiter{Tolerance: tolerance, Rand: func() float64 { return 0.5 }}
	now := time.Unix(1000, 0)
	many := map[string]Limit{}
	for i := range 10000 {
		many[fmt.Sprint(i)] = Limit{1e9, 1e9}
	}
	r.Limit(now, many)
	r.Update(now, PeerUsage{Fronts: 320, Total: 320})
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		r.lastUpdate = now
		r.Take(now, "77", true)
	}
}

func BenchmarkUpdate(b *testing.B) {
	r := Limiter{Tolerance: tolerance}
	now := time.Unix(1000, 0)
	many, used := map[string]Limit{}, map[string]int{}
	for i := range 10000 {
		many[fmt.Sprint(i)] = Limit{100, 100}
		if i%20 == 0 {
			used[fmt.Sprint(i)] = 3
		}
	}
	r.Limit(now, many)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(40 * time.Millisecond)
		r.Update(now, PeerUsage{Used: used, Fronts: 320, Total: 320})
	}
}
