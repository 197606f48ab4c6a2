package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// randomSnapshot returns a random subset of a fixed set of upstreams and entries, with
// random contents.
func randomSnapshot(rnd *rand.Rand, revision uint64) (r Snapshot) {
	r.Revision = revision
	for i := range 12 {
		if rnd.IntN(4) > 0 {
			r.Upstreams = append(r.Upstreams, Upstream{ID: fmt.Sprint("u", i), Leaving: rnd.IntN(5) == 0, Born: int64(rnd.IntN(2)), Serial: rnd.Uint64()})
		}
		if rnd.IntN(4) > 0 {
			r.Entries = append(r.Entries, Entry{Node: fmt.Sprint("n", i), Leaving: rnd.IntN(5) == 0})
		}
	}
	return r
}

// listing returns the listed upstreams without the fields that are left out of the hash.
func listing(v *View) (list []Upstream) {
	for _, u := range v.Listed.List() {
		u.Serial, u.Cold = 0, 0
		list = append(list, u)
	}
	return list
}

// A daemon receives deltas from whichever peer has read the store, several views apart.
// Applying a delta must yield the peer's view; otherwise requests are sent to upstreams
// that are gone.
func TestDeltas(t *testing.T) {
	for seed := range uint64(50) {
		is := is.New(t)
		rnd := rand.New(rand.NewPCG(seed, 0))
		var source, replica Fleet
		full := 0
		for revision := range uint64(60) {
			source.Update(time.Now(), randomSnapshot(rnd, revision+1))
			if rnd.IntN(3) > 0 {
				continue // the replica skips this view
			}
			v := source.View()
			d, ok := source.DeltaSince(replica.View().Hash)
			if ok {
				replica.Update(time.Now(), PeerDelta{Delta: d, Revision: v.Revision})
			} else {
				full++
				replica.Update(time.Now(), PeerSnapshot{Snapshot: Snapshot{Revision: v.Revision, Upstreams: v.Listed.List(), Entries: v.Entries}})
			}
			is.Equal(replica.View().Hash, v.Hash)
			is.Equal(listing(replica.View()), listing(v))
			is.Equal(replica.View().Entries, v.Entries)
		}
		is.True(full <= 2) // the first, and one whose base is no longer in the history
	}
}

// The view of the replica changes while the answer is in transit. The delta has another
// base then and must not be applied.
func TestDeltaOfAnotherState(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 1))
	var source, replica Fleet
	first := randomSnapshot(rnd, 1)
	source.Update(time.Now(), first)
	replica.Update(time.Now(), first)
	source.Update(time.Now(), randomSnapshot(rnd, 2))
	d, ok := source.DeltaSince(replica.View().Hash)
	is.True(ok)
	replica.Update(time.Now(), randomSnapshot(rnd, 3))
	before := replica.View()
	replica.Update(time.Now(), PeerDelta{Delta: d, Revision: 4})
	is.Equal(replica.View(), before)
	_, ok = source.DeltaSince(12345)
	is.True(!ok)
}
