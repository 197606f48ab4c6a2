package frontd

import (
	"context"
	"time"

	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/mesh"
	"github.com/slaterock/slaterock/internal/node/scout"
)

// A daemon that takes callers has a key without a lease, which stays behind when
// its VM is lost for good. Datagrams would be sent there for ever, and each start
// of a daemon would find more names of which nothing is heard. So the daemon that
// reads the store removes keys of those who have been silent for long. One that was
// only cut off finds its key gone and writes it again.

// goneFor is how long a daemon must be silent before its key is removed: longer than
// VMs take to start again, or are cut off as a rule.
const goneFor = 30 * time.Second

// looksApart is the longest pause between two looks after which silence is one: daemons
// start again within two seconds. Only the one that reads for all looks, twice a second.
const looksApart = 2 * time.Second

// absent keeps since when listed daemons have been silent. The zero value is ready.
type absent struct {
	since  map[string]time.Time
	looked time.Time
}

// note returns a daemon that has been silent for long, if there is one.
func (a *absent) note(now time.Time, others []fleet.Entry, p mesh.Summary) (node string, found bool) {
	if now.Sub(a.looked) > looksApart {
		a.since = nil
	}
	a.looked = now
	if !p.ReachesHalf(len(others)) {
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
		if now.Sub(next[e.Node]) >= goneFor {
			node, found = e.Node, true
		}
	}
	a.since = next
	return node, found
}

// removeGone removes the key of a daemon that has been silent for long.
func (d *Daemon) removeGone(ctx context.Context) {
	now := time.Now()
	node, found := d.absent.note(now, d.others(mesh.Summary{}), d.meshio.Summary(now))
	if !found {
		return
	}
	err := d.Store.Remove(ctx, scout.FrontPrefix+node)
	d.Log.Info().Err(err).Str("peer", node).Dur("silent_ms", goneFor).Msg("key of a daemon that is gone removed")
}
