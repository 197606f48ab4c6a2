// Package lease holds and renews a daemon's lease in the store, and tracks the
// time before which no other daemon can take the daemon's shards.
//
// The keys of all of a daemon's shards are attached to one lease, so that a
// renewal costs one write and not one for each shard. The expiry is computed on
// the daemon's own clock from the time at which the grant or renewal was sent. The
// reply may be late, so an expiry computed from its arrival could be after the
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
	renewalsPerTTL = 3
)

type (
	// Lease is the state machine. The zero value is ready to use; its time to
	// live is 6 s.
	Lease struct {
		TTL  time.Duration
		Rand func() uint64 // for jitter; nil disables it

		id          store.Lease
		until       time.Time
		inFlight    bool
		sentAt      time.Time
		nextRequest time.Time
	}

	// Message is an input of Lease.
	Message interface{ message() }

	// Granted is the store's reply to Grant. ID is valid if Err is nil.
	Granted struct {
		ID  store.Lease
		Err error
	}

	// Renewed is the store's reply to Renew.
	Renewed struct {
		Lapsed bool // the lease has expired in the store
		Err    error
	}

	// Forget discards the lease without revoking it in the store. The next Tick
	// requests a new one. Send Forget when no key is attached to the lease.
	Forget struct{}

	// Tick advances time.
	Tick struct{}

	// Effect is an action that the caller of Step must carry out.
	Effect interface{ effect() }

	// Grant requests a lease from the store; the reply is Granted.
	Grant struct{ TTL time.Duration }

	// Renew extends the lease; the reply is Renewed.
	Renew struct{ ID store.Lease }

	// Acquired reports a new lease, under which shards may be taken.
	Acquired struct{ ID store.Lease }

	// Lost reports that the lease has expired and the store has deleted its keys.
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

// ID returns the lease held, zero without one.
func (l *Lease) ID() store.Lease { return l.id }

// Until returns the time before which no other daemon can take a key that is
// attached to the lease. It is zero without a lease.
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
			return nil // Forget came in between
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

// backOff delays the next request after a failure. Jitter spreads the daemons'
// requests when the store recovers.
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
