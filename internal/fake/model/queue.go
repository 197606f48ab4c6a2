package model

import (
	"context"
	"slices"
)

type (
	// queue holds requests that wait for a slot in the batch, ordered by
	// descending priority, then by arrival.
	queue struct {
		running int
		waiters []waiter
	}

	waiter struct {
		priority int
		ready    chan struct{} // closed when the request has a slot
	}
)

// acquireSlot waits for a slot in the batch.
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

// enqueue takes a free slot and returns nil, or queues the request and returns
// the channel that is closed when it gets a slot.
func (e *Engine) enqueue(priority int) chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.recordLoad()
	q := &e.queue
	if q.running < orDefault(e.BatchLimit, defaultBatchLimit) {
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

// abandon removes a cancelled request from the queue. If the request got its
// slot at the same time, the slot goes to the next waiter.
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

// releaseSlot passes the slot to the first waiter, or frees it.
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
