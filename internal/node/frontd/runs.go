package frontd

import (
	"time"

	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/mesh"
	"github.com/slaterock/slaterock/internal/front/owners"
	"github.com/slaterock/slaterock/internal/front/runio"
)

// ownerList is what runOwners returns for the listed fronts.
type ownerList struct {
	entries []fleet.Entry
	owners  []owners.Owner
}

// connectRuns has this front keep runs for others, and tell others of its own.
func (d *Daemon) connectRuns() {
	now := time.Now()
	d.runs.Self, d.runs.Started = d.Settings.Peer, now
	d.runs.Listed, d.runs.Send = d.runOwners, d.meshio.Send
	d.runs.Heard = func(node string) bool {
		p := d.meshio.Summary(time.Now())
		_, alive := p.Status(mesh.IDOf(node))
		return alive || !p.ReachesHalf(len(d.peers())) // this front is cut off, or was frozen a moment ago
	}
	d.runs.AllHeard = func() bool { return d.meshio.Summary(time.Now()).Fronts >= len(d.entries()) }
	d.runs.Table.Complete(now)
	d.meshio.RunsTag, d.meshio.Runs = runio.Tag, d.runs.Receive
}

// runOwners returns the listed fronts. The list must not be changed.
func (d *Daemon) runOwners() []owners.Owner {
	entries := d.entries()
	if last := d.ownerCache.Load(); last != nil && sameList(last.entries, entries) {
		return last.owners
	}
	next := ownerList{entries: entries}
	for _, e := range entries {
		next.owners = append(next.owners, owners.Owner{Node: e.Node, Address: e.Peer})
	}
	d.ownerCache.Store(&next)
	return next.owners
}
