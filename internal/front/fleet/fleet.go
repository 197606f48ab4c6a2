// Package fleet is what one daemon knows of the system: the configuration in
// force, the upstreams, and the daemons that take callers.
//
// Knowledge is read from the store by whichever daemon's is the oldest, and told
// to the others. It may arrive twice or out of order, so nothing is taken from a
// revision older than the one known: what has been seen never reverts. While the
// store is away the last knowledge stays in force.
package fleet

import (
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/slaterock/slaterock/internal/conf/route"
)

// ReturnGrace is how long an upstream whose entry is missing is kept after the
// store has come back. Entries that lapsed in an outage are written again within
// about two seconds by upstreams that live; dropping all of them at once would
// leave callers without any upstream after each outage.
const ReturnGrace = 2300 * time.Millisecond

// gap is the time without news of the store that counts as an outage, although
// this daemon may not have asked it meanwhile. Entries lapse after three reports
// that did not come, 3.6 s and more; while all is well news is half a second old.
const gap = 2 * time.Second

type (
	// Fleet gathers news. The zero value knows nothing.
	Fleet struct {
		mu        sync.Mutex
		view      atomic.Pointer[View]
		upstreams map[string]Upstream
		past      []*View // former states, the newest last
		down      bool
		slept     bool      // and has heard nothing since
		returned  time.Time // when the store came back last
	}

	// View is what is known at one moment. It is immutable.
	View struct {
		Revision  uint64       // of the store, at the last reading
		Confirmed time.Time    // when that reading was made, as far as is known
		Table     *route.Table // nil while none is known
		Services  map[string][]Upstream
		Upstreams []Upstream // by id
		Lapsed    []Upstream // by id: those kept although the store doesn't list them
		Entries   []Entry    // by node
		Hash      uint64     // of what matters of all this
	}

	// Change is what news changed, for the log.
	Change struct {
		What string // config, upstream, outage, regained, return
		ID   string
		From string // its former state; of a return, for how long there was no news
		To   string
	}
)

// stateMissing is an upstream's state in a Change while it is kept without an entry.
const stateMissing = "missing"

