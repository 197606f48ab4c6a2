package cached

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

func TestHolds(t *testing.T) {
	a, b := UpstreamOf("a", 1), UpstreamOf("b", 1)
	cases := map[string]struct {
		do   func(x *Index)
		at   time.Duration
		want bool
	}{
		"nothing":                     {func(*Index) {}, 0, false},
		"used":                        {func(x *Index) { x.Use(start, 7, a) }, TTL, true},
		"expired":                     {func(x *Index) { x.Use(start, 7, a) }, TTL + 1, false},
		"used again":                  {func(x *Index) { x.Use(start, 7, a); x.Use(after(TTL), 7, a) }, 2 * TTL, true},
		"another part":                {func(x *Index) { x.Use(start, 8, a) }, 0, false},
		"another upstream":            {func(x *Index) { x.Use(start, 7, b) }, 0, false},
		"reported":                    {func(x *Index) { x.Merge(start, []Pair{pairOf(7, a)}) }, 0, true},
		"another upstream's restart":  {func(x *Index) { x.Use(start, 7, a); x.Forget(b) }, 0, true},
		"the upstream is gone":        {func(x *Index) { x.Use(start, 7, a); x.Use(start, 8, a); x.Forget(a) }, 0, false},
		"before the upstream's start": {func(x *Index) { x.Use(start, 7, UpstreamOf("a", 0)) }, 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var x Index
			c.do(&x)
			is.Equal(x.Holds(after(c.at), 7, a), c.want)
			holders := x.Holders(after(c.at), 7, nil)
			found := false
			for _, u := range holders {
				found = found || u == a
			}
			is.Equal(found, c.want)
		})
	}
}

// Guards against messages that repeat all pairs, and against pairs that expire at other fronts
// although they are in use.
func TestOnlyNewPairsAreReported(t *testing.T) {
	is := is.New(t)
	var x, other Index
	a := UpstreamOf("a", 1)
	is.True(!x.Use(start, 7, a))
	is.True(x.Use(start, 7, a))
	x.Use(after(1), 8, a)
	first := x.TakeNew(9)
	is.Equal(first, []Pair{pairOf(8, a), pairOf(7, a)}) // the newest first
	is.Equal(len(x.TakeNew(9)), 0)
	other.Merge(after(time.Second), first)
	other.Use(after(2*time.Second), 7, a)
	is.Equal(len(other.TakeNew(9)), 0) // the others know it from the first front
	x.Use(after(repeatAfter), 7, a)
	is.Equal(x.TakeNew(9), []Pair{pairOf(7, a)})
	is.True(3*repeatAfter < TTL)
}

// Guards against an index, or a queue of reports, that grows with what callers name.
func TestBounds(t *testing.T) {
	is := is.New(t)
	var x Index
	for i := range uint64(2 * MaxPairs) {
		x.Use(start, i, UpstreamOf("a", 1))
	}
	is.Equal(x.Len(), MaxPairs)
	is.Equal(len(x.holders), MaxPairs)
	is.Equal(len(x.TakeNew(2*MaxPairs)), MaxNew)
	is.True(x.Holds(start, 2*MaxPairs-1, UpstreamOf("a", 1)))
	is.True(!x.Holds(start, 0, UpstreamOf("a", 1)))
	x.Merge(after(2*TTL), nil)
	is.Equal(x.Len(), 0)
	is.Equal(len(x.holders)+len(x.counts), 0)
}

// Guards against a popular part whose later holders are never returned.
func TestManyHoldersTakeTurns(t *testing.T) {
	is := is.New(t)
	var x Index
	const n = 3*MaxHolders + 5
	for i := range int64(n) {
		x.Use(start, 7, UpstreamOf("a", i))
	}
	seen := map[Upstream]int{}
	for range 4 {
		found := x.Holders(start, 7, nil)
		is.Equal(len(found), MaxHolders)
		for _, u := range found {
			seen[u]++
		}
	}
	is.Equal(len(seen), n)
}
