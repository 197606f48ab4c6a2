package frontd

import (
	"context"
	"sync"
	"time"

	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/mesh"
	"github.com/slaterock/slaterock/internal/node/discov"
)

// A front's key has no lease, so it stays behind when its VM is lost permanently. Datagrams
// would be sent there forever, and the list that each starting front reads would collect more
// and more dead entries. So the front that reads the store removes the keys of fronts that
// have been silent for lostAfter. One that was only partitioned finds its key missing and
// writes it again.

// lostAfter is how long a front must be silent before its key is removed: longer than VMs
// take to restart, and than most network partitions last.
const lostAfter = 30 * time.Second

// maxCheckGap is the longest pause between two checks for which a silence counts as
// uninterrupted: fronts restart within two seconds. Only the front that reads the store for
// all checks, twice a second.
const maxCheckGap = 2 * time.Second

// silentPeers tracks since when listed fronts have been silent. The zero value is ready for use.
type silentPeers struct {
	mu        sync.Mutex // the loop that reads the store checks, and so does a request that reads it at once
	since     map[string]time.Time
	checkedAt time.Time
}

// check returns a front that has been silent for lostAfter, if there is one. A front that
// hears from less than half of the others is partitioned itself and starts over.
func (s *silentPeers) check(now time.Time, others []fleet.Entry, p mesh.Summary) (node string, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.checkedAt) > maxCheckGap {
		s.since = nil
	}
	s.checkedAt = now
	if !p.ReachesHalf(len(others)) {
		s.since = nil
		return "", false
	}
	s.since = silences(s.since, now, others, p)
	for _, e := range others {
		if since, silent := s.since[e.Node]; silent && now.Sub(since) >= lostAfter {
			node, found = e.Node, true
		}
	}
	return node, found
}

// silences returns since when each of the other fronts that is not alive has been silent, by its node. Before has what was
// known at the last check.
func silences(before map[string]time.Time, now time.Time, others []fleet.Entry, p mesh.Summary) map[string]time.Time {
	silent := map[string]time.Time{}
	for _, e := range others {
		if _, alive := p.Status(mesh.IDOf(e.Node)); alive {
			continue
		}
		silent[e.Node] = now
		if since, known := before[e.Node]; known {
			silent[e.Node] = since
		}
	}
	return silent
}

// removeLost removes the key of a front that has been silent for lostAfter, if there is one.
func (d *Daemon) removeLost(ctx context.Context) {
	now := time.Now()
	node, found := d.silentPeers.check(now, d.others(mesh.Summary{}), d.meshio.Summary(now))
	if !found {
		return
	}
	err := d.Store.Remove(ctx, discov.FrontPrefix+node)
	d.Log.Info().Err(err).Str("peer", node).Dur("silent_ms", lostAfter).Msg("removal of a lost front's key ended")
}
