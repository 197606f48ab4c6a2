// Package posted keeps a daemon's address in the platform's store.
//
// The key has no lease: others notice within a second and a half by datagrams that
// the daemon is gone, so nobody needs the key to lapse, and renewals by hundreds of
// daemons cost more than all else that is asked of the store. Nor do all keys lapse
// while the store is away. A daemon that finds its key as it should be, after a
// restart, writes nothing. It removes the key when it stops as planned; that of one
// that never comes back is removed by the others.
package regkey

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/slaterock/slaterock/internal/peer/pause"
	"github.com/slaterock/slaterock/internal/plat/store"
)

const (
	// lookEvery is the pause between looks at what the daemon knows of its own
	// key, which costs no call. The others have no way to it until it stands.
	checkInterval = 500 * time.Millisecond
	// learn is how long the daemon may take to hear of what it wrote: readings
	// are half a second apart, and a second while their reader is replaced.
	visibleWithin = 3 * time.Second
	// backOff bounds the pause after failures, so that an outage isn't followed
	// by a storm of calls.
	maxBackoff = 1200 * time.Millisecond
	// removeTime bounds the removal.
	removeTimeout = 700 * time.Millisecond
)

// Posted keeps one key. Set the fields, then call Run.
type Registration struct {
	Store    store.Shared
	Key      string
	Data     func() []byte
	UpToDate func() bool // whether the key holds the data, as far as the daemon knows
	OnStatus func(error) // told when the key can't be written, and nil when it was

	down bool
}

// Run sees to it that the key stands, until ctx ends.
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

// Remove removes the key. If it stays, others remove it later.
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
