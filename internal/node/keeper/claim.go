package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/slaterock/slaterock/internal/disk/recsrv"
	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/node/scout"
	"github.com/slaterock/slaterock/internal/peer/link"
)

// lifeTime bounds the question whether a VM lives. An exchange takes milliseconds.
const lifeTime = 300 * time.Millisecond

// noteMissing notes since when nodes with a place have not been listed. After an
// outage all keys may have lapsed, of daemons that live.
func (k *Keeper) noteMissing(s scout.State) {
	now := time.Now()
	if now.Sub(k.returned) < settle {
		k.missing = nil
		return
	}
	listed := map[string]bool{}
	for _, m := range s.Members {
		listed[m.Node] = true
	}
	next := map[string]time.Time{}
	for _, p := range s.Roster.Replicas {
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
func (k *Keeper) long() time.Duration {
	if k.isNew() {
		return roster.TakeoverDelayEmptyDisk
	}
	return roster.TakeoverDelay
}

// isNew tells whether this VM has just started with an empty disk.
func (k *Keeper) isNew() bool { return k.blank && time.Since(k.started) < newFor }

// claim takes a place if there is one to take.
func (k *Keeper) claim(ctx context.Context, s scout.State) bool {
	now := time.Now()
	if _, ok := s.Roster.Claim(now, k.self(), s.Members, k.missing, k.long()); !ok {
		return false
	}
	k.passLiving(ctx, s.Roster)
	if _, ok := s.Roster.Claim(now, k.self(), s.Members, k.missing, k.long()); !ok {
		return false
	}
	return k.change(ctx, func(s scout.State) (roster.Roster, bool) {
		k.noteMissing(s)
		return s.Roster.Claim(now, k.self(), s.Members, k.missing, k.long())
	}, "place claimed")
}

// passLiving has places whose VMs answer not count as missing. The store lists no VM that
// it turned away, or whose key lapsed in an outage that this one, just started, has not
// seen. Its place would be taken while it serves, and all records copied for nothing.
func (k *Keeper) passLiving(ctx context.Context, r roster.Roster) {
	living := make([]bool, len(r.Replicas))
	var work sync.WaitGroup
	for i, p := range r.Replicas {
		if _, missing := k.missing[p.Node]; missing {
			work.Go(func() { living[i] = k.lives(ctx, p) })
		}
	}
	work.Wait()
	for i, p := range r.Replicas {
		if living[i] {
			k.Log.Warn().Str("peer", p.Node).Dur("missing_ms", time.Since(k.missing[p.Node])).Msg("place not claimed: its VM is not listed, but answers")
			delete(k.missing, p.Node)
		}
	}
}

// lives tells whether the VM of a place answers, with the disk that holds the records.
func (k *Keeper) lives(ctx context.Context, p roster.Replica) bool {
	ctx, stop := context.WithTimeout(ctx, lifeTime)
	defer stop()
	var life string
	err := link.Ask(ctx, k.peers()(p.Address), recsrv.MethodDiskID, struct{}{}, &life)
	return err == nil && life == p.DiskID
}
