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
		d.recsrv.Freeze(false)
		d.Log.Info().Bool("retiring", d.retiring.Load()).Msg("operator's request to empty this VM changed")
		d.leased.Wake()
	}
	if !d.retiring.Load() {
		return
	}
	_, in := s.Roster.Find(d.recsrv.DiskID())
	if in && time.Since(d.retiringSince) > handOverDelay && !hasSpare(s) {
		d.resign(ctx)
	}
	complete := !in && s.Roster.Version > 0 && s.Roster.Joining() == 0
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

// hasSpare reports whether a VM that is not a replica could replace this one, or a replica is
// joining already.
func hasSpare(s discov.State) bool {
	for _, m := range s.Members {
		if _, in := s.Roster.Find(m.DiskID); !in && !m.Retiring {
			return true
		}
	}
	return s.Roster.Joining() > 0
}

// resign removes this VM from the roster where no other VM can replace it. Its records are
// copied to each remaining replica first, so that a write quorum still holds every acknowledged
// record. With only as many replicas as a write needs it does nothing.
func (d *Daemon) resign(ctx context.Context) {
	r := d.discov.Roster()
	if len(r.Replicas) <= r.WriteQuorum() {
		return // with fewer replicas a loss could not be tolerated
	}
	d.recsrv.Freeze(true)
	if err := d.recsrv.CopyToOthers(ctx, r, d.peers()); err != nil {
		d.recsrv.Freeze(false)
		d.Log.Warn().Err(err).Msg("records not handed over")
		return
	}
	diskID := d.recsrv.DiskID()
	d.updateRoster(ctx, func(s discov.State) (roster.Roster, bool) {
		_, in := s.Roster.Find(diskID)
		return s.Roster.Without(diskID), in && s.Roster.Version == r.Version
	}, "place given up")
}
