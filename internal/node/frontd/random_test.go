package frontd

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// contactTime is how long the store must have answered a front's calls, without a pause, for the
// front to count.
const contactTime = 3 * time.Second

var (
	firstSeed = flag.Uint64("first", 1, "first seed of TestVersionsUnderFaults")
	seeds     = flag.Uint64("seeds", 1, "number of seeds of TestVersionsUnderFaults")
)

// faults disturbs random fronts of a cluster, and tracks which of them count.
type faults struct {
	c         *cluster
	rng       *rand.Rand
	until     map[*clusterFront]time.Time // end of the present disturbance
	harmed    map[*clusterFront]time.Time // when the store last failed to answer
	versions  []time.Time                 // when each version was accepted
	begun     map[*clusterFront]int64     // version that the front had when seen last
	worst     time.Duration
	nextFault time.Time
	nextWrite time.Time
}

// disturb begins a disturbance of random fronts: the store refuses them or is silent to them, or
// they are cut off from the others, or both.
func (x *faults) disturb(now time.Time) {
	n := len(x.c.fronts)
	counts := []int{1, 2, n / 3, n / 2, n - 1, n}
	count := counts[x.rng.IntN(len(counts))]
	mode, cut := x.rng.IntN(3), x.rng.IntN(2) == 0
	until := now.Add(time.Duration(500+x.rng.IntN(7000)) * time.Millisecond)
	list := x.rng.Perm(n)
	if x.rng.IntN(2) == 0 { // those that read first
		list = x.byRank(now)
	}
	for _, i := range list[:count] {
		f := x.c.fronts[i]
		f.disturb(mode, cut, false)
		x.until[f] = until
	}
}

// byRank returns the fronts' indices in the order in which they read.
func (x *faults) byRank(now time.Time) (list []int) {
	for rank := range 2 * len(x.c.fronts) {
		for i, f := range x.c.fronts {
			if f.meshio.Rank(now) == rank {
				list = append(list, i)
			}
		}
	}
	return list
}

func (x *faults) step(now time.Time) {
	if now.After(x.nextFault) {
		x.disturb(now)
		x.nextFault = now.Add(time.Duration(500+x.rng.IntN(5000)) * time.Millisecond)
	}
	if now.After(x.nextWrite) {
		x.c.accept()
		x.versions = append(x.versions, now)
		x.nextWrite = now.Add(time.Duration(200+x.rng.IntN(4000)) * time.Millisecond)
	}
	for f, until := range x.until {
		if now.After(until) {
			f.disturb(storeAnswers, false, false)
			delete(x.until, f)
		}
	}
}

// check returns an error text if a front that counts lacks a version for too long, or has gone
// back to an older one.
func (x *faults) check(now time.Time) string {
	for _, f := range x.c.fronts {
		f.mu.Lock()
		if f.store != storeAnswers {
			x.harmed[f] = now
		}
		f.mu.Unlock()
		has := int64(0)
		if t := f.fleet.View().Table; t != nil {
			has = t.Version
		}
		if has < x.begun[f] {
			return fmt.Sprintf("%s went back from version %d to %d", f.Settings.Node, x.begun[f], has)
		}
		x.begun[f] = has
		if now.Sub(x.harmed[f]) < contactTime || int(has-1) >= len(x.versions) {
			continue
		}
		late := now.Sub(x.versions[has-1]) // version 2 is the first that was accepted
		x.worst = max(x.worst, late)
		if late > versionBound {
			return fmt.Sprintf("%s has version %d, the next was accepted %v ago", f.Settings.Node, has, late)
		}
	}
	return ""
}

// Fronts are cut off and turned away in every combination while versions are accepted; one that the store answers must have them in time, and none may go back.
func TestVersionsUnderFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		for _, n := range []int{6, 30} {
			t.Run(fmt.Sprintf("%d fronts, seed %d", n, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newCluster(t, n, seed, 0)
					now := time.Now()
					x := &faults{
						c: c, rng: rand.New(rand.NewPCG(seed, 9)), until: map[*clusterFront]time.Time{}, harmed: map[*clusterFront]time.Time{},
						begun: map[*clusterFront]int64{}, nextFault: now.Add(settle), nextWrite: now.Add(settle),
					}
					for _, f := range c.fronts {
						x.harmed[f] = now
					}
					for end := now.Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
						x.step(time.Now())
						is.New(t).Equal(x.check(time.Now()), "")
					}
					t.Logf("the latest version was in force after %v", x.worst)
				})
			})
		}
	}
}
