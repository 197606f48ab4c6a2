package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// storeModel is the content of a store, and what changed last.
type storeModel struct {
	revision uint64
	items    map[string]Upstream
	log      []modelChange
}

type modelChange struct {
	revision uint64
	id       string
}

func (s *storeModel) write(id string, u *Upstream) {
	s.revision++
	s.log = append(s.log, modelChange{s.revision, id})
	if u == nil {
		delete(s.items, id)
		return
	}
	s.items[id] = *u
}

func (s *storeModel) snapshot() (r Snapshot) {
	r.Revision = s.revision
	for _, u := range s.items {
		r.Upstreams = append(r.Upstreams, u)
	}
	return r
}

func (s *storeModel) since(revision uint64) Changes {
	c := Changes{Since: revision, Revision: s.revision}
	changed := map[string]bool{}
	for _, l := range s.log {
		if l.revision <= revision || changed[l.id] {
			continue
		}
		changed[l.id] = true
		if u, found := s.items[l.id]; found {
			c.Delta.Upstreams = append(c.Delta.Upstreams, u)
		} else {
			c.Delta.Gone = append(c.Delta.Gone, l.id)
		}
	}
	return c
}

// randomWrite adds, changes, moves to another service, or removes an upstream.
func (s *storeModel) randomWrite(rnd *rand.Rand) {
	id := fmt.Sprint("u", rnd.IntN(400))
	if rnd.IntN(4) == 0 {
		s.write(id, nil)
		return
	}
	s.write(id, &Upstream{ID: id, Service: fmt.Sprint("s", rnd.IntN(3)), Address: id, Batch: 4 + rnd.IntN(2), Leaving: rnd.IntN(5) == 0, Born: int64(rnd.IntN(3))})
}

// content describes all that a view holds, computed from its parts in different ways.
func content(v *View) string {
	s := fmt.Sprintln(v.Revision, v.Hash, v.Listed.List(), v.Retained.List())
	for _, name := range []string{"s0", "s1", "s2"} {
		service := v.Services[name]
		s += fmt.Sprintln(name, service.Len(), service.Capacity(func(int) float64 { return 1 }))
	}
	return s
}

// A daemon that reads only the changes must hold what the whole list would give it: the same upstreams in the same services, with the same capacity, and the same hash. Views that requests still use must not change.
func TestChangesEqualTheWholeList(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		rnd := rand.New(rand.NewPCG(seed, 2))
		store := storeModel{items: map[string]Upstream{}}
		var f Fleet
		kept, was := f.View(), content(f.View())
		for range 200 {
			for range rnd.IntN(20) {
				store.randomWrite(rnd)
			}
			f.Update(start, store.since(f.View().Revision))
			if rnd.IntN(10) == 0 {
				kept, was = f.View(), content(f.View())
			}
			var whole Fleet
			whole.Update(start, store.snapshot())
			is.Equal(content(f.View()), content(whole.View()))
			is.Equal(content(kept), was)
		}
	}
}

// Changes that were read before the state moved on, or that start from a backup, would leave out what came in between.
func TestChangesOfAnotherState(t *testing.T) {
	changes := Changes{Since: 5, Revision: 8, Delta: Delta{Gone: []string{"a"}}}
	cases := map[string]struct {
		first Event
		want  string
	}{
		"of the same state":            {snapshot(5, 1, "a", "b"), "b"},
		"of an older state":            {snapshot(6, 1, "a", "b"), "ab"},
		"of a state not known yet":     {snapshot(4, 1, "a", "b"), "ab"},
		"of a state from a disk":       {PeerSnapshot{Snapshot: Snapshot{Revision: 5, Upstreams: snapshot(5, 1, "a", "b").Upstreams, Restored: true}}, "ab"},
		"of a state read after a disk": {snapshot(5, 1, "a", "b"), "b"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var f Fleet
			if name == "of a state read after a disk" {
				f.Update(start, PeerSnapshot{Snapshot: Snapshot{Revision: 4, Upstreams: snapshot(4, 1, "z").Upstreams, Restored: true}})
			}
			f.Update(start, c.first)
			f.Update(start, changes)
			is.Equal(ids(f.View()), c.want)
			is.Equal(f.View().Revision == 8, c.want == "b")
		})
	}
}

// The store was away and entries expired meanwhile; the changes list them as gone. Requests must still find an upstream, and one that is still missing after the grace period must be dropped, as with the whole list.
func TestChangesAfterAnOutage(t *testing.T) {
	is := is.New(t)
	var f Fleet
	f.Update(start, snapshot(1, 1, "a", "b", "c!"))
	f.Update(start, Outage{})
	recovery := start.Add(10 * time.Second)
	f.Update(recovery, Changes{Since: 1, Revision: 3, Delta: Delta{Gone: []string{"b", "c"}}})
	is.Equal(ids(f.View()), "ab")
	f.Update(recovery.Add(time.Second), Changes{Since: 3, Revision: 3})
	f.Update(recovery.Add(RecoveryGrace-1), Changes{Since: 3, Revision: 3})
	is.Equal(ids(f.View()), "ab")
	f.Update(recovery.Add(RecoveryGrace), Changes{Since: 3, Revision: 3})
	is.Equal(ids(f.View()), "a")
}
