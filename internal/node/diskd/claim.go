package diskd

import (
	"context"
	"sync"
	"time"

	"github.com/slaterock/slaterock/internal/disk/recsrv"
	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/node/discov"
	"github.com/slaterock/slaterock/internal/peer/link"
)

// aliveTimeout bounds the call that checks whether a VM is alive. A round trip takes
// milliseconds.
const aliveTimeout = 300 * time.Millisecond

// trackMissing records since when the nodes of replicas have not been listed. It starts over
// during returnGrace after an outage of the store: all keys may have lapsed in it, also those
// of live daemons.
func (d *Daemon) trackMissing(s discov.State) {
	now := time.Now()
	if now.Sub(d.storeUpAt) < returnGrace {
		d.missing = nil
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
		if since, known := d.missing[p.Node]; known {
			next[p.Node] = since
		}
	}
	d.missing = next
}

// takeoverDelay is how long a replica's VM must be missing before this VM replaces it.
func (d *Daemon) takeoverDelay() time.Duration {
	if d.isNew() {
		return roster.TakeoverDelayEmptyDisk
	}
	return roster.TakeoverDelay
}

// isNew reports whether this VM started with an empty disk less than newVMTime ago.
func (d *Daemon) isNew() bool { return d.emptyDisk && time.Since(d.started) < newVMTime }

// claim makes this VM a joining replica if it can become one, and reports whether it did.
func (d *Daemon) claim(ctx context.Context, s discov.State) bool {
	now := time.Now()
	if _, ok := s.Roster.Claim(now, d.self(), s.Members, d.missing, d.takeoverDelay()); !ok {
		return false
	}
	d.excludeLive(ctx, s.Roster)
	if _, ok := s.Roster.Claim(now, d.self(), s.Members, d.missing, d.takeoverDelay()); !ok {
		return false
	}
	return d.updateRoster(ctx, func(s discov.State) (roster.Roster, bool) {
		d.trackMissing(s)
		return s.Roster.Claim(now, d.self(), s.Members, d.missing, d.takeoverDelay())
	}, "place claimed")
}

// excludeLive removes from d.missing the VMs of replicas that answer with the replica's disk
// ID. A live VM may be unlisted because the store refuses its calls, or because its key lapsed
// in an outage before this VM started. It would be replaced while it serves, and all records
// copied needlessly.
func (d *Daemon) excludeLive(ctx context.Context, r roster.Roster) {
	alive := make([]bool, len(r.Replicas))
	var work sync.WaitGroup
	for i, p := range r.Replicas {
		if _, missing := d.missing[p.Node]; missing {
			work.Go(func() { alive[i] = d.isAlive(ctx, p) })
		}
	}
	work.Wait()
	for i, p := range r.Replicas {
		if alive[i] {
			d.Log.Warn().Str("peer", p.Node).Dur("missing_ms", time.Since(d.missing[p.Node])).Msg("replica not replaced: its VM is not listed in the store but answers")
			delete(d.missing, p.Node)
		}
	}
}

// isAlive reports whether the replica's VM answers and its disk still has the replica's disk ID.
func (d *Daemon) isAlive(ctx context.Context, p roster.Replica) bool {
	ctx, stop := context.WithTimeout(ctx, aliveTimeout)
	defer stop()
	var diskID string
	err := link.InvokeTyped(ctx, d.peers()(p.Address), recsrv.MethodDiskID, struct{}{}, &diskID)
	return err == nil && diskID == p.DiskID
}
