package frontd

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/conf/accnt"
	"github.com/slaterock/slaterock/internal/front/mesh"
)

// Daemons that are cut off still serve, so they count among those that share the limits
// until they have stopped by themselves. Counted too short, both sides of a cut take the
// whole; a daemon that goes on alone takes a part that others think they have.
func TestWhoSharesTheLimits(t *testing.T) {
	all, some := []string{"self", "a", "b", "c"}, []string{"self", "a"}
	cases := map[string]struct {
		nodes  []string // listed or heard of since all were
		heard  int
		lasts  time.Duration
		fronts int
		all    int
	}{
		"all are there":                   {all, 4, time.Hour, 4, 4},
		"two are not heard":               {all, 2, time.Hour, 2, 4},
		"two are gone, for a while":       {some, 2, countFor - time.Second, 2, 4},
		"two are gone, for long":          {some, 2, countFor + time.Second, 2, 2},
		"this one hears nobody":           {all, 1, holdFor - time.Second, 1, 4},
		"this one hears nobody, for long": {all, 1, holdFor + time.Second, 0, 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var p present
			now := time.Unix(1000, 0)
			p.look(now, all, 4)
			for range int(c.lasts / time.Second) {
				now = now.Add(time.Second)
				p.look(now, c.nodes, c.heard)
			}
			h := p.look(now, c.nodes, c.heard)
			is.Equal([]int{h.Fronts, h.Total}, []int{c.fronts, c.all})
		})
	}
	is.New(t).True(holdFor < countFor)
}

func TestUseIsOfKnownAccounts(t *testing.T) {
	is := is.New(t)
	a, err := accnt.New([]accnt.Account{{Name: "cafe"}, {Name: "bar"}})
	is.NoErr(err)
	var p present
	is.Equal(p.byName(a, map[mesh.ID]int{mesh.IDOf("cafe"): 3, mesh.IDOf("gone"): 2}), map[string]int{"cafe": 3})
	is.Equal(len(p.byName(nil, map[mesh.ID]int{mesh.IDOf("cafe"): 3})), 0)
}
