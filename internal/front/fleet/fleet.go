// Package fleet is what one daemon knows of the system: the configuration in
// force, the upstreams, and the daemons that take callers.
//
// News comes from reads that may be seconds old and may overtake each other, so
// nothing is taken from a revision older than the one known: what has been seen
// never reverts. While the store is away the last knowledge stays in force.
package fleet

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/slaterock/slaterock/internal/conf/route"
)

// ReturnGrace is how long an upstream whose entry is missing is kept after the
// store has come back. Entries that lapsed in an outage are written again within
// about two seconds by upstreams that live; dropping all of them at once would
// leave callers without any upstream after each outage.
const ReturnGrace = 2300 * time.Millisecond

type (
	// Fleet gathers news. The zero value knows nothing.
	Fleet struct {
		mu        sync.Mutex
		view      atomic.Pointer[View]
		upstreams map[string]Upstream
		upRev     uint64
		entryRev  uint64
		down      bool
		returned  time.Time // when the store came back last
		heard     time.Time // last list of upstreams
	}

	// View is what is known at one moment. It is immutable.
	View struct {
		Table    *route.Table // nil while none is known
		Services map[string][]Upstream
		Entries  []Entry
		Heard    time.Time // when the upstreams were last listed
	}

	// Change is what news changed, for the log.
	Change struct {
		What string // config, upstream, outage, regained
		ID   string
		From string
		To   string
	}
)

// View returns what is known now.
func (f *Fleet) View() *View {
	if v := f.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// Take learns the news and returns what it changed.
func (f *Fleet) Take(now time.Time, n News) (changes []Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := *f.View()
	switch n := n.(type) {
	case Config:
		if v.Table != nil && n.Table.Version <= v.Table.Version {
			return nil
		}
		v.Table = n.Table
		changes = append(changes, Change{What: "config"})
	case Upstreams:
		changes = f.list(now, n)
		v.Services = f.services()
		v.Heard = f.heard
	case Entries:
		if n.Revision < f.entryRev {
			return nil
		}
		f.entryRev = n.Revision
		v.Entries = n.List
	case Outage:
		if !f.down {
			f.down = true
			changes = append(changes, Change{What: "outage"})
		}
	}
	f.view.Store(&v)
	return changes
}

func (f *Fleet) list(now time.Time, n Upstreams) (changes []Change) {
	if f.down {
		f.down = false
		f.returned = now
		changes = append(changes, Change{What: "regained"})
	}
	if n.Revision < f.upRev {
		return changes
	}
	f.upRev = n.Revision
	f.heard = now
	next := make(map[string]Upstream, len(n.List))
	for _, u := range n.List {
		old, known := f.upstreams[u.ID]
		switch {
		case !known:
			changes = append(changes, Change{What: "upstream", ID: u.ID, To: u.state()})
		case old.Born != u.Born || old.Leaving != u.Leaving || old.Address != u.Address:
			changes = append(changes, Change{What: "upstream", ID: u.ID, From: old.state(), To: u.state()})
		}
		next[u.ID] = u
	}
	returning := !f.returned.IsZero() && now.Sub(f.returned) < ReturnGrace
	for id, u := range f.upstreams {
		if _, listed := next[id]; listed {
			continue
		}
		if returning && !u.Leaving {
			next[id] = u
			continue
		}
		changes = append(changes, Change{What: "upstream", ID: id, From: u.state(), To: "gone"})
	}
	f.upstreams = next
	return changes
}

func (f *Fleet) services() map[string][]Upstream {
	out := map[string][]Upstream{}
	for _, u := range f.upstreams {
		out[u.Service] = append(out[u.Service], u)
	}
	for _, list := range out {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	return out
}

func (u Upstream) state() string {
	if u.Leaving {
		return "leaving"
	}
	return "ready"
}
