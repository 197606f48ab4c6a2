package meshio

import (
	"sync/atomic"
	"time"

	"github.com/slaterock/slaterock/internal/place/pace"
)

// factorsInterval is the shortest interval between two computations of the factors, less than
// that between two digests. After a change of speed it is changeInterval: the factors of 10,000
// upstreams take a millisecond, and hundreds of upstreams may change their speed in a second.
const (
	factorsInterval = 50 * time.Millisecond
	changeInterval  = 10 * time.Millisecond
)

// factors are those of all upstreams that are not 1, as computed last. They are read for each
// candidate of each request, and must not wait for messages.
type factors struct {
	at      time.Time
	changes int
	all     atomic.Pointer[map[pace.ID]float64]
}

// update computes the factors if they are old or a speed has changed.
func (f *factors) update(now time.Time, paces *pace.Table) {
	age := now.Sub(f.at)
	if age < changeInterval || age < factorsInterval && f.changes == paces.Changes() {
		return
	}
	f.at, f.changes = now, paces.Changes()
	all := paces.Factors(now)
	f.all.Store(&all)
}

// Observe adds a sample of this daemon, as pace.Table does.
func (t *Transport) Observe(now time.Time, id pace.ID, measured, expected float64, confirmed bool) (long bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mesh.Paces.Observe(now, id, measured, expected, confirmed)
}

// Factor returns the time of an upstream as a multiple of that of its service, 1 if it is not known
// to differ. It is at most an interval between two messages old.
func (t *Transport) Factor(id string, born int64) float64 {
	all := t.factors.all.Load()
	if all == nil || len(*all) == 0 {
		return 1
	}
	if f, known := (*all)[pace.IDOf(id, born)]; known {
		return f
	}
	return 1
}
