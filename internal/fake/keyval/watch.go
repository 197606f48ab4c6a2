package keyval

import (
	"context"
	"time"

	"github.com/slaterock/slaterock/internal/plat/store"
)

// maxWait is how long a watch sleeps before it checks again if no lease can end it:
// the key has none, or the store has a manual clock. It is longer than any test.
const maxWait = 100 * 365 * 24 * time.Hour

// watchState is the result of a watch if changed is nil, otherwise what to wait
// for: changed is closed at the key's next change, and expire is the time until
// the key's lease ends.
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
		state := s.checkWatch(key, rev)
		if state.changed == nil {
			return state.entry, state.err
		}
		t := time.NewTimer(state.expire)
		select {
		case <-state.changed:
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

// checkWatch returns the result of a watch, or what it has to wait for.
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
