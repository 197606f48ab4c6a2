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
	}

	// Places are the upstreams to which a request is mapped.
	Places struct {
		IDs  []string // those that are listed
		Left int      // places of upstreams that have left
		All  bool     // the service has no others
	}

	places struct {
		of   *fleet.Service // as of the last look
		list []place
	}

	// ranking holds the places with the highest scores, the highest first.
	ranking [ended.MaxUpstreams]ranked

	ranked struct {
		*place
		score uint64
	}

	place struct {
		id   string
		hash uint64    // of the start of the upstream
		left time.Time // when it was found to have left; zero if it is listed
	}
)

// Of returns the upstreams of a service to which the request with the key is mapped: those with the
// highest hashes of key and start (rendezvous hashing), so that a change of the list moves few requests.
func (t *Table) Of(now time.Time, name string, s *fleet.Service, key uint64) (p Places) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.update(now, name, s)
	if len(list) <= ended.MaxUpstreams {
		p.All = true
	}
	var best ranking
	for i := range list {
		best.add(ranked{&list[i], score(list[i].hash, key)})
	}
	for _, b := range best {
		switch {
		case b.place == nil:
		case b.left.IsZero():
			p.IDs = append(p.IDs, b.id)
		default:
			p.Left++
		}
	}
	return p
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

// Update keeps the places of those of the changed upstreams that have left, or have started again, from
// one view to the next.
func (t *Table) Update(now time.Time, before, after *fleet.View, changed []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range changed {
		old, known := before.Find(id)
		if u, listed := after.Find(id); known && (!listed || u.Born != old.Born) {
			t.keep(now, old)
		}
	}
}

func (t *Table) keep(now time.Time, u *fleet.Upstream) {
	ps := t.of(u.Service)
	ps.expire(now)
	h := hash(u)
	if i := slices.IndexFunc(ps.list, func(p place) bool { return p.hash == h }); i >= 0 {
		ps.list[i].leave(now)
		return
	}
	ps.list = append(ps.list, place{id: u.ID, hash: h, left: now})
}

func (t *Table) of(service string) *places {
	if t.services == nil {
		t.services = map[string]*places{}
	}
	ps := t.services[service]
	if ps == nil {
		ps = &places{}
		t.services[service] = ps
	}
	return ps
}

// update returns the places of a service, as of the view that s stems from.
func (t *Table) update(now time.Time, name string, s *fleet.Service) []place {
	ps := t.of(name)
	if ps.of != s {
		ps.replace(now, s)
	}
	ps.expire(now)
	return ps.list
}

func (ps *places) expire(now time.Time) {
	ps.list = slices.DeleteFunc(ps.list, func(p place) bool { return !p.left.IsZero() && now.Sub(p.left) > placeSpan })
}

// leave notes that the upstream has left, unless that is known.
func (p *place) leave(now time.Time) {
	if p.left.IsZero() {
		p.left = now
	}
}

// replace takes over a changed list of upstreams.
func (ps *places) replace(now time.Time, s *fleet.Service) {
	listed := make(map[uint64]bool, s.Len())
	next := make([]place, 0, s.Len())
	for i := range s.Len() {
		u := s.At(i)
		h := hash(u)
		listed[h] = true
		next = append(next, place{id: u.ID, hash: h})
	}
	for _, p := range ps.list {
		if listed[p.hash] {
			continue
		}
		p.leave(now)
		next = append(next, p)
	}
	ps.of, ps.list = s, next
}

// hash returns the hash of one start of an upstream.
func hash(u *fleet.Upstream) uint64 {
	var b [64]byte
	return xxhash.Sum64(append(binary.LittleEndian.AppendUint64(b[:0], uint64(u.Born)), u.ID...))
}

// score returns the rendezvous hash of a start and a key.
func score(start, key uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], start)
	binary.LittleEndian.PutUint64(b[8:], key)
	return xxhash.Sum64(b[:])
}
