// Package regkey keeps a daemon registered in the platform's store under a key without
// a lease.
//
// Other daemons detect by missing datagrams within 1.5 s that this one is lost, so the key
// need not expire, and lease renewals by hundreds of daemons would cost more than all other
// calls to the store. Nor can all keys lapse during an outage of the store. A daemon that
// finds its key up to date after a restart writes nothing. It removes the key on a planned
// stop; the key of a daemon that is lost permanently is removed by others.
package regkey

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/slaterock/slaterock/internal/peer/pause"
	"github.com/slaterock/slaterock/internal/plat/store"
)

const (
	// checkInterval is the pause between checks of the key in the daemon's copy of the
	// store's state, which cost no call. Until the key is written, other daemons do not
	// find this one in the store.
	checkInterval = 500 * time.Millisecond
	// visibleWithin is how long a written key may take to show in the daemon's copy: reads
	// of the store are half a second apart, and a second while another daemon takes over
	// the reading.
	visibleWithin = 3 * time.Second
	// maxBackoff bounds the pause after failures. Retries back off so that the end of an
	// outage is not followed by a burst of calls.
	maxBackoff = 1200 * time.Millisecond
	// removeTimeout bounds the call of Remove.
	removeTimeout = 700 * time.Millisecond
)

// Registration keeps one key. Set the exported fields, then call Run.
type Registration struct {
	Store store.Shared
	Key   string
	Data  func() []byte
	// UpToDate reports whether the key holds the data in the daemon's copy of the store's state.
	UpToDate func() bool
	// OnStatus is called with an error when writes start to fail, and with nil once one
	// succeeds again.
	OnStatus func(error)

	down bool
}

// Run writes the key whenever it is not up to date, until ctx ends.
func (p *Registration) Run(ctx context.Context) {
	wait, wrote := checkInterval, time.Time{}
	for {
		if !p.UpToDate() && time.Since(wrote) > visibleWithin {
			_, err := p.Store.Set(ctx, p.Key, p.Data(), 0)
			if ctx.Err() != nil {
				return
			}
			p.report(err)
			if err == nil {
				wait, wrote = checkInterval, time.Now()
			} else {
				wait = min(2*wait, maxBackoff)
			}
		}
		if !pause.For(ctx, wait*4/5+rand.N(wait/5)) {
			return
		}
	}
}

// Remove deletes the key. After an error it is left to other daemons to remove it.
func (p *Registration) Remove(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, removeTimeout)
	defer stop()
	return p.Store.Remove(ctx, p.Key)
}

func (p *Registration) report(err error) {
	if down := err != nil; down != p.down {
		p.down = down
		if p.OnStatus != nil {
			p.OnStatus(err)
		}
	}
}
