// Package leased keeps a daemon registered in the platform's store under a key with a
// lease, for as long as the daemon is alive.
//
// The key expires when the daemon dies. The store may also revoke the lease, lose
// the answer to a renewal, or be unavailable for longer than the lease lasts; the key
// is then written again under a new lease as soon as the store answers.
package leased

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/plat/store"
)

const (
	// TTL is the lease's lifetime, after which the loss of a VM with a disk is noticed.
	// A renewal costs a tenth of a read.
	TTL = 2 * time.Second
	// renewalsPerTTL is how many renewals fit into the TTL, so that one may fail before
	// the lease lapses.
	renewalsPerTTL = 2.7
	// revokeTimeout bounds the call that revokes the lease when the daemon stops.
	revokeTimeout = 700 * time.Millisecond
	// maxBackoff bounds the pause after failures. Retries back off so that the end of an
	// outage is not followed by a burst of calls.
	maxBackoff = 1200 * time.Millisecond
)

// Registration keeps one key. Set the exported fields, then call Run.
type Registration struct {
	Store store.Shared
	Key   string
	Data  func() []byte // the key's value; written again when it changes
	// OnStatus is called with an error when a renewal or a write starts to fail, so that the
	// key may lapse, and with nil once one succeeds again.
	OnStatus func(error)

	lease   store.Lease
	written []byte
	wake    chan struct{}
	down    bool
}

// Init must be called before Wake if Run may not have started yet. Run calls it, too.
func (l *Registration) Init() {
	if l.wake == nil {
		l.wake = make(chan struct{}, 1)
	}
}

// Wake makes Run renew the lease and compare the value at once.
func (l *Registration) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run keeps the key until ctx ends, then revokes its lease.
func (l *Registration) Run(ctx context.Context) {
	l.Init()
	renew := time.Duration(TTL.Seconds() / renewalsPerTTL * float64(time.Second))
	wait := renew
	for {
		err := l.step(ctx)
		if ctx.Err() != nil {
			l.revoke()
			return
		}
		l.report(err)
		if err == nil {
			wait = renew
		} else {
			wait = min(2*wait, maxBackoff)
		}
		select {
		case <-time.After(wait*4/5 + rand.N(wait/5)):
		case <-l.wake:
		case <-ctx.Done():
			l.revoke()
			return
		}
	}
}

func (l *Registration) report(err error) {
	if down := err != nil; down != l.down {
		l.down = down
		if l.OnStatus != nil {
			l.OnStatus(err)
		}
	}
}

// step renews the lease, and writes the key if the lease or the value is new. A lease that
// was granted, but whose key could not be written, is left to lapse.
func (l *Registration) step(ctx context.Context) error {
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

// revoke ends the lease, which deletes the key without waiting for the TTL.
func (l *Registration) revoke() {
	if l.lease == 0 {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), revokeTimeout)
	defer stop()
	_ = l.Store.Revoke(ctx, l.lease) // on failure it lapses after its TTL
}
