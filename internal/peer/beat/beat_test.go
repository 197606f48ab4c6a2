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

// An operator applies a configuration at one daemon. It must be in force
// everywhere within 4 s, also while packets are lost and the store is down.
func TestConfigurationSpreads(t *testing.T) {
	tests := map[string]struct {
		n    int
		loss float64
	}{
		"4":              {4, 0},
		"8 with 5% loss": {8, 0.05},
		"320":            {320, 0},
		"320 with loss":  {320, 0.05},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := settled(t, test.n, 13)
			f.loss = test.loss
			f.configure(f.nodes[1], 2)
			took := f.until(time.Minute, func() bool { return f.configuredAt(2) })
			is.True(f.configuredAt(2))
			is.True(took < 4*time.Second)
			t.Logf("in force everywhere after %v", took)
		})
	}
}
