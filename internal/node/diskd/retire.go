package diskd

import (
	"context"
	"time"

	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/node/discov"
)

// checkRetirement reads whether the operator wants this VM emptied, resigns as replica if no
// other VM can replace it, and reports the progress.
func (d *Daemon) checkRetirement(ctx context.Context, s discov.State) {
	if time.Since(d.operatorReadAt) < operatorInterval {
		return
	}
	d.operatorReadAt = time.Now()
	nodes, err := d.Operator.RetiringNodes(ctx)
	if err != nil {
		return // read again after operatorInterval; check logs outages
	}
	if requested := nodes[d.Settings.Node]; requested != d.retiring.Load() {
		d.retiring.Store(requested)
		d.retiringSince = time.Now()
		if d.resigning == 0 {
			d.recsrv.Freeze(false)
		}
		d.Log.Info().Bool("retiring", d.retiring.Load()).Msg("operator's request to empty this VM changed")
		d.leased.Wake()
	}
	switch {
	case d.mayResign(s):
		d.resign(ctx)
	case d.resigning > 0:
		d.keepPlace(ctx)
	}
	if !d.retiring.Load() {
		return
	}
	// The roster may name this VM with a disk that it has lost.
	complete := !s.Roster.Names(d.Settings.Node) && s.Roster.Version > 0 && s.Roster.Joining() == 0
	state := map[bool]string{true: "complete", false: "running"}[complete]
	if d.reported == state {
		return
	}
	err = d.Operator.ReportRetirement(ctx, d.Settings.Node, complete)
	d.Log.Info().Err(err).Str("state", state).Msg("report of retirement state to the operator ended")
	if err == nil {
		d.reported = state
	}
}

// mayResign reports whether this VM is to be emptied, and no other can replace it. Of several such VMs one resigns at a time:
// each refuses records meanwhile.
func (d *Daemon) mayResign(s discov.State) bool {
	r := s.Roster
	self, in := r.Find(d.recsrv.DiskID())
	if !in || self.Joining || !d.retiring.Load() || r.HasSpare(s.Members) || r.Joining() > 0 || len(r.Replicas) <= r.WriteQuorum() {
		return false // with no more replicas than a write needs, a loss could not be tolerated
	}
	before := 0
	for _, m := range s.Members {
		if _, isReplica := r.Find(m.DiskID); isReplica && m.Retiring && m.Node < d.Settings.Node {
			before++
		}
	}
	return time.Since(d.retiringSince) > handOverDelay+time.Duration(before)*resignTime
}

// resign removes this VM from the roster. Its records are
// copied to each remaining replica first, so that a write quorum still holds every acknowledged
// record.
func (d *Daemon) resign(ctx context.Context) {
	r := d.discov.Roster()
	d.recsrv.Freeze(true)
	if err := d.recsrv.CopyToOthers(ctx, r, d.peers()); err != nil {
		if d.resigning == 0 {
			d.recsrv.Freeze(false)
		}
		d.Log.Warn().Err(err).Msg("records not handed over")
		return
	}
	diskID := d.recsrv.DiskID()
	d.resigning = r.Version
	left := d.updateRoster(ctx, func(s discov.State) (roster.Roster, bool) {
		_, in := s.Roster.Find(diskID)
		return s.Roster.Without(diskID), in && s.Roster.Version == r.Version
	}, "place given up")
	if left {
		d.resigning = 0
	}
}

// keepPlace writes the next version of the roster without a change, so that a write by which this VM would leave, and which
// may still be on its way, fails.
func (d *Daemon) keepPlace(ctx context.Context) {
	d.updateRoster(ctx, func(s discov.State) (roster.Roster, bool) {
		next := s.Roster
		next.Version++
		return next, s.Roster.Version == d.resigning
	}, "place kept")
}

// thaw takes records again once it is known that this VM has not left the roster: another write of it came first.
func (d *Daemon) thaw(r roster.Roster) {
	if d.resigning == 0 || r.Version <= d.resigning {
		return
	}
	d.resigning = 0
	if _, in := r.Find(d.recsrv.DiskID()); !in && d.retiring.Load() {
		return // it has left after all
	}
	d.recsrv.Freeze(false)
	d.Log.Info().Uint64("roster", r.Version).Msg("records are taken again: this VM has not left the roster")
}
