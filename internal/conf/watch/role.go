package watch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	polling role = iota
	watching
	periodic
)

// role determines how often a daemon calls the store. The roles are in descending order of
// calls. A daemon that knows no other daemons polls.
type role int

// roleOf returns a daemon's role. It depends on how many live daemons have a name with a lower
// hash, so daemons with the same member list agree without communication, and when one fails
// another takes over its role.
func roleOf(self Member, alive []Member) role {
	mine, lower := xxhash.Sum64String(self.Name), 0
	for _, m := range alive {
		if m.Name != self.Name && xxhash.Sum64String(m.Name) < mine {
			lower++
		}
	}
	switch {
	case lower < Pollers:
		return polling
	case lower < Pollers+Watchers:
		return watching
	}
	return periodic
}

// storeInterval returns the time between two calls to the store.
func (w *Watch) storeInterval() time.Duration {
	switch w.role {
	case polling:
		return w.addJitter(PollEvery)
	case watching:
		return minStoreInterval
	case periodic:
	}
	return w.addJitter(ReadEvery)
}
