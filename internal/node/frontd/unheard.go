package frontd

import (
	"sync"
	"time"

	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/mesh"
)

const (
	// deadAfter is how long a listed front must not be heard until one that hears few fronts, but reaches the record servers, takes it for
	// dead: longer than fronts take to restart.
	deadAfter = 5 * time.Second
	// maxUnheardGap is the longest pause between two checks for which a silence counts as uninterrupted: this front may
	// have stood still, and not the others.
	maxUnheardGap = 3 * sweepInterval
)

// unheard tracks since when listed fronts have not been heard by this one, which is not cut off itself. The zero value is ready for
// use.
type unheard struct {
	mu        sync.Mutex
	since     map[string]time.Time
	checkedAt time.Time
}

// check notes which of the other fronts are alive. Connected tells whether this front reaches what does not depend on other
// fronts; without that all silences start over.
func (u *unheard) check(now time.Time, others []fleet.Entry, p mesh.Summary, connected bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now.Sub(u.checkedAt) > maxUnheardGap || !connected {
		u.since = nil
	}
	u.checkedAt = now
	if connected {
		u.since = silences(u.since, now, others, p)
	}
}

// isDead reports whether the front has not been heard for deadAfter.
func (u *unheard) isDead(now time.Time, node string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	since, known := u.since[node]
	return known && now.Sub(since) >= deadAfter && now.Sub(u.checkedAt) <= maxUnheardGap
}

// noteUnheard notes which fronts this one has not heard.
func (d *Daemon) noteUnheard(now time.Time) {
	p := d.meshio.Summary(now)
	connected := len(d.discov.Roster().Replicas) > 0 && !d.reach.Down(now)
	d.unheard.check(now, d.others(p), p, connected)
}
