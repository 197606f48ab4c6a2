// Package slots bounds the calls that one front has under way at replicas which all fronts
// share, and adapts the bound to what these can do.
//
// Refusing a call costs an overloaded replica nearly half of what serving it does. Fronts that
// pass on all calls therefore leave it no time to serve any. So each front halves its bound when
// replicas refuse, raises it slowly while they don't, and refuses the excess itself.
package slots

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// initialSlots is small, since a burst may come to all fronts at once. Until the first
	// refusal the bound grows by one with each call.
	initialSlots = 8
	maxSlots     = 256
	// minDropInterval is the shortest time between two reductions: calls that were under way
	// at the first one say nothing new.
	minDropInterval = 100 * time.Millisecond
	// queueFactor times the slots is how many calls wait for one; each waits for about as many
	// rounds of calls, some 50 ms each at replicas that have enough to do.
	queueFactor = 4
	// maxWait is about the time after which a refused caller comes back. It leaves a call that
	// gets a slot most of its time.
	maxWait = 300 * time.Millisecond
)

// ErrFull reports that too many calls wait already.
var ErrFull = errors.New("too many calls under way at the replicas")

// Slots bounds the calls of one front. The zero value allows 8 at a time to begin with.
type Slots struct {
	mu       sync.Mutex
	limit    float64
	inUse    int
	waiting  []chan bool // in order; each gets one value: whether the call has a slot
	lastDrop time.Time
}

// Acquire waits for a slot, for 300 ms at most. It fails with ErrFull if it gets none, at once
// if too many calls wait already.
func (s *Slots) Acquire(ctx context.Context) error {
	s.mu.Lock()
	if s.inUse < s.size() && len(s.waiting) == 0 {
		s.inUse++
		s.mu.Unlock()
		return nil
	}
	if len(s.waiting) >= queueFactor*s.size() {
		s.mu.Unlock()
		return ErrFull
	}
	decided := make(chan bool, 1)
	s.waiting = append(s.waiting, decided)
	s.mu.Unlock()
	timeout := time.NewTimer(maxWait)
	defer timeout.Stop()
	select {
	case granted := <-decided:
		if !granted {
			return ErrFull
		}
		return nil
	case <-timeout.C:
		s.abandon(decided)
		return ErrFull
	case <-ctx.Done():
		s.abandon(decided)
		return ctx.Err()
	}
}

// abandon removes a call that stopped waiting, or passes its slot on.
func (s *Slots) abandon(decided chan bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.waiting, decided); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		return
	}
	if <-decided {
		s.inUse--
		s.decide()
	}
}

// Release frees a slot. Overloaded reports that the call failed because the replicas have too
// much to do.
func (s *Slots) Release(now time.Time, overloaded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	full := s.inUse >= s.size()
	s.inUse--
	switch {
	case overloaded && now.Sub(s.lastDrop) >= minDropInterval:
		s.limit = max(s.limit/2, 1)
		s.lastDrop = now
	case !overloaded && full:
		// With fewer calls under way the bound restricts nothing, and must not grow.
		s.limit = min(s.limit+s.growth(), maxSlots)
	}
	s.decide()
}

// growth returns by how much one call that succeeded raises the bound: by one for as many calls
// as it allows, once replicas have refused any.
func (s *Slots) growth() float64 {
	if s.lastDrop.IsZero() {
		return 1
	}
	return 1 / s.limit
}

// decide gives free slots to the calls that wait, and refuses those that are too many since
// the bound was reduced.
func (s *Slots) decide() {
	for len(s.waiting) > 0 && s.inUse < s.size() {
		s.waiting[0] <- true
		s.waiting = s.waiting[1:]
		s.inUse++
	}
	room := queueFactor * s.size()
	if len(s.waiting) <= room {
		return
	}
	for _, c := range s.waiting[room:] {
		c <- false
	}
	s.waiting = s.waiting[:room]
}

func (s *Slots) size() int {
	if s.limit == 0 {
		s.limit = initialSlots
	}
	return int(s.limit)
}

// Len returns the slots, those in use, and the calls that wait.
func (s *Slots) Len() (slots, inUse, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.size(), s.inUse, len(s.waiting)
}
