package watch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	polling role = iota
	watching
	resting
)

// duty is how a daemon follows the store, the one with the most calls first. A
// daemon that knows of no others polls.
type role int

// dutyOf returns how a daemon follows the store. It goes by how many of the
// living daemons have a name that hashes lower, so that daemons which see each
// other agree without a word, and when one goes another steps in.
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
	return resting
}

// gap is the time between two calls to the store.
func (w *Watch) storeInterval() time.Duration {
	switch w.role {
	case polling:
		return w.addJitter(PollEvery)
	case watching:
		return minStoreInterval
	case resting:
	}
	return w.addJitter(ReadEvery)
}
