package limits

import (
	"context"
	"time"

	"github.com/slaterock/slaterock/internal/front/bucket"
	"github.com/slaterock/slaterock/internal/front/wait"
)

type (
	// Request is a request that may wait for its account's limit.
	Request struct {
		Account string
		Begun   bool      // it belongs to a program that has begun, or to none
		First   bool      // it is a new program's first turn
		Until   time.Time // latest useful moment
		Start   time.Time // arrival of the program's first attempt; zero if not known
		// Length is the time that the program is given, from Start to its deadline; 0 if not known.
		Length time.Duration
	}

	// Demand is what competes for the limits at this daemon, by account, as it reports it to
	// others.
	Demand struct {
		Waiting      map[string]int // requests that wait
		WaitingBegun map[string]int // those of them that belong to programs that have begun
		Begun        map[string]int // programs that were admitted recently
	}

	// waiting holds the requests that wait at this daemon.
	waiting struct {
		queue   wait.Queue
		waiters map[uint64]chan bucket.Decision // by ticket
		ticket  uint64                          // of the last request
		timer   *time.Timer
		due     time.Time // when timer fires; zero if it does not
	}
)

func (r Request) class() bucket.Class {
	if r.First || !r.Begun {
		return bucket.New
	}
	return bucket.Begun
}

// Acquire takes one request from an account's limit. If there is none it waits, until
// Request.Until at the latest. A request that can't be admitted until then is refused at once.
// If ctx ends before there is a decision, Acquire takes nothing and returns a refusal.
func (a *Limiter) Acquire(ctx context.Context, r Request) bucket.Decision {
	now := time.Now()
	d, ticket, done := a.arrive(now, r)
	if done == nil {
		return d
	}
	ahead := d.Ahead
	timer := time.NewTimer(r.Until.Sub(now))
	defer timer.Stop()
	select {
	case d = <-done:
	case <-timer.C:
		d = a.end(r.Account, ticket, done, a.waiting.queue.Expire)
	case <-ctx.Done():
		d = a.end(r.Account, ticket, done, a.cancel)
	}
	d.Ahead = ahead
	return d
}

// arrive decides on a request. If it waits, done receives the decision.
func (a *Limiter) arrive(now time.Time, r Request) (d bucket.Decision, ticket uint64, done chan bucket.Decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w := &a.waiting
	w.queue.Buckets = &a.bucket
	w.ticket++
	ticket = w.ticket
	d, waits, evicted := w.queue.Arrive(now, &wait.Request{
		Ticket: ticket, Account: r.Account, Class: r.class(), Until: r.Until, Start: r.Start, Length: r.Length,
	})
	a.deliver(evicted)
	if !waits {
		return d, 0, nil
	}
	if w.waiters == nil {
		w.waiters = map[uint64]chan bucket.Decision{}
	}
	done = make(chan bucket.Decision, 1)
	w.waiters[ticket] = done
	a.schedule(now, r.Account)
	return d, ticket, done
}

// end ends the wait of a request by leave, unless a decision was made meanwhile.
func (a *Limiter) end(account string, ticket uint64, done chan bucket.Decision, leave func(time.Time, uint64) (bucket.Decision, bool)) bucket.Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	d, waited := leave(now, ticket)
	if !waited {
		return <-done
	}
	delete(a.waiting.waiters, ticket)
	a.step(now, account) // for those that waited behind it
	return d
}

// cancel removes a request whose caller has disconnected; a.mu is held.
func (a *Limiter) cancel(now time.Time, ticket uint64) (d bucket.Decision, waited bool) {
	return d, a.waiting.queue.Cancel(now, ticket)
}

// RefundFirst is Refund for a new program's first turn that no upstream ran: it has not begun.
func (a *Limiter) RefundFirst(now time.Time, name string, length time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bucket.RefundClass(now, name, bucket.New, a.bucket.Size(name, length))
	a.step(now, name)
}

// CanAdmit returns a refusal if no request of the account can be admitted until the given
// time.
func (a *Limiter) CanAdmit(now time.Time, name string, until time.Time) bucket.Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.bucket.Infeasible(now, name, until.Sub(now)) {
		return a.bucket.Refuse(now, name, bucket.Begun)
	}
	return bucket.Decision{OK: true}
}

// Demand returns what competes for the limits at this daemon.
func (a *Limiter) Demand(now time.Time) (d Demand) {
	a.mu.Lock()
	defer a.mu.Unlock()
	d.Waiting, d.WaitingBegun = a.waiting.queue.Waiting()
	d.Begun = a.bucket.Begun(now)
	return d
}

// stepAll decides on all waiting requests; a.mu is held.
func (a *Limiter) stepAll(now time.Time) {
	if a.waiting.queue.Len() == 0 {
		return
	}
	for _, name := range a.waiting.queue.Accounts() {
		a.step(now, name)
	}
}

// step decides on the requests that wait for an account; a.mu is held.
func (a *Limiter) step(now time.Time, name string) {
	a.deliver(a.waiting.queue.Step(now, name))
	a.schedule(now, name)
}

// deliver passes decisions to the requests that wait for them; a.mu is held.
func (a *Limiter) deliver(list []wait.Outcome) {
	for _, o := range list {
		if done := a.waiting.waiters[o.Ticket]; done != nil {
			done <- o.Decision
			delete(a.waiting.waiters, o.Ticket)
		}
	}
}

// schedule sets the timer to the time at which the first request that waits for the account may
// be admitted, unless it fires before; a.mu is held.
func (a *Limiter) schedule(now time.Time, name string) {
	after, waits := a.waiting.queue.Next(now, name)
	at, w := now.Add(after), &a.waiting
	if !waits || !w.due.IsZero() && !at.Before(w.due) {
		return
	}
	w.due = at
	if w.timer == nil {
		w.timer = time.AfterFunc(after, a.wake)
		return
	}
	w.timer.Reset(after)
}

func (a *Limiter) wake() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting.due = time.Time{}
	a.stepAll(time.Now())
}
