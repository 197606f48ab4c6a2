package fleet

import (
	"slices"
	"strings"
)

// historySize is the number of previous views that are kept as bases for deltas. Views
// usually change at most every half second, and a peer that requests a delta is a few views
// behind; one that is further behind gets the full state. A view of a thousand upstreams
// takes 0.2 MB.
const historySize = 12

// Delta is the difference between two views, which are identified by their hashes.
type Delta struct {
	Base        uint64     // hash of the view that the delta applies to
	Hash        uint64     // hash of the resulting view
	Upstreams   []Upstream // added or changed
	Gone        []string   // ids of removed upstreams
	Entries     []Entry    // added or changed fronts
	GoneEntries []string   // nodes of removed fronts
}

// DeltaSince returns the delta from the view with that hash to the current one, and
// false if that view is not in the history.
func (f *Fleet) DeltaSince(hash uint64) (d Delta, ok bool) {
	f.mu.Lock()
	i := slices.IndexFunc(f.history, func(v *View) bool { return v.Hash == hash })
	var old *View
	if i >= 0 {
		old = f.history[i]
	}
	f.mu.Unlock()
	if old == nil {
		return d, false
	}
	v := f.View()
	d.Base, d.Hash = hash, v.Hash
	d.Upstreams, d.Gone = diff(old.Upstreams, v.Upstreams, func(u Upstream) string { return u.ID }, sameUpstream)
	d.Entries, d.GoneEntries = diff(old.Entries, v.Entries, func(e Entry) string { return e.Node }, func(a, b Entry) bool { return a == b })
	return d, true
}

// Apply returns the snapshot that results from applying the delta to v, without its
// revision, and false if the base of the delta is not v.
func (v *View) Apply(d Delta) (r Snapshot, ok bool) {
	if d.Base != v.Hash {
		return r, false
	}
	r.Table = v.Table
	r.Upstreams = merge(v.Upstreams, d.Upstreams, d.Gone, func(u Upstream) string { return u.ID })
	r.Entries = merge(v.Entries, d.Entries, d.GoneEntries, func(e Entry) string { return e.Node })
	return r, true
}

// addHistory appends a view that has been replaced; f.mu is held.
func (f *Fleet) addHistory(v *View) {
	if v.Hash == 0 {
		return
	}
	f.history = slices.DeleteFunc(f.history, func(old *View) bool { return old.Hash == v.Hash })
	f.history = append(f.history, v)
	if len(f.history) > historySize {
		f.history = slices.Delete(f.history, 0, 1)
	}
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
