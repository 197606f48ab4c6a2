package pace

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	one   = IDOf("one", 1)
)

// observe adds so many samples, one each 40 ms, and returns the time of the last.
func observe(t *Table, now time.Time, n int, ratio float64) time.Time {
	for range n {
		now = now.Add(40 * time.Millisecond)
		t.Observe(now, one, 0.1*ratio, 0.1, true)
	}
	return now
}

// A few slow responses, small differences and old samples are no reason to avoid an upstream.
func TestFactor(t *testing.T) {
	cases := map[string]struct {
		samples     int
		ratio       float64
		later       time.Duration
		least, most float64
	}{
		"unknown":             {0, 1, 0, 1, 1},
		"too few samples":     {11, 2, 0, 1, 1},
		"slow":                {40, 1.6, 0, 1.5, 1.6},
		"fast":                {40, 0.6, 0, 0.6, 0.65},
		"as usual":            {40, 1.02, 0, 1, 1},
		"slow some time ago":  {40, 1.6, 10 * time.Second, 1.2, 1.5},
		"slow long ago":       {40, 1.6, time.Minute, 1, 1},
		"far slower":          {60, 4, 0, 3, 4.1},
		"three times as fast": {60, 0.3, 0, 0.3, 0.4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var table Table
			f := table.Factor(observe(&table, epoch, c.samples, c.ratio).Add(c.later), one)
			t.Log(f)
			is.New(t).True(f >= c.least && f <= c.most)
		})
	}
}

// A process that restarts under the same id may be another machine: its factor is unknown.
func TestRestartIsUnknown(t *testing.T) {
	is := is.New(t)
	var table Table
	now := observe(&table, epoch, 40, 1.6)
	is.True(table.Factor(now, one) > 1)
	is.Equal(table.Factor(now, IDOf("one", 2)), 1.0)
}

// An upstream becomes four times slower and recovers. The earlier samples must not hide that.
func TestChangeOfSpeed(t *testing.T) {
	is := is.New(t)
	var table Table
	now := observe(&table, epoch, 100, 1)
	now = observe(&table, now, 3, 4)
	is.True(table.Factor(now, one) > 2)
	now = observe(&table, now, 40, 4)
	is.True(table.Factor(now, one) > 3)
	now = observe(&table, now, 15, 1)
	is.True(table.Factor(now, one) < 1.6)
	is.True(table.Changes() >= 2)
}

// The samples that a daemon sends must give the others the same factor, however they are split
// and in whatever order they arrive, and must be sent once.
func TestDeltas(t *testing.T) {
	is := is.New(t)
	var from, hub, other Table
	now, lists := epoch, [][]Sample{}
	for range 20 {
		now = observe(&from, now, 2, 1.6)
		lists = append(lists, from.TakeDelta(10))
	}
	is.Equal(len(from.TakeDelta(10)), 0)
	for i := range lists {
		hub.Forward(now, lists[len(lists)-1-i])
	}
	other.AddDelta(now, hub.TakeDelta(10))
	is.Equal(hub.Factor(now, one), other.Factor(now, one))
	is.True(math.Abs(hub.Factor(now, one)-from.Factor(now, one)) < 0.03)
	from.Observe(now, one, 0.1, 0.1, true)
	from.DropDelta()
	is.Equal(len(from.TakeDelta(10)), 0)
	hub.AddDelta(now, []Sample{{ID: one}}) // nothing to add, not a division by zero
	is.True(hub.Factor(now, one) > 1)
}

// A message has room for a few estimates. Changed ones come first, the others in turn, and those
// that were 1 all the time not at all.
func TestSelect(t *testing.T) {
	is := is.New(t)
	const n = 100
	var hub, front Table
	ids := [n]ID{}
	now := epoch
	add := func(id ID, ratio float64) {
		for range 40 {
			hub.Observe(now, id, 0.1*ratio, 0.1, true)
		}
	}
	for i := range ids {
		ids[i] = IDOf("up", int64(i))
		add(ids[i], 1+0.6*float64(i%2))
	}
	seen := map[ID]int{}
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		list := hub.Select(now, 12)
		is.True(len(list) <= 12)
		for _, e := range list {
			seen[e.ID]++
		}
		front.Merge(now, list)
	}
	is.Equal(len(seen), n/2)
	is.True(math.Abs(front.Factor(now, ids[1])-hub.Factor(now, ids[1])) < 0.05)
	add(ids[8], 3)
	front.Merge(now, hub.Select(now.Add(time.Millisecond), 12))
	is.True(front.Factor(now, ids[8]) > 1.5)
	is.Equal(len((&Table{}).Select(now, 12)), 0)
}

