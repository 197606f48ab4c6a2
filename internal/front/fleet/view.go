package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/slaterock/slaterock/internal/conf/route"
)

// The states of an upstream in a Change. One that is missing has no entry in the store,
// but may have lost it while the store was away.
const (
	stateReady   = "ready"
	stateLeaving = "leaving"
	stateMissing = "missing"
	stateGone    = "gone"
)

// View is what is known at one moment. It is immutable.
//
// What the store listed and what this daemon makes of it are kept apart. That an upstream
// lives although its entry is missing is the guess of one daemon; others that took it for
// knowledge would send requests to an upstream that left. So only what was listed is told
// to them, and hashed: daemons that know the same revision are in the same state.
type View struct {
	Revision       uint64       // of the store, at the last reading
	Confirmed      time.Time    // when that reading was made, as far as is known
	AvailableSince time.Time    // somebody has had news of the store without a gap since then
	Table          *route.Table // nil while none is known
	Services       map[string][]Upstream
	Upstreams      []Upstream // by id, as the store listed them
	Retained       []Upstream // by id: kept although the store does not list them
	Entries        []Entry    // by node
	Hash           uint64     // of what matters of all that was listed
}

// Steady is for how long there was news without a gap, up to when this was confirmed.
func (v *View) AvailableFor() time.Duration { return max(v.Confirmed.Sub(v.AvailableSince), 0) }

// Missing tells whether an upstream is kept although the store doesn't list it.
func (v *View) Missing(id string) bool {
	_, missing := find(v.Retained, id)
	return missing
}

// take replaces what is known. Keep has upstreams stay that are not listed.
func (v *View) replace(n Snapshot, retain bool) (changes []Change) {
	if n.Table != nil && (v.Table == nil || n.Table.Version > v.Table.Version) {
		v.Table = n.Table
		changes = append(changes, Change{Kind: "config"})
	}
	changes = append(changes, v.setUpstreams(n.Upstreams, retain)...)
	v.Entries = slices.Clone(n.Entries)
	slices.SortFunc(v.Entries, func(a, b Entry) int { return cmp.Compare(a.Node, b.Node) })
	v.Hash = v.hash()
	return changes
}

// list replaces the upstreams by those that the store lists. Keep has others stay, but
// for those that had said that they leave.
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

// All returns the upstreams that requests may be sent to, by id.
func (v *View) All() []Upstream { return sorted(slices.Concat(v.Upstreams, v.Retained)) }

// differences returns what became of the upstreams between two views.
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

// state returns an upstream's state, empty for one that is not known.
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

// hash tells whether two daemons know the same. What changes with every report of
// an upstream and decides nothing is left out.
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
		return 0 // never equals another's, so that the whole is asked for
	}
	return xxhash.Sum64(data)
}

// sorted returns the upstreams by id.
func sorted(list []Upstream) []Upstream {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// find looks an upstream up in a list by id.
func find(list []Upstream, id string) (Upstream, bool) {
	i, found := slices.BinarySearchFunc(list, id, func(u Upstream, id string) int { return cmp.Compare(u.ID, id) })
	if !found {
		return Upstream{}, false
	}
	return list[i], true
}
