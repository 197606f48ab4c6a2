package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/slaterock/slaterock/internal/conf/route"
)

// The states of an upstream in a Change. A missing upstream has no entry in the store,
// but the entry may have expired during an outage of the store.
const (
	stateReady   = "ready"
	stateLeaving = "leaving"
	stateMissing = "missing"
	stateGone    = "gone"
)

// View is the state of the system as known at one moment. It is immutable.
//
// The upstreams that the store listed and those retained by this daemon are kept apart.
// That an upstream is alive although its entry is missing is an assumption of one daemon;
// if it were passed on, others would send requests to an upstream that left. So only
// listed upstreams are sent to peers and hashed: daemons at the same revision have the
// same hash.
type View struct {
	Revision       uint64                // latest known revision of the store
	Confirmed      time.Time             // latest time at which the store is known to have held this state
	Read           Read                  // by which it was known to; unknown if a peer did not tell
	AvailableSince time.Time             // start of the interval without a gap in which some daemon reached the store
	Table          *route.Table          // nil while there is none
	Services       map[string][]Upstream // listed and retained upstreams, by service
	Upstreams      []Upstream            // as listed in the store, sorted by id
	Retained       []Upstream            // kept although the store does not list them, sorted by id
	Entries        []Entry               // fronts as listed in the store, sorted by node
	Hash           uint64                // of the listed content
}

// AvailableFor is how long the store was available without a gap, up to Confirmed.
func (v *View) AvailableFor() time.Duration { return max(v.Confirmed.Sub(v.AvailableSince), 0) }

// Missing reports whether an upstream is retained although the store doesn't list it.
func (v *View) Missing(id string) bool {
	_, missing := find(v.Retained, id)
	return missing
}

// replace sets the content of the view. With retain, upstreams that are no longer listed
// are kept as by setUpstreams.
func (v *View) replace(s Snapshot, retain bool) (changes []Change) {
	if s.Table != nil && (v.Table == nil || s.Table.Version > v.Table.Version) {
		v.Table = s.Table
		changes = append(changes, Change{Kind: "config"})
	}
	changes = append(changes, v.setUpstreams(s.Upstreams, retain)...)
	v.Entries = slices.Clone(s.Entries)
	slices.SortFunc(v.Entries, func(a, b Entry) int { return cmp.Compare(a.Node, b.Node) })
	v.Hash = v.hash()
	return changes
}

// setUpstreams replaces the listed upstreams. With retain, upstreams that are no longer
// listed are kept, except those that were leaving.
func (v *View) setUpstreams(listed []Upstream, retain bool) []Change {
	old := *v
	v.Upstreams, v.Retained = sorted(listed), nil
	for _, u := range old.All() {
		if _, found := find(v.Upstreams, u.ID); !found && retain && !u.Leaving {
			v.Retained = append(v.Retained, u)
		}
	}
	v.Services = map[string][]Upstream{}
	for _, u := range v.All() {
		v.Services[u.Service] = append(v.Services[u.Service], u)
	}
	return old.differences(v)
}

// All returns the listed and the retained upstreams, sorted by id.
func (v *View) All() []Upstream { return sorted(slices.Concat(v.Upstreams, v.Retained)) }

// differences returns the changes of upstreams between two views.
func (v *View) differences(next *View) (changes []Change) {
	for _, u := range next.Upstreams {
		old, listed := find(v.Upstreams, u.ID)
		restarted := listed && (old.Born != u.Born || old.Address != u.Address)
		if from := v.state(u.ID); restarted || from != u.state() {
			changes = append(changes, Change{Kind: "upstream", ID: u.ID, From: from, To: u.state()})
		}
	}
	for _, u := range v.All() {
		from, to := v.state(u.ID), next.state(u.ID)
		if to == "" {
			to = stateGone
		}
		if _, listed := find(next.Upstreams, u.ID); !listed && from != to {
			changes = append(changes, Change{Kind: "upstream", ID: u.ID, From: from, To: to})
		}
	}
	return changes
}

// state returns an upstream's state, empty for an unknown one.
func (v *View) state(id string) string {
	if u, listed := find(v.Upstreams, id); listed {
		return u.state()
	}
	if v.Missing(id) {
		return stateMissing
	}
	return ""
}

func (u Upstream) state() string {
	if u.Leaving {
		return stateLeaving
	}
	return stateReady
}

// hash returns a hash that is equal for daemons with the same listed content. Fields
// that change with every report of an upstream and don't affect decisions are left out.
func (v *View) hash() uint64 {
	type known struct {
		Version   int64
		Upstreams []Upstream
		Entries   []Entry
	}
	k := known{Entries: v.Entries, Upstreams: slices.Clone(v.Upstreams)}
	if v.Table != nil {
		k.Version = v.Table.Version
	}
	for i := range k.Upstreams {
		k.Upstreams[i].Serial, k.Upstreams[i].Cold = 0, 0
	}
	data, err := cbor.Marshal(k)
	if err != nil {
		return 0 // never kept as the base of a delta, so peers get the full state
	}
	return xxhash.Sum64(data)
}

// sorted returns a copy of the upstreams, sorted by id.
func sorted(list []Upstream) []Upstream {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// find looks up an upstream by id in a list that is sorted by id.
func find(list []Upstream, id string) (Upstream, bool) {
	i, found := slices.BinarySearchFunc(list, id, func(u Upstream, id string) int { return cmp.Compare(u.ID, id) })
	if !found {
		return Upstream{}, false
	}
	return list[i], true
}