// View returns what is known now.
func (f *Fleet) View() *View {
	if v := f.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// Missing tells whether an upstream is kept although the store doesn't list it.
func (v *View) Missing(id string) bool {
	return slices.ContainsFunc(v.Lapsed, func(u Upstream) bool { return u.ID == id })
}

// Take learns the news and returns what it changed.
func (f *Fleet) Take(now time.Time, n News) (changes []Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := *f.View()
	switch n := n.(type) {
	case Outage:
		if !f.down {
			f.down = true
			changes = append(changes, Change{What: "outage"})
		}
		return changes
	case Slept:
		f.slept = true
		v.Confirmed = v.Confirmed.Add(-n.For)
	case Confirmed:
		if n.Revision < v.Revision {
			return nil
		}
		changes = f.confirm(&v, n.Revision, now, n.Age, true)
	case Told:
		if n.Revision < v.Revision {
			return nil
		}
		changes = f.confirm(&v, n.Revision, now, n.Age, true)
		changes = append(changes, f.take(&v, n.Reading, false)...)
	case Reading:
		changes = f.regain()
		if n.Revision < v.Revision {
			return changes
		}
		changes = append(changes, f.confirm(&v, n.Revision, now, 0, false)...)
		returning := !f.returned.IsZero() && now.Sub(f.returned) < ReturnGrace
		changes = append(changes, f.take(&v, n, returning)...)
	}
	if old := f.View(); old.Hash != v.Hash {
		f.keep(old)
	}
	f.view.Store(&v)
	return changes
}

// confirm takes a state for the store's, as it was that long ago.
func (f *Fleet) confirm(v *View, revision uint64, now time.Time, age time.Duration, told bool) (changes []Change) {
	at := now.Add(-age)
	changes = f.mind(now, at, v.Confirmed, told)
	v.Revision = revision
	if at.After(v.Confirmed) {
		v.Confirmed = at
	}
	return changes
}

// mind notes the end of an outage: nobody had news of the store for some time. Of
// hundreds only the first few ask the store while it is away; one further back that
// reads when it is there again would take the first short list for the truth, and
// tell all others.
//
// A daemon that slept had no news either. If it then hears from others, the store was
// there for them, so entries that are missing are of upstreams that left.
func (f *Fleet) mind(now, confirmed, last time.Time, told bool) []Change {
	slept := f.slept
	f.slept = false
	away := confirmed.Sub(last)
	if told && slept || last.IsZero() || away <= gap {
		return nil
	}
	f.returned = now
	return []Change{{What: "return", From: away.String()}}
}

// regain notes that this daemon reaches the store again. Whether the store was away for
// others, too, mind tells: it may have turned this one away and served the rest.
func (f *Fleet) regain() []Change {
	if !f.down {
		return nil
	}
	f.down = false
	return []Change{{What: "regained"}}
}

// take replaces what is known. Keep has upstreams stay that are not listed.
func (f *Fleet) take(v *View, n Reading, keep bool) (changes []Change) {
	if n.Table != nil && (v.Table == nil || n.Table.Version > v.Table.Version) {
		v.Table = n.Table
		changes = append(changes, Change{What: "config"})
	}
	changes = append(changes, f.list(v, n.Upstreams, keep)...)
	v.Entries = append([]Entry(nil), n.Entries...)
	sort.Slice(v.Entries, func(i, j int) bool { return v.Entries[i].Node < v.Entries[j].Node })
	v.Services = map[string][]Upstream{}
	v.Upstreams = nil
	for _, u := range f.upstreams {
		v.Upstreams = append(v.Upstreams, u)
	}
	sort.Slice(v.Upstreams, func(i, j int) bool { return v.Upstreams[i].ID < v.Upstreams[j].ID })
	for _, u := range v.Upstreams {
		v.Services[u.Service] = append(v.Services[u.Service], u)
	}
	v.Hash = v.hash()
	return changes
}

func (f *Fleet) list(v *View, list []Upstream, keep bool) (changes []Change) {
	next := make(map[string]Upstream, len(list))
	was := *v
	v.Lapsed = nil
	for _, u := range list {
		old, known := f.upstreams[u.ID]
		switch {
		case !known:
			changes = append(changes, Change{What: "upstream", ID: u.ID, To: u.state()})
		case was.Missing(u.ID):
			changes = append(changes, Change{What: "upstream", ID: u.ID, From: stateMissing, To: u.state()})
		case old.Born != u.Born || old.Leaving != u.Leaving || old.Address != u.Address:
			changes = append(changes, Change{What: "upstream", ID: u.ID, From: old.state(), To: u.state()})
		}
		next[u.ID] = u
	}
	for _, u := range was.Upstreams {
		if _, listed := next[u.ID]; listed {
			continue
		}
		from := u.state()
		if was.Missing(u.ID) {
			from = stateMissing
		}
		if keep && !u.Leaving {
			next[u.ID] = u
			v.Lapsed = append(v.Lapsed, u)
			if from != stateMissing {
				changes = append(changes, Change{What: "upstream", ID: u.ID, From: from, To: stateMissing})
			}
			continue
		}
		changes = append(changes, Change{What: "upstream", ID: u.ID, From: from, To: "gone"})
	}
	f.upstreams = next
	return changes
}

// hash tells whether two daemons know the same. What changes with every report of
// an upstream and decides nothing is left out.
func (v *View) hash() uint64 {
	type known struct {
		Version   int64
		Upstreams []Upstream
		Entries   []Entry
	}
	k := known{Entries: v.Entries, Upstreams: append([]Upstream(nil), v.Upstreams...)}
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

func (u Upstream) state() string {
	if u.Leaving {
		return "leaving"
	}
	return "ready"
}
