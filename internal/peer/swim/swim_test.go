package swim

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestJoin(t *testing.T) {
	for _, n := range []int{2, 4, 8, 20, 80} {
		convergedFleet(t, n, 1)
	}
}

// A VM fails without notice. Until the others consider it down, they relay calls
// to it.
func TestCrash(t *testing.T) {
	for _, n := range []int{4, 8, 20, 80} {
		is := is.New(t)
		f := convergedFleet(t, n, 2)
		f.nodes[n-1].dead = true
		name := f.nodes[n-1].member.Name
		took := f.until(2*time.Minute, func() bool { return f.allConsiderDown(name) })
		is.True(f.allConsiderDown(name))
		t.Logf("%d daemons consider the failed one down after %v", n, took)
		is.Equal(f.falseDown, 0)
	}
}

// An operator applies a configuration at one daemon. It must be in force
// everywhere within 4 s, also with 5 % packet loss, without use of the store.
func TestConfigurationSpreads(t *testing.T) {
	for _, n := range []int{4, 8, 80, 320} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			f := convergedFleet(t, n, 13)
			f.configure(f.nodes[1], 2)
			is.True(f.spreadTime(t, 2) < 4*time.Second)
			f.loss = 0.05
			f.configure(f.nodes[n-1], 3)
			is.True(f.spreadTime(t, 3) < 4*time.Second)
		})
	}
}

// spreadTime returns the time until all daemons have the version.
func (f *fleet) spreadTime(t *testing.T, version uint64) time.Duration {
	t.Helper()
	took := f.until(time.Minute, func() bool { return f.configuredAt(version) })
	t.Logf("version %d in force everywhere after %v, with %.0f%% loss", version, took, 100*f.loss)
	return took
}
