package frontd

import (
	"sync"
	"time"
)

// throttle lets work be done at most once in an interval. The zero value is ready for use.
type throttle struct {
	mu   sync.Mutex
	last time.Time
}

// due reports whether the interval has passed since the work was last due and, if so, records
// now as that time.
func (t *throttle) due(now time.Time, interval time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.last) < interval {
		return false
	}
	t.last = now
	return true
}
