package diskd

import (
	"context"
	"time"

	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/node/discov"
)

// checkRetirement reads whether the operator wants this VM emptied, gives its place up if no
// other VM can take it, and reports the progress.
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
		d.giveUpPlace(ctx)
	}
	complete := !in && s.Roster.Version > 0 && !joining(s.Roster)
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

// hasSpare reports whether a VM without a place could take this one's, or is joining already.
func hasSpare(s discov.State) bool {
	for _, m := range s.Members {
		if _, in := s.Roster.Find(m.DiskID); !in && !m.Retiring {
			return true
		}
	}
	return joining(s.Roster)
}

func joining(r roster.Roster) bool {
	for _, p := range r.Replicas {
		if p.Joining {
			return true
		}
	}
	return false
}

// giveUpPlace removes this VM's place from the roster where no other VM can take it. All
// records are copied to the remaining places first, so that each of them holds everything.
// With only as many places as a write needs it does nothing.
func (d *Daemon) giveUpPlace(ctx context.Context) {
	r := d.discov.Roster()
	if len(r.Replicas) <= r.WriteQuorum() {
		return // with fewer places a loss could not be tolerated
	}
	d.recsrv.Freeze(true)
	if err := d.recsrv.CopyToOthers(ctx, r, d.peers()); err != nil {
		d.recsrv.Freeze(false)
		d.Log.Warn().Err(err).Msg("records not handed over")
		return
	}
	life := d.recsrv.DiskID()
	d.updateRoster(ctx, func(s discov.State) (roster.Roster, bool) {
		_, in := s.Roster.Find(life)
		return s.Roster.Without(life), in && s.Roster.Version == r.Version
	}, "place given up")
}
