package model

import (
	"context"
	"slices"
)

type (
	// queue admits requests to the batch, by priority, then by arrival.
	queue struct {
		running int
		waiters []waiter
	}

	waiter struct {
		priority int
		ready    chan struct{}
	}
)

func (e *Engine) acquireSlot(ctx context.Context, priority int) error {
	ready := e.enqueue(priority)
	if ready == nil {
		return nil
	}
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		e.abandon(ready)
		return ctx.Err()
	}
}

// wait takes a place in the batch, or returns the channel that tells of one.
func (e *Engine) enqueue(priority int) chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.recordLoad()
	q := &e.queue
	if q.running < orDefault(e.Limit, defaultLimit) {
		q.running++
		return nil
	}
	w := waiter{priority: priority, ready: make(chan struct{})}
	at := len(q.waiters)
	for at > 0 && q.waiters[at-1].priority < priority {
		at--
	}
	q.waiters = slices.Insert(q.waiters, at, w)
	return w.ready
}

// give takes a request that gave up out of the queue. It may have been
// admitted in the same moment; then its place goes to the next.
func (e *Engine) abandon(ready chan struct{}) {
	e.mu.Lock()
	for i, w := range e.queue.waiters {
		if w.ready == ready {
			e.queue.waiters = slices.Delete(e.queue.waiters, i, i+1)
			e.recordLoad()
			e.mu.Unlock()
			return
		}
	}
	e.mu.Unlock()
	e.releaseSlot()
}

func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.recordLoad()
	q := &e.queue
	if len(q.waiters) == 0 {
		q.running--
		return
	}
	close(q.waiters[0].ready)
	q.waiters = q.waiters[1:]
}
