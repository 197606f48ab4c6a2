// Package admit has turns wait at a gate until they are let through.
package admit

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/place/gate"
)

type (
	// Queue holds the turns of one daemon that wait. The zero value is ready.
	Queue struct {
		mu    sync.Mutex
		gates map[string]*gate.Gate // by service
		wait  map[uint64]chan gate.Op
		last  uint64
	}

	// Refused tells that a turn was not let through, and when to come back.
	Refused struct{ After time.Duration }
)

func (e *Refused) Error() string { return "too many turns under way" }

// Wait returns when the turn is let through. The error is *Refused, or that of
// the context.
func (q *Queue) Wait(ctx context.Context, service string, until time.Time, load gate.Load) (err error) {
	defer func() { err = errors.Wrap(err, "wait for a place") }()
	done := make(chan gate.Op, 1)
	q.mu.Lock()
	q.last++
	ticket := q.last
	if q.wait == nil {
		q.wait, q.gates = map[uint64]chan gate.Op{}, map[string]*gate.Gate{}
	}
	q.wait[ticket] = done
	q.step(service, gate.Arrive{Ticket: ticket, Until: until, Load: load})
	q.mu.Unlock()
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		select {
		case op := <-done:
			return outcome(op)
		case <-timer.C:
			q.mu.Lock()
			q.step(service, gate.Change{Load: gate.Load{}})
			q.mu.Unlock()
		case <-ctx.Done():
			q.mu.Lock()
			delete(q.wait, ticket)
			q.step(service, gate.Leave{Ticket: ticket})
			q.mu.Unlock()
			return ctx.Err()
		}
	}
}

func outcome(op gate.Op) error {
	switch op := op.(type) {
	case gate.Refuse:
		return &Refused{After: op.After}
	default:
		return nil
	}
}

// Change tells the gates that there may be room; load is asked for the services
// at which turns wait.
func (q *Queue) Change(load func(service string) gate.Load) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for service, g := range q.gates {
		if g.Len() > 0 {
			q.step(service, gate.Change{Load: load(service)})
		}
	}
}

// Len returns how many turns wait.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.wait)
}

func (q *Queue) step(service string, e gate.Event) {
	g := q.gates[service]
	if g == nil {
		g = &gate.Gate{}
		q.gates[service] = g
	}
	for _, op := range g.Step(time.Now(), e) {
		q.tell(op)
	}
}

func (q *Queue) tell(op gate.Op) {
	var ticket uint64
	switch op := op.(type) {
	case gate.Admit:
		ticket = op.Ticket
	case gate.Refuse:
		ticket = op.Ticket
	}
	if done := q.wait[ticket]; done != nil {
		done <- op
		delete(q.wait, ticket)
	}
}
