// Package admit has new programs wait at a gate, one for each service, until the
// engines have room for them.
package admit

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/place/batch"
	"github.com/slaterock/slaterock/internal/place/gate"
)

type (
	// Queue holds what waits at one daemon. The zero value is ready.
	Queue struct {
		mu       sync.Mutex
		services map[string]*service
		wait     map[uint64]chan gate.Op
		last     uint64 // ticket
	}

	service struct {
		gate  gate.Gate
		batch batch.Estimator
	}

	// Refused tells that a program may not begin, and when to come back.
	Refused struct{ After time.Duration }
)

func (e *Refused) Error() string { return "too many turns under way" }

// Wait returns when a program may begin, which until is the latest time for. The
// error is *Refused, or that of the context.
func (q *Queue) Wait(ctx context.Context, name string, until time.Time, load gate.Load) (err error) {
	defer func() { err = errors.Wrap(err, "wait for a place") }()
	done := make(chan gate.Op, 1)
	q.mu.Lock()
	q.last++
	ticket := q.last
	if q.wait == nil {
		q.wait = map[uint64]chan gate.Op{}
	}
	q.wait[ticket] = done
	q.step(name, gate.Arrive{Ticket: ticket, LatestStart: until, Load: load})
	q.mu.Unlock()
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		select {
		case op := <-done:
			return outcome(op)
		case <-timer.C:
			q.mu.Lock()
			q.step(name, gate.Change{}) // ends the waits that are over
			q.mu.Unlock()
		case <-ctx.Done():
			q.mu.Lock()
			delete(q.wait, ticket)
			q.step(name, gate.Cancel{Ticket: ticket})
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
// at which programs wait.
func (q *Queue) Change(load func(name string) gate.Load) {
	for _, name := range q.waited() {
		l := load(name)
		q.mu.Lock()
		q.step(name, gate.Change{Load: l})
		q.mu.Unlock()
	}
}

// waited returns the services at which programs wait.
func (q *Queue) waited() (names []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, s := range q.services {
		if s.gate.Len() > 0 {
			names = append(names, name)
		}
	}
	return names
}

// Observe learns from a whole stream how long an event takes beside so many turns.
func (q *Queue) Observe(name string, turns float64, event time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.service(name).batch.Observe(turns, event.Seconds())
}

// Share returns up to which share of its places an engine of the service should be
// filled that runs so many turns at a time.
func (q *Queue) Share(name string) func(places int) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.service(name).batch
	return p.Share
}

// Len returns how many programs wait.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.wait)
}

// service returns what is kept of a service; q.mu is held.
func (q *Queue) service(name string) *service {
	if q.services == nil {
		q.services = map[string]*service{}
	}
	s := q.services[name]
	if s == nil {
		s = &service{}
		q.services[name] = s
	}
	return s
}

// step takes an event to a gate and does what follows; q.mu is held.
func (q *Queue) step(name string, e gate.Event) {
	for _, op := range q.service(name).gate.Step(time.Now(), e) {
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