// A prefill stops all streams of an engine once. A single long gap must not look like a slow engine,
// two in a row must.
func TestStreamConfirmsLongGaps(t *testing.T) {
	cases := map[string]struct {
		gaps      []int // ms; 25 are expected
		confirmed int   // samples that are long and confirmed
		samples   int
	}{
		"usual":               {[]int{25, 25, 25, 25}, 0, 2},
		"one pause":           {[]int{25, 280, 25, 25, 25}, 0, 3},
		"every event is late": {[]int{25, 100, 100, 100}, 2, 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			stream, now, confirmed, samples := Stream{Last: epoch}, epoch, 0, 0
			observe := func(measured, expected float64, again bool) bool {
				long := measured > 3*expected
				if samples++; long && again {
					confirmed++
				}
				return long
			}
			for _, ms := range c.gaps {
				now = now.Add(time.Duration(ms) * time.Millisecond)
				stream.Event(now, 25*time.Millisecond, observe)
			}
			stream.End(observe)
			is.Equal(confirmed, c.confirmed)
			is.Equal(samples, c.samples)
		})
	}
}

// Guards against an engine that looks the faster the more turns it runs, and draws still more to
// it: alike engines of which some are busier must not get factors below 1.
func TestBusyUpstreamsAreNotTakenForFaster(t *testing.T) {
	is := is.New(t)
	var p Table
	const usual = 0.025 // of the service; a busy engine takes a little longer
	now := time.Unix(1000, 0)
	for range 400 {
		now = now.Add(10 * time.Millisecond)
		for turns := range 30 {
			p.Observe(now, ID(turns+1), usual*(0.95+0.005*float64(turns)), usual, false)
		}
	}
	for turns := range 30 {
		is.True(p.Factor(now, ID(turns+1)) >= 0.9)
	}
	is.True(p.Factor(now, 30) > p.Factor(now, 1))
}

// Guards against a table that keeps upstreams that are gone where nothing is selected for others,
// as at fronts that are no hubs, and against an infinite error after a long time without samples.
func TestForgottenWithoutSelect(t *testing.T) {
	is := is.New(t)
	var table Table
	now := time.Unix(1e9, 0)
	for id := range ID(100) {
		for range 30 {
			table.Observe(now, id, 0.1, 0.1, false)
		}
	}
	now = now.Add(2 * time.Hour)
	table.Observe(now, 1, 0.1, 0.1, false)
	is.Equal(len(table.all), 1)
	is.Equal(table.Factor(now, 1), 1.0)
	table.DropDelta()
	table.Observe(now, 1, 0.1, 0.1, false)
	is.Equal(table.TakeDelta(1)[0].Measured, uint64(1000))
}

// Guards against samples that are not numbers after an estimate whose count was rounded to 0: that
// of an engine that was slow and has been idle for 18 s.
func TestEstimateWithoutSamples(t *testing.T) {
	is := is.New(t)
	var hub, front Table
	now := observe(&hub, epoch, 40, 1.6)
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		front.Merge(now, hub.Select(now, 12))
	}
	is.Equal(front.all[one].long.count, 0.0)
	front.Observe(now, one, 0.1, 0.1, false)
	is.Equal(front.TakeDelta(1)[0].Measured, uint64(1000))
	is.Equal(front.Factor(now, one), 1.0)
}

// Guards against a front that becomes a hub and whose estimates then follow the samples only
// slowly, since it had them from another hub before.
func TestNewHubFollowsSamples(t *testing.T) {
	is := is.New(t)
	var before, after Table
	now := epoch
	before.Merge(now, []Estimate{{ID: one, Count: 80, Mean: 1600, Deviation: 160}})
	for range 50 {
		now = now.Add(200 * time.Millisecond)
		list := []Sample{{ID: one, Count: 2, Usual: 2, Expected: 2000, Measured: 2400, Square: 2900}}
		before.AddDelta(now, list)
		after.AddDelta(now, list)
	}
	t.Log(before.Factor(now, one), after.Factor(now, one))
	is.True(math.Abs(before.Factor(now, one)-after.Factor(now, one)) < 0.1)
}
