package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/tidwall/btree"

	"github.com/slaterock/slaterock/internal/conf/route"
	"github.com/slaterock/slaterock/internal/front/mesh"
)

// The states of an upstream in a Change. A missing upstream has no entry in the store,
// but the entry may have expired during an outage of the store.
const (
	stateReady   = "ready"
	stateLeaving = "leaving"
	stateMissing = "missing"
	stateGone    = "gone"
)

// View is the state of the system as known at one moment. It is immutable, and views that
// differ in a few upstreams share the rest of their memory.
//
// The upstreams that the store listed and those retained by this daemon are kept apart.
// That an upstream is alive although its entry is missing is an assumption of one daemon;
// if it were passed on, others would send requests to an upstream that left. So only
// listed upstreams are sent to peers and hashed: daemons at the same revision have the
// same hash.
type View struct {
	Revision  uint64    // latest known revision of the store
	Confirmed time.Time // latest time at which the store is known to have held this state
	Read      Read      // by which it was known to; unknown if a peer did not tell
	// Settled is the latest such time at which entries were as new as their upstreams: Confirmed, but not
	// within RecoveryGrace after an outage, in which upstreams that have started again may not be listed so.
	Settled        time.Time
	AvailableSince time.Time           // start of the interval without a gap in which some daemon reached the store
	Table          *route.Table        // nil while there is none
	Services       map[string]*Service // listed and retained upstreams, by service
	Listed         Upstreams           // as listed in the store
	Retained       Upstreams           // kept although the store does not list them
	Entries        []Entry             // fronts as listed in the store, sorted by node
	Roster         uint64              // version of the roster that the store holds
	Hash           uint64              // of the listed content
	// Restored reports that the content stems from a backup on a disk. That one also lists
	// upstreams that the store did not, so changes of the store since Revision don't complete it.
	Restored bool

	tenures    map[string]tenure              // of the services that have one software version
	entriesSum uint64                         // of the hashes of the entries, modulo 2^64
	byID       *btree.Map[mesh.ID, *Upstream] // listed and retained upstreams
}

// AvailableFor is how long the store was available without a gap, up to Confirmed.
func (v *View) AvailableFor() time.Duration { return max(v.Confirmed.Sub(v.AvailableSince), 0) }

// Missing reports whether an upstream is retained although the store doesn't list it.
func (v *View) Missing(id string) bool {
	_, missing := v.Retained.Find(id)
	return missing
}

// Find returns the listed or retained upstream with the id. It must not be changed.
func (v *View) Find(id string) (u *Upstream, found bool) {
	if u, found = v.Listed.Find(id); found {
		return u, true
	}
	return v.Retained.Find(id)
}

// FindByID returns the listed or retained upstream with the hashed id. It must not be changed.
func (v *View) FindByID(id mesh.ID) (u *Upstream, found bool) {
	if v.byID == nil {
		return nil, false
	}
	return v.byID.Get(id)
}

// All returns copies of the listed and the retained upstreams, sorted by id.
func (v *View) All() []Upstream {
	list := slices.Concat(v.Listed.List(), v.Retained.List())
	slices.SortFunc(list, byID)
	return list
}

// replace sets the content of the view. With retain, upstreams that are no longer listed
// are retained as by edit.gone.
func (v *View) replace(s Snapshot, retain bool) (changes []Change, d Delta) {
	changes = v.setTable(s.Table)
	v.Restored = s.Restored
	d.Roster = s.Roster
	d.Upstreams, d.Gone = v.difference(s.Upstreams)
	entries := slices.SortedFunc(slices.Values(s.Entries), byNode)
	d.Entries, d.GoneEntries = diff(v.Entries, entries, func(e Entry) string { return e.Node }, func(a, b Entry) bool { return a == b })
	changes = append(changes, v.change(d, retain)...)
	return changes, d
}

// difference returns the changes from the listed upstreams to the given ones.
func (v *View) difference(next []Upstream) (changed []Upstream, gone []string) {
	listed := make(map[string]bool, len(next))
	for i := range next {
		u := &next[i]
		listed[u.ID] = true
		if old, found := v.Listed.Find(u.ID); !found || !sameUpstream(*old, *u) {
			changed = append(changed, *u)
		}
	}
	for u := range v.Listed.All() {
		if !listed[u.ID] {
			gone = append(gone, u.ID)
		}
	}
	return changed, gone
}

func (v *View) setTable(t *route.Table) []Change {
	if t == nil || v.Table != nil && t.Version <= v.Table.Version {
		return nil
	}
	v.Table = t
	return []Change{{Kind: "config"}}
}

// change applies changes of upstreams and entries and sets the hash. With retain, upstreams
// that are no longer listed are retained as by edit.gone; without it, none remain retained.
func (v *View) change(d Delta, retain bool) (changes []Change) {
	e := newEdit(v)
	slices.SortFunc(d.Upstreams, byID)
	slices.Sort(d.Gone)
	for i := range d.Upstreams {
		changes = append(changes, e.put(&d.Upstreams[i])...)
	}
	for _, id := range d.Gone {
		changes = append(changes, e.gone(id, retain)...)
	}
	if !retain {
		changes = append(changes, e.dropRetained()...)
	}
	e.apply(v)
	v.changeEntries(d)
	if d.Roster != 0 {
		v.Roster = d.Roster
	}
	v.Hash = v.hash()
	return changes
}

