// Package parts keeps which upstreams have which shared prompt parts cached, for all requests of
// a front: package cached behind a lock, with the upstreams of the fleet view.
package parts

import (
	"sync"
	"time"

	"github.com/slaterock/slaterock/internal/front/cached"
	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/mesh"
	"github.com/slaterock/slaterock/internal/front/meta"
	"github.com/slaterock/slaterock/internal/front/pick"
)

// refreshInterval is the shortest time between two looks at all upstreams. Until then the pairs of
// an upstream that has just started are not used.
const refreshInterval = time.Second

// Table is safe for concurrent use. The zero value is empty.
type Table struct {
	mu        sync.Mutex
	index     cached.Index
	ids       map[cached.Upstream]string
	view      uint64    // hash of the view that ids is from
	refreshed time.Time // when ids was made
	found     []cached.Upstream
}

// Use records that a prompt with the shared parts was sent to the upstream. It returns the tokens
// of the parts that the upstream was known to have, and of all of them.
func (t *Table) Use(now time.Time, shared []meta.Part, u fleet.Upstream) (found, all int) {
	if len(shared) == 0 {
		return 0, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	key := cached.UpstreamOf(u.ID, u.Born)
	if t.ids == nil {
		t.ids = map[cached.Upstream]string{}
	}
	t.ids[key] = u.ID
	complete := true
	for _, p := range shared {
		known := t.index.Use(now, p.ID, key)
		if complete = complete && known; complete {
			found += p.Tokens
		}
		all += p.Tokens
	}
	return found, all
}

// Holders is for pick.Picker.
func (t *Table) Holders(now time.Time, part uint64, list []pick.Holder) []pick.Holder {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.found = t.index.Holders(now, part, t.found[:0])
	for _, u := range t.found {
		if id, known := t.ids[u]; known {
			list = append(list, pick.Holder{ID: id, Upstream: u})
		}
	}
	return list
}

// TakeNew returns the pairs to be reported to other fronts and not yet returned, the newest first.
func (t *Table) TakeNew() []cached.Pair {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.index.TakeNew(mesh.MaxCached)
}

// Merge adds pairs that another front reported.
func (t *Table) Merge(now time.Time, pairs []cached.Pair) {
	if len(pairs) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.index.Merge(now, pairs)
}

// Update has the table know the upstreams of the view, and drops the pairs of those that are no
// longer in it. Without pairs it does nothing.
func (t *Table) Update(now time.Time, v *fleet.View) {
	if !t.outdated(now, v) {
		return
	}
	ids := make(map[cached.Upstream]string, v.Listed.Len()) // of 10,000 upstreams in a millisecond, without the lock
	for _, set := range []fleet.Upstreams{v.Listed, v.Retained} {
		for u := range set.All() {
			ids[cached.UpstreamOf(u.ID, u.Born)] = u.ID
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for u := range t.ids {
		if _, known := ids[u]; !known {
			t.index.Forget(u)
		}
	}
	t.ids = ids
}

// outdated reports whether the upstreams have to be read from the view, at most once for a view.
func (t *Table) outdated(now time.Time, v *fleet.View) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.index.Len() == 0 || t.view == v.Hash || now.Sub(t.refreshed) < refreshInterval {
		return false
	}
	t.view, t.refreshed = v.Hash, now
	return true
}
