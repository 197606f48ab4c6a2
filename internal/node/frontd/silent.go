package frontd

import (
	"context"
	"time"

	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/mesh"
	"github.com/slaterock/slaterock/internal/node/discov"
)

// A daemon that takes callers has a key without a lease, which stays behind when
// its VM is lost for good. Datagrams would be sent there for ever, and each start
// of a daemon would find more names of which nothing is heard. So the daemon that
// reads the store removes keys of those who have been silent for long. One that was
// only cut off finds its key gone and writes it again.

// goneFor is how long a daemon must be silent before its key is removed: longer than
// VMs take to start again, or are cut off as a rule.
const lostAfter = 30 * time.Second

// looksApart is the longest pause between two looks after which silence is one: daemons
// start again within two seconds. Only the one that reads for all looks, twice a second.
const maxCheckGap = 2 * time.Second

// absent keeps since when listed daemons have been silent. The zero value is ready.
type silentPeers struct {
	since     map[string]time.Time
	checkedAt time.Time
}

// note returns a daemon that has been silent for long, if there is one.
func (a *silentPeers) check(now time.Time, others []fleet.Entry, p mesh.Picture) (node string, found bool) {
	if now.Sub(a.checkedAt) > maxCheckGap {
		a.since = nil
	}
	a.checkedAt = now
	if !p.Trusted(len(others)) {
		a.since = nil
		return "", false
	}
	next := map[string]time.Time{}
	for _, e := range others {
		if _, alive := p.Alive[mesh.IDOf(e.Node)]; alive {
			continue
		}
		next[e.Node] = now
		if since, known := a.since[e.Node]; known {
			next[e.Node] = since
		}
		if now.Sub(next[e.Node]) >= lostAfter {
			node, found = e.Node, true
		}
	}
	a.since = next
	return node, found
}

// removeGone removes the key of a daemon that has been silent for long.
func (d *Daemon) removeLost(ctx context.Context) {
	now := time.Now()
	node, found := d.silentPeers.check(now, d.others(mesh.Picture{}), d.rumor.Picture(now))
	if !found {
		return
	}
	err := d.Store.Remove(ctx, discov.FrontPrefix+node)
	d.Log.Info().Err(err).Str("peer", node).Dur("silent_ms", lostAfter).Msg("key of a daemon that is gone removed")
}