func (v *View) changeEntries(d Delta) {
	if len(d.Entries)+len(d.GoneEntries) == 0 {
		return
	}
	v.Entries = merge(v.Entries, d.Entries, d.GoneEntries, func(e Entry) string { return e.Node })
	v.entriesSum = 0
	for i := range v.Entries {
		v.entriesSum += v.Entries[i].hash()
	}
}

// edit is a view's upstreams while they are being changed.
type edit struct {
	listed, retained upstreamsEdit
	services         map[string]*Service     // before the edit
	changed          map[string]*serviceEdit // by service
	byID             *btree.Map[mesh.ID, *Upstream]
}

func newEdit(v *View) *edit {
	return &edit{
		listed: upstreamsEdit{set: v.Listed}, retained: upstreamsEdit{set: v.Retained},
		services: v.Services, changed: map[string]*serviceEdit{}, byID: v.byID,
	}
}

// service returns the edit of a service, with which the edit of the index by hashed id begins.
func (e *edit) service(name string) *serviceEdit {
	s := e.changed[name]
	if s != nil {
		return s
	}
	if len(e.changed) == 0 {
		if e.byID == nil {
			e.byID = &btree.Map[mesh.ID, *Upstream]{}
		}
		e.byID = e.byID.Copy()
	}
	s = newServiceEdit(e.services[name])
	e.changed[name] = s
	return s
}

// add adds an upstream to its service, and remove removes it.
func (e *edit) add(u *Upstream) {
	e.service(u.Service).put(u)
	e.byID.Set(mesh.IDOf(u.ID), u)
}

func (e *edit) remove(u *Upstream) {
	e.service(u.Service).remove(u.ID)
	e.byID.Delete(mesh.IDOf(u.ID))
}

// put sets a listed upstream.
func (e *edit) put(u *Upstream) (changes []Change) {
	old, listed := e.listed.set.Find(u.ID)
	if listed && sameUpstream(*old, *u) {
		return nil
	}
	from := e.state(u.ID)
	restarted := listed && (old.Born != u.Born || old.Address != u.Address)
	if restarted || from != u.state() {
		changes = append(changes, Change{Kind: "upstream", ID: u.ID, From: from, To: u.state()})
	}
	if known, found := e.find(u.ID); found {
		e.remove(known)
	}
	e.retained.remove(u.ID)
	u = &Upstream{
		ID: u.ID, Service: intern(u.Service), Address: u.Address, Domain: intern(u.Domain), Version: intern(u.Version),
		Batch: u.Batch, Leaving: u.Leaving, Cold: u.Cold, Serial: u.Serial, Born: u.Born,
	}
	e.listed.put(u)
	e.add(u)
	return changes
}

// gone removes a listed upstream. With retain it is retained unless it was leaving.
func (e *edit) gone(id string, retain bool) []Change {
	u, listed := e.listed.set.Find(id)
	if !listed {
		return nil
	}
	e.listed.remove(id)
	if retain && !u.Leaving {
		e.retained.put(u)
		return []Change{{Kind: "upstream", ID: id, From: u.state(), To: stateMissing}}
	}
	e.remove(u)
	return []Change{{Kind: "upstream", ID: id, From: u.state(), To: stateGone}}
}

func (e *edit) dropRetained() (changes []Change) {
	for u := range e.retained.set.All() {
		e.remove(u)
		changes = append(changes, Change{Kind: "upstream", ID: u.ID, From: stateMissing, To: stateGone})
	}
	e.retained = upstreamsEdit{}
	return changes
}

// find returns a listed or retained upstream.
func (e *edit) find(id string) (u *Upstream, found bool) {
	if u, found = e.listed.set.Find(id); found {
		return u, true
	}
	return e.retained.set.Find(id)
}

// state returns an upstream's state, empty for an unknown one.
func (e *edit) state(id string) string {
	if u, listed := e.listed.set.Find(id); listed {
		return u.state()
	}
	if _, retained := e.retained.set.Find(id); retained {
		return stateMissing
	}
	return ""
}

func (e *edit) apply(v *View) {
	v.Listed, v.Retained, v.byID = e.listed.set, e.retained.set, e.byID
	if len(e.changed) == 0 {
		return
	}
	v.Services = maps.Clone(v.Services)
	if v.Services == nil {
		v.Services = map[string]*Service{}
	}
	for name, s := range e.changed {
		v.Services[name] = s.done()
	}
}

func (u *Upstream) state() string {
	if u.Leaving {
		return stateLeaving
	}
	return stateReady
}

func byID(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) }
func byNode(a, b Entry) int  { return cmp.Compare(a.Node, b.Node) }
