package frontd

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	// versionBound is the shortest time within which an accepted version has to be in force.
	versionBound = 2 * time.Second
	// settle is the time after which all fronts of a new cluster are up to date.
	settle = 5 * time.Second
)

// A busy VM reads its datagrams late; fronts that hear each other must not take their state for newer than any read, or nobody reads the store.
func TestExchangesDoNotMakeStateYounger(t *testing.T) {
	for name, n := range map[string]int{"eight": 8, "a few dozen": 54, "the largest that is served": 171} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, n, 1, 20*time.Millisecond)
				time.Sleep(settle)
				version, belief := c.watch(c.fronts, 10*time.Second)
				t.Logf("a version in force after %v, state believed newer than any read by %v", version, belief)
				is.True(version <= versionBound)
				is.True(belief <= readInterval)
			})
		})
	}
}
