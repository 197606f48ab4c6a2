package frontd

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/mesh"
)

// Guards against a directory that names fronts for good which were removed while the store was away, and against one that leaves
// live ones out since its own front was cut off, stood still or has just started.
func TestUnheardFronts(t *testing.T) {
	listed := []fleet.Entry{{Node: "a"}, {Node: "b"}, {Node: "c"}}
	const step = time.Second
	always := func(time.Duration) bool { return true }
	cases := map[string]struct {
		heard     func(at time.Duration) bool // whether c is heard
		connected func(at time.Duration) bool
		checks    func(at time.Duration) bool // whether the front runs
		at        time.Duration
		dead      bool
	}{
		"heard":               {always, always, always, 10 * step, false},
		"removed":             {func(at time.Duration) bool { return at < 3*step }, always, always, 8 * step, true},
		"removed just now":    {func(at time.Duration) bool { return at < 3*step }, always, always, 7 * step, false},
		"restarts":            {func(at time.Duration) bool { return at < 3*step || at > 6*step }, always, always, 10 * step, false},
		"never heard":         {func(time.Duration) bool { return false }, always, always, 5 * step, true},
		"started":             {func(time.Duration) bool { return false }, always, always, 4 * step, false},
		"cut off":             {func(time.Duration) bool { return false }, func(time.Duration) bool { return false }, always, 20 * step, false},
		"was cut off":         {func(time.Duration) bool { return false }, func(at time.Duration) bool { return at >= 10*step }, always, 14 * step, false},
		"stood still":         {func(at time.Duration) bool { return at < 3*step }, always, func(at time.Duration) bool { return at < 4*step || at >= 20*step }, 20 * step, false},
		"stands still, asked": {func(at time.Duration) bool { return at < step }, always, func(at time.Duration) bool { return at < 4*step }, 20 * step, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var u unheard
			began := time.Unix(1000, 0)
			for at := time.Duration(0); at <= c.at; at += step {
				p := mesh.Summary{Alive: map[mesh.ID]mesh.Status{mesh.IDOf("a"): 0}, Fronts: 2}
				if c.heard(at) {
					p.Alive[mesh.IDOf("c")] = 0
				}
				if c.checks(at) {
					u.check(began.Add(at), listed, p, c.connected(at))
				}
			}
			is := is.New(t)
			is.Equal(u.isDead(began.Add(c.at), "c"), c.dead)
			is.True(!u.isDead(began.Add(c.at), "a"))
		})
	}
}
