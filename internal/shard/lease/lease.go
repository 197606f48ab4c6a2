// Package lease keeps one daemon's session with the store, and says until when
// its shards are safe from others.
//
// All of a daemon's shards hang on one lease, so that keeping them costs one
// write a renewal and not one for each shard. The time until which the lease
// holds is counted on the daemon's own clock from before the renewal was sent:
// a reply may be late, and a clock that starts at the reply would run past the
// store's.
//
// Lease is a state machine: Step takes the time and one message and returns
// effects.
package lease

import (
	"time"

	"github.com/slaterock/slaterock/internal/plat/store"
)

const (
	defaultTTL     = 6 * time.Second
	renewalsPerTTL = 3 // within one time to live
)

type (
	// Lease is the machine. The zero value works with a time to live of six
	// seconds.
	Lease struct {
		TTL  time.Duration
		Rand func() uint64 // for jitter; nil is none

		id          store.Lease
		until       time.Time
		inFlight    bool
		sentAt      time.Time
		nextRequest time.Time
	}

	// Message is what Lease reacts to.
	Message interface{ message() }

	// Granted answers Grant. Err is nil if it succeeded.
	Granted struct {
		ID  store.Lease
		Err error
	}

	// Renewed answers Renew.
	Renewed struct {
		Lapsed bool // the store says that the lease is over
		Err    error
	}

	// Drop forgets the lease: nothing hangs on it any more.
	Forget struct{}

	// Tick lets time pass.
	Tick struct{}

	// Effect is what Lease wants done.
	Effect interface{ effect() }

	// Grant asks the store for a lease.
	Grant struct{ TTL time.Duration }

	// Renew extends the lease.
	Renew struct{ ID store.Lease }

	// Got tells that there is a new lease; shards may be taken under it.
	Acquired struct{ ID store.Lease }

	// Lost tells that the lease is over and its keys are gone.
	Lost struct{ ID store.Lease }
)

func (Granted) message() {}
func (Renewed) message() {}
func (Forget) message()  {}
func (Tick) message()    {}

func (Grant) effect()    {}
func (Renew) effect()    {}
func (Acquired) effect() {}
func (Lost) effect()     {}

// ID is the lease held, zero without one.
func (l *Lease) ID() store.Lease { return l.id }

// Until is the time up to which no other daemon can hold what hangs on the
// lease.
func (l *Lease) Until() time.Time { return l.until }

// Step applies one message.
func (l *Lease) Step(now time.Time, m Message) []Effect {
	switch m := m.(type) {
	case Forget:
		l.id, l.until, l.nextRequest = 0, time.Time{}, now
		return nil
	case Granted:
		l.inFlight = false
		if m.Err != nil {
			l.backOff(now)
			return nil
		}
		l.id = m.ID
		l.extend()
		return []Effect{Acquired{ID: m.ID}}
	case Renewed:
		l.inFlight = false
		if l.id == 0 {
			return nil // it was dropped meanwhile
		}
		if m.Lapsed {
			lost := Lost{ID: l.id}
			l.id, l.until, l.nextRequest = 0, time.Time{}, now
			return append([]Effect{lost}, l.request(now)...)
		}
		if m.Err != nil {
			l.backOff(now)
			return nil
		}
		l.extend()
		return nil
	}
	return l.request(now)
}

func (l *Lease) ttl() time.Duration {
	if l.TTL > 0 {
		return l.TTL
	}
	return defaultTTL
}

func (l *Lease) extend() {
	l.until = l.sentAt.Add(l.ttl())
	l.nextRequest = l.sentAt.Add(l.ttl() / renewalsPerTTL)
}

// wait puts off the next call after a failure, with jitter so that the daemons
// don't meet at the store when it comes back.
func (l *Lease) backOff(now time.Time) {
	d := l.ttl() / (4 * renewalsPerTTL)
	if l.Rand != nil {
		d += time.Duration(l.Rand() % uint64(d))
	}
	l.nextRequest = now.Add(d)
}

func (l *Lease) request(now time.Time) []Effect {
	if l.inFlight || now.Before(l.nextRequest) {
		return nil
	}
	l.inFlight, l.sentAt = true, now
	if l.id == 0 {
		return []Effect{Grant{TTL: l.ttl()}}
	}
	return []Effect{Renew{ID: l.id}}
}
