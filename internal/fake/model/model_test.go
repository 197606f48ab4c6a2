package model

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/plat/engine"
)

// The contract of engine.Engine is tested in package chat; these tests cover
// timing, queueing and cache eviction.

func discard(engine.Delta) error { return nil }

func sendChat(e *Engine, id, program, text string, priority int) (engine.Usage, error) {
	body := fmt.Sprintf(`{"messages":[{"content":%q}]}`, text)
	return e.Chat(context.Background(), engine.Request{ID: id, Program: program, Body: []byte(body), Priority: priority}, discard)
}

func TestBatchSlowsDown(t *testing.T) {
	tests := map[string]struct {
		requests int
		want     time.Duration
	}{
		"one":   {1, 40 * 20 * time.Millisecond},
		"eight": {8, 40 * (20*time.Millisecond + 7*500*time.Microsecond)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := &Engine{Output: 40, Prefill: 1 << 30}
				start := time.Now()
				var all sync.WaitGroup
				for i := range tt.requests {
					all.Go(func() {
						_, err := sendChat(e, fmt.Sprint(i), "p", "x", 0)
						is.NoErr(err)
					})
				}
				all.Wait()
				is.Equal(time.Since(start).Round(time.Millisecond), tt.want.Round(time.Millisecond))
			})
		})
	}
}

func TestQueueByPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &Engine{BatchLimit: 1}
		var mu sync.Mutex
		var order []string
		var all sync.WaitGroup
		for i, priority := range []int{0, 1, 5, 1} {
			id := fmt.Sprintf("%d at %d", i, priority)
			all.Go(func() {
				_, err := sendChat(e, id, "p", id, priority)
				is.NoErr(err)
				mu.Lock()
				defer mu.Unlock()
				order = append(order, id)
			})
			synctest.Wait()
		}
		all.Wait()
		is.Equal(order, []string{"0 at 0", "2 at 5", "1 at 1", "3 at 1"})
	})
}

func TestLeastRecentlyUsedIsEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &Engine{Memory: 250}
		long := func(c string) string { return strings.Repeat(c, 380) } // 100 tokens with the JSON around it
		for _, c := range []string{"a", "b", "a", "c"} {
			_, err := sendChat(e, "r", c, long(c), 0)
			is.NoErr(err)
		}
		held, err := e.Held(t.Context())
		is.NoErr(err)
		is.Equal(held, []string{"a", "c"})
		is.True(e.HeldTokens("a") > 90)
		events, err := e.Events(t.Context(), 2)
		is.NoErr(err)
		is.Equal(len(events), 1)
		is.Equal(len(events[0].Evicted), 1)
	})
}

// Guards against a leaked slot: a waiting request is cancelled at the same time
// as it gets a slot. The slot must go to the next request, otherwise the engine
// ends up without free slots and runs no requests.
func TestSlotOfCancelledRequestIsReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &Engine{BatchLimit: 1}
		is.NoErr(e.acquireSlot(t.Context(), 0))
		ready := e.enqueue(0)
		e.releaseSlot()
		<-ready
		e.abandon(ready)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.NoErr(e.acquireSlot(ctx, 0))
		is.True(errors.Is(e.acquireSlot(ctx, 0), context.DeadlineExceeded))
		l, err := e.Load(t.Context())
		is.NoErr(err)
		is.Equal([]int{l.Running, l.Waiting}, []int{1, 0})
	})
}

// A cache event must not be visible before EventLag has passed.
func TestEventsAreDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &Engine{EventLag: time.Minute}
		_, err := sendChat(e, "r", "p", "x", 0)
		is.NoErr(err)
		events, err := e.Events(t.Context(), 0)
		is.NoErr(err)
		is.Equal(len(events), 0)
		<-time.After(time.Minute)
		events, err = e.Events(t.Context(), 0)
		is.NoErr(err)
		is.Equal(len(events), 1)
	})
}
