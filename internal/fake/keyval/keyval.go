// Package keyval is a fake of the platform's key-value service, held in memory,
// with faults that can be switched on.
//
// A Store is the service itself. Each client accesses it through its own View,
// whose faults affect this client only: calls fail, are delayed, hang, or lose the
// acknowledgement of a write that took effect. All state changes happen inside
// the calls, on the caller's goroutine, so that a test with a fixed order of calls
// is deterministic. The clock is time.Now unless Now is set; a test that sets Now
// calls Expire after it advanced its clock.
package keyval

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/slaterock/slaterock/internal/plat/store"
)

type (
	// Store is the service. The zero value is empty and ready for use.
	Store struct {
		Now func() time.Time // clock; nil means time.Now

		mu        sync.Mutex
		rev       store.Rev
		lastLease store.Lease
		entries   map[string]record
		leases    map[store.Lease]lease
		watchers  map[string]chan struct{}
		views     map[string]*View
		counts    Counts
	}

	// Counts is the number of calls that reached the service, by class.
	Counts struct {
		Reads   int // Get and List
		Writes  int // Put, Delete, Grant, Renew and Revoke
		Watches int
	}

	record struct {
		data  []byte
		rev   store.Rev
		lease store.Lease
	}

	lease struct {
		ttl time.Duration
		end time.Time
	}
)

// Counts returns the number of calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Client returns the view of the named client and creates it on first use.
func (s *Store) Client(name string) *View {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.views == nil {
		s.views = map[string]*View{}
	}
	v, ok := s.views[name]
	if !ok {
		v = &View{store: s}
		s.views[name] = v
	}
	return v
}

// Get implements store.Store.
func (s *Store) Get(_ context.Context, key string) (store.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	s.expire()
	return s.get(key)
}

// Put implements store.Store.
func (s *Store) Put(_ context.Context, key string, data []byte, rev store.Rev, l store.Lease) (store.Rev, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	s.expire()
	if len(data) > store.MaxValue {
		return 0, store.ErrTooLarge
	}
	if current := s.entries[key].rev; current != rev {
		return 0, &store.ConflictError{Key: key, Rev: current}
	}
	if _, ok := s.leases[l]; l != 0 && !ok {
		return 0, store.ErrLeaseExpired
	}
	if s.entries == nil {
		s.entries = map[string]record{}
	}
	s.rev++
	s.entries[key] = record{data: slices.Clone(data), rev: s.rev, lease: l}
	s.notifyWatchers(key)
	return s.rev, nil
}

// Delete implements store.Store.
func (s *Store) Delete(_ context.Context, key string, rev store.Rev) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	s.expire()
	r, ok := s.entries[key]
	if !ok {
		return store.ErrNotFound
	}
	if r.rev != rev {
		return &store.ConflictError{Key: key, Rev: r.rev}
	}
	s.remove(key)
	return nil
}

// List implements store.Store. A limit of zero or less means no limit.
func (s *Store) List(_ context.Context, prefix, after string, limit int) ([]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	s.expire()
	keys := []string{}
	for k := range s.entries {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	if limit > 0 && len(keys) > limit {
		keys = keys[:limit]
	}
	return keys, nil
}

// Watch implements store.Store. A watch for an absent key with rev 0 waits for
// its creation.
func (s *Store) Watch(ctx context.Context, key string, rev store.Rev) (store.Entry, error) {
	return s.watch(ctx, key, rev, nil)
}

// Grant implements store.Store.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (store.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	if s.leases == nil {
		s.leases = map[store.Lease]lease{}
	}
	s.lastLease++
	s.leases[s.lastLease] = lease{ttl: ttl, end: s.now().Add(ttl)}
	return s.lastLease, nil
}

// Renew implements store.Store.
func (s *Store) Renew(_ context.Context, l store.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	s.expire()
	v, ok := s.leases[l]
	if !ok {
		return store.ErrLeaseExpired
	}
	v.end = s.now().Add(v.ttl)
	s.leases[l] = v
	return nil
}

// Revoke implements store.Store.
func (s *Store) Revoke(_ context.Context, l store.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	s.expire()
	if _, ok := s.leases[l]; !ok {
		return store.ErrLeaseExpired
	}
	s.end(l)
	return nil
}

// Expire ends expired leases, deletes their keys and wakes the watches of these
// keys. Most calls do this first; only a test that sets Now and advances its clock
// while watches wait needs to call it.
func (s *Store) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
}

func (s *Store) now() time.Time {
	if s.Now == nil {
		return time.Now()
	}
	return s.Now()
}

func (s *Store) get(key string) (store.Entry, error) {
	r, ok := s.entries[key]
	if !ok {
		return store.Entry{}, store.ErrNotFound
	}
	return store.Entry{Key: key, Data: slices.Clone(r.data), Rev: r.rev}, nil
}

func (s *Store) expire() {
	now := s.now()
	for l, v := range s.leases {
		if !now.Before(v.end) {
			s.end(l)
		}
	}
}

func (s *Store) end(l store.Lease) {
	delete(s.leases, l)
	for k, r := range s.entries {
		if r.lease == l {
			s.remove(k)
		}
	}
}

func (s *Store) remove(key string) {
	s.rev++
	delete(s.entries, key)
	s.notifyWatchers(key)
}

func (s *Store) notifyWatchers(key string) {
	if c, ok := s.watchers[key]; ok {
		close(c)
		delete(s.watchers, key)
	}
}
