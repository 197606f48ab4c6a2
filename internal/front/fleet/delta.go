package fleet

import (
	"slices"
	"strings"
)

// historySize bounds the history that deltas are made from, in changed items. A peer that
// requests a delta is a few views behind; one that is further behind gets the full state,
// which in the largest fleets is about as long as a delta of so many items.
const historySize = 8192

type (
	// Delta is the difference between two views, which are identified by their hashes.
	Delta struct {
		Base        uint64     // hash of the view that the delta applies to
		Hash        uint64     // hash of the resulting view
		Upstreams   []Upstream // added or changed
		Gone        []string   // ids of removed upstreams
		Entries     []Entry    // added or changed fronts
		GoneEntries []string   // nodes of removed fronts
		Roster      uint64     `cbor:",omitempty"` // its version in the resulting view; 0 if it did not change
		Restored    bool       `cbor:",omitempty"` // of the resulting view
	}

	// history holds which items changed from each of the last views to the next. The zero
	// value is empty.
	history struct {
		steps []historyStep // the newest last
		size  int           // number of changed items
	}

	historyStep struct {
		base      uint64   // hash of the view before
		upstreams []string // ids
		entries   []string // nodes
	}
)

// DeltaSince returns the delta from the view with that hash to the current one, and
// false if that view is not in the history.
func (f *Fleet) DeltaSince(hash uint64) (d Delta, ok bool) {
	f.mu.Lock()
	v := f.View()
	upstreams, entries, ok := f.history.changedSince(hash)
	f.mu.Unlock()
	if hash != v.Hash && !ok {
		return d, false
	}
	d.Base, d.Hash, d.Roster, d.Restored = hash, v.Hash, v.Roster, v.Restored
	for _, id := range upstreams {
		if u, found := v.Listed.Find(id); found {
			d.Upstreams = append(d.Upstreams, *u)
		} else {
			d.Gone = append(d.Gone, id)
		}
	}
	for _, node := range entries {
		if e, found := v.entry(node); found {
			d.Entries = append(d.Entries, e)
		} else {
			d.GoneEntries = append(d.GoneEntries, node)
		}
	}
	return d, true
}

// add records the changes of a delta to the view with the hash base.
func (h *history) add(base uint64, d Delta) {
	if base == 0 {
		return // nothing was known: who asks from there gets the full state
	}
	s := historyStep{base: base, upstreams: slices.Clone(d.Gone), entries: slices.Clone(d.GoneEntries)}
	for i := range d.Upstreams {
		s.upstreams = append(s.upstreams, d.Upstreams[i].ID)
	}
	for i := range d.Entries {
		s.entries = append(s.entries, d.Entries[i].Node)
	}
	h.steps = append(h.steps, s)
	h.size += s.size()
	for h.size > historySize {
		h.size -= h.steps[0].size()
		h.steps = slices.Delete(h.steps, 0, 1)
	}
}

// changedSince returns the items that changed after the view with the hash, sorted, and
// false if that view is not in the history.
func (h *history) changedSince(hash uint64) (upstreams, entries []string, ok bool) {
	for i := len(h.steps) - 1; i >= 0 && !ok; i-- {
		upstreams = append(upstreams, h.steps[i].upstreams...)
		entries = append(entries, h.steps[i].entries...)
		ok = h.steps[i].base == hash
	}
	slices.Sort(upstreams)
	slices.Sort(entries)
	return slices.Compact(upstreams), slices.Compact(entries), ok
}

// size counts a step without items as one, so that the number of steps is bounded, too.
func (s historyStep) size() int { return 1 + len(s.upstreams) + len(s.entries) }

// entry returns the front with that name.
func (v *View) entry(node string) (e Entry, found bool) {
	i, found := slices.BinarySearchFunc(v.Entries, node, func(e Entry, node string) int { return strings.Compare(e.Node, node) })
	if !found {
		return e, false
	}
	return v.Entries[i], true
}

// sameUpstream compares upstreams without the fields that change with every report
// and don't affect decisions.
func sameUpstream(a, b Upstream) bool {
	a.Serial, a.Cold = b.Serial, b.Cold
	return a == b
}

// diff compares two lists that are sorted by key.
func diff[T any](old, now []T, key func(T) string, same func(a, b T) bool) (changed []T, gone []string) {
	i := 0
	for _, n := range now {
		for i < len(old) && key(old[i]) < key(n) {
			gone = append(gone, key(old[i]))
			i++
		}
		if i < len(old) && key(old[i]) == key(n) {
			if !same(old[i], n) {
				changed = append(changed, n)
			}
			i++
			continue
		}
		changed = append(changed, n)
	}
	for ; i < len(old); i++ {
		gone = append(gone, key(old[i]))
	}
	return changed, gone
}

func merge[T any](old, changed []T, gone []string, key func(T) string) (now []T) {
	replaced := map[string]bool{}
	for _, n := range changed {
		replaced[key(n)] = true
	}
	for _, id := range gone {
		replaced[id] = true
	}
	for _, o := range old {
		if !replaced[key(o)] {
			now = append(now, o)
		}
	}
	now = append(now, changed...)
	slices.SortFunc(now, func(a, b T) int { return strings.Compare(key(a), key(b)) })
	return now
}
