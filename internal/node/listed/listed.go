// Package listed keeps a daemon's key in the platform's store for as long as the
// daemon lives.
//
// The key is written under a lease, so it vanishes when the daemon dies. The
// store may revoke the lease, lose the answer to a renewal, or be away longer
// than the lease lasts; the key is then written again under a new lease as soon
// as the store answers.
package listed

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/plat/store"
)

const (
	// TTL is the lease's: a VM with a disk that died is missed
	// after this long. Renewals cost a tenth of a read.
	TTL = 2 * time.Second
	// renewals is how many fit into a lease, so that one may fail before the
	// key lapses.
	renewals = 2.7
	// endTime bounds the last call of a daemon that stops.
	endTime = 700 * time.Millisecond
	// backOff bounds the pause after failures, so that an outage isn't
	// followed by a storm of calls.
	backOff = 1200 * time.Millisecond
)

// Listed keeps one key. Set the fields, then call Run.
type Listed struct {
	Store store.Shared
	Key   string
	Data  func() []byte // the value; written again when it changes
	OnEnd func(error)   // told when the key may have lapsed, and nil when it stands again

	lease   store.Lease
	written []byte
	wake    chan struct{}
	down    bool
}

// Init makes the value ready for Wake. Run calls it if need be.
func (l *Listed) Init() {
	if l.wake == nil {
		l.wake = make(chan struct{}, 1)
	}
}

// Wake has the value looked at again now.
func (l *Listed) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run keeps the key until ctx ends, and removes it then.
func (l *Listed) Run(ctx context.Context) {
	l.Init()
	renew := time.Duration(TTL.Seconds() / renewals * float64(time.Second))
	wait := renew
	for {
		err := l.step(ctx)
		if ctx.Err() != nil {
			l.remove()
			return
		}
		l.tell(err)
		if err == nil {
			wait = renew
		} else {
			wait = min(2*wait, backOff)
		}
		select {
		case <-time.After(wait*4/5 + rand.N(wait/5)):
		case <-l.wake:
		case <-ctx.Done():
			l.remove()
			return
		}
	}
}

func (l *Listed) tell(err error) {
	if down := err != nil; down != l.down {
		l.down = down
		if l.OnEnd != nil {
			l.OnEnd(err)
		}
	}
}

// step renews the lease or writes the key. A lease of which nothing is known
// any more is left to lapse.
func (l *Listed) step(ctx context.Context) error {
	if l.lease != 0 {
		err := l.Store.Renew(ctx, l.lease)
		if errors.Is(err, store.ErrLeaseExpired) {
			l.lease = 0
		} else if err != nil {
			return err
		}
	}
	data := l.Data()
	if l.lease != 0 && bytes.Equal(data, l.written) {
		return nil
	}
	lease := l.lease
	if lease == 0 {
		var err error
		if lease, err = l.Store.Grant(ctx, TTL); err != nil {
			return err
		}
	}
	if _, err := l.Store.Set(ctx, l.Key, data, lease); err != nil {
		return err
	}
	l.lease = lease
	l.written = data
	return nil
}

// remove ends the lease, so that nobody has to wait until it lapses.
func (l *Listed) remove() {
	if l.lease == 0 {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), endTime)
	defer stop()
	_ = l.Store.Revoke(ctx, l.lease) // it lapses by itself otherwise
}
