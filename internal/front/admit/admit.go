// Package admit is the admission queue of new programs: for each service, they wait until
// the engines have room for them.
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
	// Queue holds the programs that wait at one daemon. The zero value is ready.
	Queue struct {
		mu         sync.Mutex
		services   map[string]*service
		waiters    map[uint64]chan gate.Op
		lastTicket uint64 // number of the last waiter: key of waiters and ticket of the gate
	}

	service struct {
		gate  gate.Gate
		batch batch.Estimator
	}

	// Program is a program that is to begin. It waits until LatestStart at the latest; if
	// that has passed, it is admitted or refused at once.
	Program struct {
		LatestStart time.Time
		Priority    int     // 0 is the most urgent
		Account     string  // empty for none
		Weight      float64 // of the account in the shares of the engines; 0 is 1
	}

	// Key identifies the programs of one priority that wait for one service.
	Key struct {
		Service  string
		Priority int
	}

	// NotAdmittedError reports that a program may not begin. Its caller may retry after
	// the duration After.
	NotAdmittedError struct{ After time.Duration }
)

func (e *NotAdmittedError) Error() string { return "too many turns under way" }

// Wait blocks until a program of the service may begin. It returns how many programs came
// before it when it arrived, as far as is known. The error wraps a *NotAdmittedError or that
// of the context.
func (q *Queue) Wait(ctx context.Context, name string, p Program, load gate.Load) (ahead int, err error) {
	defer func() { err = errors.Wrap(err, "wait for admission") }()
	done := make(chan gate.Op, 1)
	q.mu.Lock()
	q.lastTicket++
	ticket := q.lastTicket
	if q.waiters == nil {
		q.waiters = map[uint64]chan gate.Op{}
	}
	q.waiters[ticket] = done
	arrive := gate.Arrive{Ticket: ticket, LatestStart: p.LatestStart, Priority: p.Priority, Account: p.Account, Weight: p.Weight, Load: load}
	ahead = q.service(name).gate.Ahead(arrive)
	q.step(name, arrive)
	q.mu.Unlock()
	timer := time.NewTimer(time.Until(p.LatestStart))
	defer timer.Stop()
	for {
		select {
		case op := <-done:
			return ahead, outcome(op)
		case <-timer.C:
			q.mu.Lock()
			q.step(name, gate.Expire{})
			q.mu.Unlock()
		case <-ctx.Done():
			q.mu.Lock()
			delete(q.waiters, ticket)
			q.step(name, gate.Cancel{Ticket: ticket})
			q.mu.Unlock()
			return ahead, ctx.Err()
		}
	}
}

func outcome(op gate.Op) error {
	switch op := op.(type) {
	case gate.Refuse:
		return &NotAdmittedError{After: op.After}
	default:
		return nil
	}
}

// Change passes the present load to the gates, which may then admit programs. It calls load
// for each service for which programs wait.
func (q *Queue) Change(load func(name string) gate.Load) {
	for _, name := range q.waitingServices() {
		l := load(name)
		q.mu.Lock()
		q.step(name, gate.Change{Load: l})
		q.mu.Unlock()
	}
}

// waitingServices returns the services for which programs wait.
func (q *Queue) waitingServices() (names []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, s := range q.services {
		if s.gate.Len() > 0 {
			names = append(names, name)
		}
	}
	return names
}

// Observe records the mean time per event of a complete stream, on an engine that ran so
// many turns meanwhile.
func (q *Queue) Observe(name string, turns float64, event time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.service(name).batch.Observe(turns, event.Seconds())
}

// MeanEventTime returns the mean time per event at the engines of the service, 0 if it is unknown.
func (q *Queue) MeanEventTime(name string) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	event, known := q.service(name).batch.Mean()
	if !known {
		return 0
	}
	return time.Duration(event * float64(time.Second))
}

// Share returns a function that gives, for an engine of the service that runs so many turns
// at a time, how many it should be given at most, as a multiple of that number.
func (q *Queue) Share(name string) func(places int) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.service(name).batch
	return p.Share
}

// Len returns the number of programs that wait.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiters)
}

// Queued returns the number of programs that wait, by service and priority; nil for none.
func (q *Queue) Queued() (queued map[Key]int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, s := range q.services {
		s.gate.Queued(func(priority, n int) {
			if queued == nil {
				queued = map[Key]int{}
			}
			queued[Key{Service: name, Priority: priority}] = n
		})
	}
	return queued
}

// service returns the state of a service, which it creates if needed; q.mu is held.
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

// step passes an event to a service's gate and delivers its decisions; q.mu is held.
func (q *Queue) step(name string, e gate.Event) {
	for _, op := range q.service(name).gate.Step(time.Now(), e) {
		q.deliver(op)
	}
}

// deliver passes a decision to the program that waits for it; q.mu is held.
func (q *Queue) deliver(op gate.Op) {
	var ticket uint64
	switch op := op.(type) {
	case gate.Admit:
		ticket = op.Ticket
	case gate.Refuse:
		ticket = op.Ticket
	}
	if done := q.waiters[ticket]; done != nil {
		done <- op
		delete(q.waiters, ticket)
	}
}
