package model

import (
	"context"
	"slices"
)

type (
	// queue admits requests to the batch, by priority, then by arrival.
	queue struct {
		running int
		waiting []waiter
	}

	waiter struct {
		priority int
		ready    chan struct{}
	}
)

func (e *Engine) enter(ctx context.Context, priority int) error {
	ready := e.wait(priority)
	if ready == nil {
		return nil
	}
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		e.give(ready)
		return ctx.Err()
	}
}

// wait takes a place in the batch, or returns the channel that tells of one.
func (e *Engine) wait(priority int) chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.report()
	q := &e.queue
	if q.running < pick(e.Limit, defaultLimit) {
		q.running++
		return nil
	}
	w := waiter{priority: priority, ready: make(chan struct{})}
	at := len(q.waiting)
	for at > 0 && q.waiting[at-1].priority < priority {
		at--
	}
	q.waiting = slices.Insert(q.waiting, at, w)
	return w.ready
}

// give takes a request that gave up out of the queue. It may have been
// admitted in the same moment; then its place goes to the next.
func (e *Engine) give(ready chan struct{}) {
	e.mu.Lock()
	for i, w := range e.queue.waiting {
		if w.ready == ready {
			e.queue.waiting = slices.Delete(e.queue.waiting, i, i+1)
			e.report()
			e.mu.Unlock()
			return
		}
	}
	e.mu.Unlock()
	e.leave()
}

func (e *Engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.report()
	q := &e.queue
	if len(q.waiting) == 0 {
		q.running--
		return
	}
	close(q.waiting[0].ready)
	q.waiting = q.waiting[1:]
}
