package home

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/front/fleet"
)

var start = time.Unix(100_000, 0)

func service(n int) (list []fleet.Upstream) {
	for i := range n {
		list = append(list, fleet.Upstream{ID: fmt.Sprint("u", i), Service: "s", Born: 7})
	}
	return list
}

func without(list []fleet.Upstream, ids []string) []fleet.Upstream {
	return slices.DeleteFunc(slices.Clone(list), func(u fleet.Upstream) bool { return slices.Contains(ids, u.ID) })
}

// Guards against fronts that send the same request to different upstreams, and against upstreams that get most of the requests.
func TestSameAtAllFrontsAndEven(t *testing.T) {
	const upstreams, keys = 24, 24_000
	is := is.New(t)
	var a, b Table
	list := service(upstreams)
	s := fleet.NewService(list...)
	slices.Reverse(list)
	other := fleet.NewService(list...)
	got := map[string]int{}
	for key := range uint64(keys) {
		p := a.Of(start, "s", s, key)
		is.Equal(len(p.IDs), 3)
		is.Equal(p, b.Of(start, "s", other, key))
		for _, id := range p.IDs {
			got[id]++
		}
	}
	for _, n := range got {
		is.True(n > keys*3/upstreams*9/10 && n < keys*3/upstreams*11/10)
	}
}

// change has the table learn of another list, and returns it.
func change(l *Table, now time.Time, from, to []fleet.Upstream) *fleet.Service {
	var f fleet.Fleet
	f.Update(now, fleet.Snapshot{Revision: 1, Upstreams: from})
	before := f.View()
	var changed []string
	for _, c := range f.Update(now, fleet.Snapshot{Revision: 2, Upstreams: to}) {
		changed = append(changed, c.ID)
	}
	l.Update(now, before, f.View(), changed)
	return f.View().Services["s"]
}

// Guards against a request that goes on to others when those that it ended are no longer listed, and against places that are lost for good.
func TestPlacesOfUpstreamsThatLeft(t *testing.T) {
	list := service(12)
	cases := map[string]struct {
		asked bool // for the request before
		after time.Duration
		left  int
	}{
		"asked before":     {true, placeSpan, 2},
		"not asked before": {false, placeSpan, 2},
		"long after":       {false, placeSpan + 1, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var first, l Table
			home := first.Of(start, "s", fleet.NewService(list...), 5).IDs
			change(&l, start.Add(-time.Hour), nil, list)
			if c.asked {
				l.Of(start, "s", fleet.NewService(list...), 5)
			}
			rest := change(&l, start, list, without(list, home[:2]))
			p := l.Of(start.Add(c.after), "s", rest, 5)
			is.Equal(p.Left, c.left)
			is.Equal(p.Changed, c.left > 0)
			is.Equal(len(p.IDs), 3-c.left)
			is.True(slices.Contains(p.IDs, home[2]))
		})
	}
}

// Guards against an upstream that starts again under its id, and gets the request that ended it again from a front that asks nobody.
func TestRestartIsAChange(t *testing.T) {
	is := is.New(t)
	var l Table
	list := service(12)
	now := start.Add(time.Hour)
	s := change(&l, start, nil, list)
	is.True(l.Of(start, "s", s, 5).Changed) // the front has just started
	home := l.Of(now, "s", s, 5)
	is.True(!home.Changed)
	next := slices.Clone(list)
	for i := range next {
		if next[i].ID == home.IDs[0] {
			next[i].Born = 8
		}
	}
	s = change(&l, now, list, next)
	p := l.Of(now, "s", s, 5)
	is.True(p.Changed)
	is.Equal(p.IDs, home.IDs)
	is.True(!l.Of(now.Add(placeSpan+1), "s", s, 5).Changed)
	s = change(&l, now, next, without(next, home.IDs[:1]))
	is.Equal(l.Of(now, "s", s, 5).Left, 1)
	s = change(&l, now, without(next, home.IDs[:1]), list)
	p = l.Of(now, "s", s, 5)
	is.Equal(p.Left, 0) // it is back
	is.Equal(p.IDs, home.IDs)
}

// Guards against an innocent request that finds no upstream in a service of a few.
func TestFewUpstreams(t *testing.T) {
	for n, all := range map[int]bool{0: true, 2: true, 3: true, 4: false} {
		is := is.New(t)
		var l Table
		p := l.Of(start, "s", fleet.NewService(service(n)...), 5)
		is.Equal(p.All, all)
		is.Equal(len(p.IDs), min(n, 3))
	}
}

func BenchmarkOf(b *testing.B) {
	for _, n := range []int{13, 67, 3840} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var l Table
			s := fleet.NewService(service(n)...)
			for i := range uint64(b.N) {
				l.Of(start, "s", s, i)
			}
		})
	}
}
