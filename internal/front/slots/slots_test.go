package slots

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// Calls beyond the bound must be refused at once or after maxWait, and slots must not be lost when callers give up.
func TestExcessCallsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s Slots
		for range initialSlots {
			is.NoErr(s.Acquire(t.Context()))
		}
		var wg sync.WaitGroup
		var mu sync.Mutex
		refused := map[time.Duration]int{}
		for range queueFactor*initialSlots + 5 {
			wg.Go(func() {
				began := time.Now()
				err := s.Acquire(t.Context())
				mu.Lock()
				defer mu.Unlock()
				if errors.Is(err, ErrFull) {
					refused[time.Since(began)]++
				}
			})
		}
		synctest.Wait()
		s.Release(time.Now(), false) // two of those that wait begin: the bound has grown by one
		wg.Wait()
		is.Equal(refused, map[time.Duration]int{0: 5, maxWait: queueFactor*initialSlots - 2})
		ctx, stop := context.WithCancel(t.Context())
		wg.Go(func() { is.True(errors.Is(s.Acquire(ctx), context.Canceled)) })
		synctest.Wait()
		stop()
		wg.Wait()
		for range initialSlots + 1 {
			s.Release(time.Now(), false)
		}
		_, inUse, waiting := s.Len()
		is.Equal(inUse, 0)
		is.Equal(waiting, 0)
	})
}

// A reduced bound must also hold for the calls that wait already.
func TestReducedBoundRefusesWaitingCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s Slots
		for range initialSlots {
			is.NoErr(s.Acquire(t.Context()))
		}
		results := make(chan error, queueFactor*initialSlots)
		for range queueFactor * initialSlots {
			go func() { results <- s.Acquire(t.Context()) }()
		}
		synctest.Wait()
		s.Release(time.Now(), true)
		synctest.Wait()
		is.Equal(len(results), queueFactor*initialSlots/2)
		for range queueFactor * initialSlots / 2 {
			is.True(errors.Is(<-results, ErrFull))
		}
		slots, _, waiting := s.Len()
		is.Equal(slots, initialSlots/2)
		is.Equal(waiting, queueFactor*initialSlots/2)
		time.Sleep(maxWait)
	})
}

// After an overload the bound must grow again, slowly, and only while it restricts calls.
func TestBoundGrowsWhileItRestricts(t *testing.T) {
	is := is.New(t)
	var s Slots
	now := time.Unix(1_800_000_000, 0)
	is.NoErr(s.Acquire(t.Context()))
	s.Release(now, true)
	slots, _, _ := s.Len()
	is.Equal(slots, initialSlots/2)
	for range 100 {
		is.NoErr(s.Acquire(t.Context()))
		s.Release(now, false)
	}
	slots, _, _ = s.Len()
	is.Equal(slots, initialSlots/2) // one call at a time is not restricted
	for range initialSlots / 2 {
		is.NoErr(s.Acquire(t.Context()))
	}
	for range initialSlots/2 + 1 {
		s.Release(now, false)
		is.NoErr(s.Acquire(t.Context()))
	}
	slots, _, _ = s.Len()
	is.Equal(slots, initialSlots/2+1)
}
