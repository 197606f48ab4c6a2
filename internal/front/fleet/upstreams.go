package fleet

import (
	"iter"

	"github.com/tidwall/btree"
)

type (
	// Upstreams is an immutable set of upstreams, sorted by id. Sets that differ in a few
	// upstreams share the rest of their memory. The zero value is empty.
	Upstreams struct {
		tree    *btree.Map[string, *Upstream]
		sum     uint64 // of the hashes of the upstreams, modulo 2^64
		leaving int    // number of upstreams that are leaving
	}

	// upstreamsEdit is a set that is being changed. A node of the tree is copied with the first
	// change to it, so many changes in one edit cost little more than one.
	upstreamsEdit struct {
		set   Upstreams
		began bool // the tree is a copy of its own
	}
)

// Len returns the number of upstreams.
func (s Upstreams) Len() int {
	if s.tree == nil {
		return 0
	}
	return s.tree.Len()
}

// Leaving returns the number of upstreams that are leaving.
func (s Upstreams) Leaving() int { return s.leaving }

// At returns the upstream at index i in the order of ids, which must be less than Len. It
// must not be changed.
func (s Upstreams) At(i int) *Upstream {
	_, u, _ := s.tree.GetAt(i)
	return u
}

// Find returns the upstream with the id. It must not be changed.
func (s Upstreams) Find(id string) (u *Upstream, found bool) {
	if s.tree == nil {
		return nil, false
	}
	return s.tree.Get(id)
}

// All returns the upstreams in the order of ids. They must not be changed.
func (s Upstreams) All() iter.Seq[*Upstream] {
	return func(yield func(*Upstream) bool) {
		if s.tree != nil {
			s.tree.Scan(func(_ string, u *Upstream) bool { return yield(u) })
		}
	}
}

// List returns copies of the upstreams in the order of ids.
func (s Upstreams) List() []Upstream {
	list := make([]Upstream, 0, s.Len())
	for u := range s.All() {
		list = append(list, *u)
	}
	return list
}

func (e *upstreamsEdit) begin() {
	if e.began {
		return
	}
	e.began = true
	if e.set.tree == nil {
		e.set.tree = &btree.Map[string, *Upstream]{}
		return
	}
	e.set.tree = e.set.tree.Copy()
}

func (e *upstreamsEdit) put(u *Upstream) {
	e.begin()
	if old, found := e.set.tree.Set(u.ID, u); found {
		e.count(old, -1)
	}
	e.count(u, 1)
}

func (e *upstreamsEdit) remove(id string) {
	if _, found := e.set.Find(id); !found {
		return
	}
	e.begin()
	old, _ := e.set.tree.Delete(id)
	e.count(old, -1)
}

// count adds an upstream to the sums of the set, or subtracts it if n is -1.
func (e *upstreamsEdit) count(u *Upstream, n int) {
	if u.Leaving {
		e.set.leaving += n
	}
	if n < 0 {
		e.set.sum -= u.hash()
		return
	}
	e.set.sum += u.hash()
}
