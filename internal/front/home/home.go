// Package home maps requests to the few upstreams at which each may run as long as nobody can tell
// where it ran before.
//
// A request that makes upstreams crash comes back to other fronts, which do not know of it: plain calls
// ask for no records before they run, and records may be away. Fronts that map a request to the same
// upstreams, by its key alone, bound the number of those that it reaches without asking each other. An
// upstream that has left keeps its place for a while; otherwise the next one would take the place while
// the request still comes back.
package home

import (
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/slaterock/slaterock/internal/front/ended"
	"github.com/slaterock/slaterock/internal/front/failed"
	"github.com/slaterock/slaterock/internal/front/fleet"
)

// placeSpan is how long an upstream that has left keeps its place: longer than a caller comes back.
const placeSpan = failed.Span + 5*time.Second

type (
	// Table holds the upstreams of each service, and those that left within placeSpan. The zero value
	// is empty. It is safe for concurrent use.
	Table struct {
		mu       sync.Mutex
		services map[string]*places
		began    time.Time            // of the first view; zero if there is none
		changed  map[string]time.Time // when upstreams came, left or started again since, by id; within placeSpan
	}

	// Places are the upstreams to which a request is mapped.
	Places struct {
		IDs     []string // those that are listed
		Left    int      // places of upstreams that have left
		Changed bool     // one may have left, come or started again within placeSpan
		All     bool     // the service has no others
	}

	// places are those of one service.
	places struct {
		of     *fleet.Service // that listed stems from
		listed []place
		left   []place
	}

	place struct {
		id   string
		hash uint64    // of the id
		at   time.Time // when the upstream left; zero if it is listed
	}

	// ranking holds the places with the highest scores, the highest first.
	ranking [ended.MaxUpstreams]ranked

	ranked struct {
		*place
		score uint64
	}
)

// Update takes over which upstreams changed from one view to the next.
func (t *Table) Update(now time.Time, before, after *fleet.View, changed []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.began.IsZero() {
		t.began, t.changed = now, map[string]time.Time{}
		return // all have come
	}
	maps.DeleteFunc(t.changed, func(_ string, at time.Time) bool { return now.Sub(at) > placeSpan })
	for _, id := range changed {
		old, known := before.Find(id)
		u, listed := after.Find(id)
		if known && listed && u.Born == old.Born {
			continue
		}
		t.changed[id] = now
		if known && !listed {
			t.of(now, old.Service).leave(now, id)
		}
	}
}

// Of returns the upstreams of a service to which the request with the key is mapped: those with the
// highest hashes of key and id (rendezvous hashing), so that a change of the list moves few requests.
func (t *Table) Of(now time.Time, name string, s *fleet.Service, key uint64) (p Places) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ps := t.of(now, name)
	ps.list(now, s)
	var best ranking
	for _, list := range [][]place{ps.listed, ps.left} {
		for i := range list {
			best.add(ranked{&list[i], score(list[i].hash, key)})
		}
	}
	p.All = len(ps.listed)+len(ps.left) <= len(best)
	p.Changed = now.Sub(t.began) <= placeSpan
	for _, b := range best {
		if b.place == nil {
			break
		}
		if b.at.IsZero() {
			p.IDs = append(p.IDs, b.id)
		} else {
			p.Left++
		}
		at, changed := t.changed[b.id]
		p.Changed = p.Changed || changed && now.Sub(at) <= placeSpan
	}
	return p
}

// of returns the places of a service, without those that were left long ago.
func (t *Table) of(now time.Time, service string) *places {
	if t.services == nil {
		t.services = map[string]*places{}
	}
	ps := t.services[service]
	if ps == nil {
		ps = &places{}
		t.services[service] = ps
	}
	ps.left = slices.DeleteFunc(ps.left, func(p place) bool { return now.Sub(p.at) > placeSpan })
	return ps
}

// list takes over the listed upstreams. Those that are missing have left, of which Update may tell a
// moment later.
func (ps *places) list(now time.Time, s *fleet.Service) {
	if ps.of == s {
		return
	}
	for _, p := range ps.listed {
		if _, listed := s.Find(p.id); !listed {
			ps.leave(now, p.id)
		}
	}
	ps.of, ps.listed = s, make([]place, 0, s.Len())
	for i := range s.Len() {
		id := s.At(i).ID
		ps.listed = append(ps.listed, place{id: id, hash: xxhash.Sum64String(id)})
	}
	ps.left = slices.DeleteFunc(ps.left, func(p place) bool {
		_, back := s.Find(p.id)
		return back
	})
}

// leave keeps the place of an upstream that has left.
func (ps *places) leave(now time.Time, id string) {
	if slices.ContainsFunc(ps.left, func(p place) bool { return p.id == id }) {
		return
	}
	ps.left = append(ps.left, place{id: id, hash: xxhash.Sum64String(id), at: now})
}

// add takes a place into the ranking if its score is among the highest.
func (r *ranking) add(p ranked) {
	for i := range r {
		if r[i].place == nil || p.score > r[i].score {
			r[i], p = p, r[i]
		}
		if p.place == nil {
			return
		}
	}
}

// score returns the rendezvous hash of an upstream and a key.
func score(upstream, key uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], upstream)
	binary.LittleEndian.PutUint64(b[8:], key)
	return xxhash.Sum64(b[:])
}
