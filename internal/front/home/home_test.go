package home

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/front/fleet"
)

var start = time.Unix(1000, 0)

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

// Guards against a request that goes on to others when those that it ended are no longer listed, and against places that are lost for good.
func TestPlacesOfUpstreamsThatLeft(t *testing.T) {
	list := service(12)
	var first Table
	home := first.Of(start, "s", fleet.NewService(list...), 5).IDs
	cases := map[string]struct {
		told  bool // by an event, before the table was asked for anything
		after time.Duration
		left  int
	}{
		"seen in the list": {false, placeSpan, 2},
		"told":             {true, placeSpan, 2},
		"long after":       {false, placeSpan + 1, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var l Table
			if c.told {
				var f fleet.Fleet
				f.Update(start, fleet.Snapshot{Revision: 1, Upstreams: list})
				before := f.View()
				f.Update(start, fleet.Snapshot{Revision: 2, Upstreams: without(list, home[:2])})
				l.Update(start, before, f.View(), home)
			}
			if !c.told {
				l.Of(start, "s", fleet.NewService(list...), 5)
			}
			rest := fleet.NewService(without(list, home[:2])...)
			l.Of(start, "s", rest, 5)
			p := l.Of(start.Add(c.after), "s", rest, 5)
			is.Equal(p.Left, c.left)
			is.Equal(len(p.IDs), 3-c.left)
			is.True(slices.Contains(p.IDs, home[2]))
		})
	}
}

// Guards against an upstream that starts again under its id, and gets the request that ended it again.
func TestRestartKeepsThePlaceTaken(t *testing.T) {
	is := is.New(t)
	var l Table
	list := service(12)
	home := l.Of(start, "s", fleet.NewService(list...), 5).IDs
	for i := range list {
		if list[i].ID == home[0] {
			list[i].Born = 8
		}
	}
	p := l.Of(start, "s", fleet.NewService(list...), 5)
	is.Equal(p.Left, 1)
	is.True(!slices.Contains(p.IDs, home[0]))
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
