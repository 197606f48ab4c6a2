package keyval

import (
	"context"
	"time"

	"github.com/slaterock/slaterock/internal/plat/store"
)

// never is longer than any test or run.
const maxWait = 100 * 365 * 24 * time.Hour

// sight is what a watch sees: its answer, or the channel that tells of the
// key's next change and how long the key's lease still runs.
type watchState struct {
	entry   store.Entry
	err     error
	changed <-chan struct{}
	expire  time.Duration
}

func (s *Store) watch(ctx context.Context, key string, rev store.Rev, cut <-chan struct{}) (store.Entry, error) {
	s.mu.Lock()
	s.counts.Watches++
	s.mu.Unlock()
	for {
		now := s.checkWatch(key, rev)
		if now.changed == nil {
			return now.entry, now.err
		}
		t := time.NewTimer(now.expire)
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
func (s *Store) checkWatch(key string, rev store.Rev) (out watchState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	r, ok := s.entries[key]
	if ok && r.rev > rev || !ok && rev > 0 {
		out.entry, out.err = s.get(key)
		return out
	}
	if s.watchers == nil {
		s.watchers = map[string]chan struct{}{}
	}
	c, ok := s.watchers[key]
	if !ok {
		c = make(chan struct{})
		s.watchers[key] = c
	}
	out.changed, out.expire = c, maxWait
	if l, ok := s.leases[r.lease]; ok && s.Now == nil {
		out.expire = l.end.Sub(s.now())
	}
	return out
}
