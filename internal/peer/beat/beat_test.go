package beat

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestJoin(t *testing.T) {
	for _, n := range []int{2, 4, 8, 20, 80} {
		settled(t, n, 1)
	}
}

// A VM dies without a word. Until the others know, they relay calls to it.
func TestDeath(t *testing.T) {
	for _, n := range []int{4, 8, 20, 80} {
		is := is.New(t)
		f := settled(t, n, 2)
		f.nodes[n-1].dead = true
		name := f.nodes[n-1].member.Name
		took := f.until(2*time.Minute, func() bool { return f.knowsDown(name) })
		is.True(f.knowsDown(name))
		t.Logf("%d daemons know of a death after %v", n, took)
		is.Equal(f.falseDown, 0)
	}
}
