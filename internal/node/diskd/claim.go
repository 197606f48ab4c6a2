package diskd

import (
	"context"
	"sync"
	"time"

	"github.com/slaterock/slaterock/internal/disk/holder"
	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/node/discov"
	"github.com/slaterock/slaterock/internal/peer/link"
)

// lifeTime bounds the question whether a VM lives. An exchange takes milliseconds.
const lifeTimeout = 300 * time.Millisecond

// noteMissing notes since when nodes with a place have not been listed. After an
// outage all keys may have lapsed, of daemons that live.
func (k *Daemon) trackMissing(s discov.State) {
	now := time.Now()
	if now.Sub(k.storeUpAt) < returnGrace {
		k.missing = nil
		return
	}
	listed := map[string]bool{}
	for _, m := range s.Members {
		listed[m.Node] = true
	}
	next := map[string]time.Time{}
	for _, p := range s.Roster.Places {
		if listed[p.Node] {
			continue
		}
		next[p.Node] = now
		if since, known := k.missing[p.Node]; known {
			next[p.Node] = since
		}
	}
	k.missing = next
}

// long is how long a VM must be missing before its place is taken.
func (k *Daemon) takeOverDelay() time.Duration {
	if k.isNew() {
		return roster.TakeOverNew
	}
	return roster.TakeOver
}

// isNew tells whether this VM has just started with an empty disk.
func (k *Daemon) isNew() bool { return k.emptyDisk && time.Since(k.started) < newVMTime }

// claim takes a place if there is one to take.
func (k *Daemon) claim(ctx context.Context, s discov.State) bool {
	now := time.Now()
	if _, ok := s.Roster.Claim(now, k.self(), s.Members, k.missing, k.takeOverDelay()); !ok {
		return false
	}
	k.excludeLive(ctx, s.Roster)
	if _, ok := s.Roster.Claim(now, k.self(), s.Members, k.missing, k.takeOverDelay()); !ok {
		return false
	}
	return k.updateRoster(ctx, func(s discov.State) (roster.Roster, bool) {
		k.trackMissing(s)
		return s.Roster.Claim(now, k.self(), s.Members, k.missing, k.takeOverDelay())
	}, "place claimed")
}

// passLiving has places whose VMs answer not count as missing. The store lists no VM that
// it turned away, or whose key lapsed in an outage that this one, just started, has not
// seen. Its place would be taken while it serves, and all records copied for nothing.
func (k *Daemon) excludeLive(ctx context.Context, r roster.Roster) {
	alive := make([]bool, len(r.Places))
	var work sync.WaitGroup
	for i, p := range r.Places {
		if _, missing := k.missing[p.Node]; missing {
			work.Go(func() { alive[i] = k.isAlive(ctx, p) })
		}
	}
	work.Wait()
	for i, p := range r.Places {
		if alive[i] {
			k.Log.Warn().Str("peer", p.Node).Dur("missing_ms", time.Since(k.missing[p.Node])).Msg("place not claimed: its VM is not listed, but answers")
			delete(k.missing, p.Node)
		}
	}
}

// lives tells whether the VM of a place answers, with the disk that holds the records.
func (k *Daemon) isAlive(ctx context.Context, p roster.Place) bool {
	ctx, stop := context.WithTimeout(ctx, lifeTimeout)
	defer stop()
	var life string
	err := link.Ask(ctx, k.peers()(p.Address), holder.MethodLife, struct{}{}, &life)
	return err == nil && life == p.Life
}
