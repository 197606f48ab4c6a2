package keyval

import (
	"context"
	"time"

	"github.com/slaterock/slaterock/internal/plat/store"
)

// never is longer than any test or run.
const never = 100 * 365 * 24 * time.Hour

// sight is what a watch sees: its answer, or the channel that tells of the
// key's next change and how long the key's lease still runs.
type sight struct {
	entry   store.Entry
	err     error
	changed <-chan struct{}
	lapse   time.Duration
}

func (s *Store) watch(ctx context.Context, key string, rev store.Rev, cut <-chan struct{}) (store.Entry, error) {
	s.mu.Lock()
	s.counts.Watches++
	s.mu.Unlock()
	for {
		now := s.look(key, rev)
		if now.changed == nil {
			return now.entry, now.err
		}
		t := time.NewTimer(now.lapse)
		select {
		case <-now.changed:
		case <-t.C:
		case <-cut:
			t.Stop()
			return store.Entry{}, store.ErrUnavailable
		case <-ctx.Done():
			t.Stop()
			return store.Entry{}, ctx.Err()
		}
		t.Stop()
	}
}

// look returns what a watch answers now, or how to wait for it.
func (s *Store) look(key string, rev store.Rev) (out sight) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	r, ok := s.entries[key]
	if ok && r.rev > rev || !ok && rev > 0 {
		out.entry, out.err = s.get(key)
		return out
	}
	if s.waiters == nil {
		s.waiters = map[string]chan struct{}{}
	}
	c, ok := s.waiters[key]
	if !ok {
		c = make(chan struct{})
		s.waiters[key] = c
	}
	out.changed, out.lapse = c, never
	if l, ok := s.leases[r.lease]; ok && s.Now == nil {
		out.lapse = l.end.Sub(s.now())
	}
	return out
}
