package parts

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/front/cached"
	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/meta"
)

func viewOf(list ...fleet.Upstream) *fleet.View {
	var f fleet.Fleet
	f.Update(time.Unix(1000, 0), fleet.Snapshot{Revision: 1, Upstreams: list})
	return f.View()
}

// Guards against pairs of upstreams that left or restarted, and against pairs of upstreams that
// this front does not know yet and that are lost before it does.
func TestHoldersFollowTheView(t *testing.T) {
	a, b := fleet.Upstream{ID: "a", Service: "s", Born: 1}, fleet.Upstream{ID: "b", Service: "s", Born: 1}
	restarted := a
	restarted.Born = 2
	shared := []meta.Part{{ID: 7, Tokens: 10}}
	cases := map[string]struct {
		views []*fleet.View
		want  []string
	}{
		"both known":        {[]*fleet.View{viewOf(a, b)}, []string{"a", "b"}},
		"one not known yet": {[]*fleet.View{viewOf(a)}, []string{"a"}},
		"known later":       {[]*fleet.View{viewOf(a), viewOf(a, b)}, []string{"a", "b"}},
		"one has left":      {[]*fleet.View{viewOf(a, b), viewOf(b)}, []string{"b"}},
		"left and listed":   {[]*fleet.View{viewOf(a, b), viewOf(b), viewOf(a, b)}, []string{"b"}},
		"one has restarted": {[]*fleet.View{viewOf(a, b), viewOf(restarted, b)}, []string{"b"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var other, table Table
			now := time.Unix(1000, 0)
			other.Use(now, shared, a)
			other.Use(now, shared, b)
			table.Merge(now, other.TakeNew())
			for _, v := range c.views {
				now = now.Add(refreshInterval)
				table.Update(now, v)
			}
			var got []string
			for _, h := range table.Holders(now, 7, nil) {
				got = append(got, h.ID)
				is.Equal(h.Upstream, cached.UpstreamOf(h.ID, 1))
			}
			is.Equal(len(got), len(c.want))
			for _, id := range c.want {
				is.True(got[0] == id || got[len(got)-1] == id)
			}
		})
	}
}

func TestUse(t *testing.T) {
	is := is.New(t)
	var table Table
	now, u := time.Unix(1000, 0), fleet.Upstream{ID: "a"}
	long, short := []meta.Part{{ID: 1, Tokens: 100}, {ID: 2, Tokens: 10}}, []meta.Part{{ID: 1, Tokens: 100}}
	use := func(shared []meta.Part) []int {
		found, all := table.Use(now, shared, u)
		return []int{found, all}
	}
	is.Equal(use(nil), []int{0, 0})
	is.Equal(use(short), []int{0, 100})
	is.Equal(use(long), []int{100, 110})
	is.Equal(use(long), []int{110, 110})
	now = now.Add(cached.TTL + 1)
	is.Equal(use(long), []int{0, 110})
}
