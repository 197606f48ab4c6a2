package fleet

import (
	"slices"
	"strings"
)

// recent is how many former states are kept to tell differences from. All daemons
// go through the same states, half a second apart at the least, so one that asks
// is a few states behind. A thousand upstreams take 0.2 MB a state.
const historySize = 12

// Delta is what differs between two states of knowledge. Hashes name the states.
type Delta struct {
	Base        uint64 // the state that it starts from
	Hash        uint64 // the state that it leads to
	Upstreams   []Upstream
	Gone        []string // ids of upstreams
	Entries     []Entry
	GoneEntries []string // nodes
}

// Since returns what has changed since the state with that hash, and false if
// that state is not known here.
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

// Apply returns the reading that the delta leads to, and false if it starts from
// another state than v.
func (v *View) Apply(d Delta) (r Snapshot, ok bool) {
	if d.Base != v.Hash {
		return r, false
	}
	r.Table = v.Table
	r.Upstreams = merge(v.Upstreams, d.Upstreams, d.Gone, func(u Upstream) string { return u.ID })
	r.Entries = merge(v.Entries, d.Entries, d.GoneEntries, func(e Entry) string { return e.Node })
	return r, true
}

// keep remembers a state that has become old; f.mu is held.
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

// sameUpstream leaves out what changes with every report and decides nothing.
func sameUpstream(a, b Upstream) bool {
	a.Serial, a.Cold = b.Serial, b.Cold
	return a == b
}

// differ compares two lists in the order of their keys.
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
