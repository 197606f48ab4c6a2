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

// An isolated front uses its part of the limit, and none if it has been isolated for so
// long that the other fronts may no longer count it.
func TestIsolatedFront(t *testing.T) {
	cases := map[string]struct {
		peers PeerUsage
		most  int // requests admitted within ten seconds
		share bool
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
			r := Buckets{Tolerance: tolerance}
			now := time.Unix(1000, 0)
			r.Limit(now, limits)
			admitted, noShare := 0, 0
			for range 1000 {
				if c.peers.Total > 0 {
					r.Update(now, c.peers)
				}
				now = now.Add(10 * time.Millisecond)
				v := r.Take(now, "small", true)
				if v.OK {
					admitted++
				} else {
					is.True(v.RetryAfter > 0)
				}
				if v.NoShare {
					noShare++
				}
			}
			is.True(admitted <= c.most)
			is.True(admitted >= c.most*3/4)
			is.Equal(noShare == 0, c.share)
		})
	}
}

// A front that resumes from a freeze has outdated usage: it would admit again what the
// others admitted meanwhile.
func TestResumedFrontStartsEmpty(t *testing.T) {
	is := is.New(t)
	r := Buckets{Tolerance: tolerance}
	now := time.Unix(1000, 0)
	r.Limit(now, limits)
	for range 100 {
		r.Update(now, PeerUsage{Fronts: 2, Total: 2})
		now = now.Add(stallTime / 10)
	}
	is.True(r.Check(now, "small").OK)
	is.True(!r.Check(now.Add(2*stallTime), "small").OK)
}

// A request that was counted and not sent is refunded, and one that is sent twice counts
// twice.
func TestRefundAndResend(t *testing.T) {
	is := is.New(t)
	r := Buckets{Tolerance: tolerance}
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

// A program that was admitted and then refused by the engines has not begun: if it were counted,
// the forecast would refuse others in its place.
func TestRefundedProgramHasNotBegun(t *testing.T) {
	is := is.New(t)
	r := Buckets{Tolerance: tolerance}
	now := time.Unix(1000, 0)
	r.Limit(now, limits)
	for range 50 {
		r.Update(now, PeerUsage{Fronts: 1, Total: 1})
		now = now.Add(100 * time.Millisecond)
		is.True(r.Take(now, "small", false).OK)
		r.RefundClass(now, "small", New, 1)
		is.Equal(r.Programs(now)["small"], 0.0)
		is.Equal(len(r.Begun(now)), 0)
	}
}

// An account whose limit is too small for a program of the usual size must still get one after
// the other: it would be refused for good otherwise.
func TestSmallLimitServesOneProgramAtATime(t *testing.T) {
	is := is.New(t)
	r := Buckets{Tolerance: tolerance}
	now := time.Unix(1000, 0)
	r.Limit(now, map[string]Limit{"tiny": {1, 3}})
	begun, refused := 0, 0
	for range 600 {
		r.Update(now, PeerUsage{Fronts: 1, Total: 1})
		now = now.Add(100 * time.Millisecond)
		if r.Take(now, "tiny", false).OK {
			begun++
		} else {
			refused++
		}
	}
	is.True(begun >= 3)
	is.True(refused > 0)
}

func BenchmarkTake(b *testing.B) {
	r := Buckets{Tolerance: tolerance, Rand: func() float64 { return 0.5 }}
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
	r := Buckets{Tolerance: tolerance}
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

// Guards against a flood in which refused callers come back again and again within a second:
// they would have used up their attempts before it is over.
func TestRetryAfterInAFlood(t *testing.T) {
	cases := map[string]struct {
		class   Class
		waiting int // new programs that wait at other fronts
		least   time.Duration
		most    time.Duration
	}{
		"a new program, nobody waits": {New, 0, minRetryAfter, maxRetryAfter - 1},
		"a new program, others wait":  {New, 5, maxRetryAfter, maxRetryAfter},
		"a begun one, new ones wait":  {Begun, 5, minRetryAfter, maxRetryAfter - 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := Buckets{Tolerance: tolerance}
			now := time.Unix(1000, 0)
			r.Limit(now, map[string]Limit{"a": {Rate: 100, Burst: 100}})
			r.Update(now, PeerUsage{Fronts: 2, Total: 2, Waiting: map[string]int{"a": c.waiting}})
			after := r.Refuse(now, "a", c.class).RetryAfter
			is.True(after >= c.least && after <= c.most)
		})
	}
}
