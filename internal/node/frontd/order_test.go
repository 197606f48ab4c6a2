package frontd

import (
	"cmp"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/front/mesh"
)

// A front that reaches the store must not wait for others that don't read, or that it can't hear.
func TestFrontReadsWithoutTheOthers(t *testing.T) {
	cases := map[string]struct {
		last   func(*clusterFront) // what happens to the front that is last in the order of reads
		others func(*clusterFront)
	}{
		"it hears nobody": {
			last: func(f *clusterFront) { f.disturb(storeAnswers, true, false) },
		},
		"it hears of newer state and can't fetch it": {
			last: func(f *clusterFront) { f.disturb(storeAnswers, false, true) },
		},
		"the store refuses the others": {
			others: func(f *clusterFront) { f.disturb(storeRefuses, false, false) },
		},
		"the store is silent to the others": {
			others: func(f *clusterFront) { f.disturb(storeSilent, false, false) },
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 78, 2, 0)
				time.Sleep(settle)
				last := slices.MaxFunc(c.fronts, func(a, b *clusterFront) int {
					return cmp.Or(cmp.Compare(a.meshio.Rank(time.Now()), b.meshio.Rank(time.Now())), cmp.Compare(mesh.IDOf(a.Settings.Node), mesh.IDOf(b.Settings.Node)))
				})
				for _, f := range c.fronts {
					if disturb := tc.others; f != last && disturb != nil {
						disturb(f)
					}
				}
				if tc.last != nil {
					tc.last(last)
				}
				time.Sleep(settle)
				version, _ := c.watch([]*clusterFront{last}, 12*time.Second)
				t.Logf("a version in force after %v", version)
				is.New(t).True(version <= versionBound)
			})
		})
	}
}
