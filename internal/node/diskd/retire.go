package diskd

import (
	"context"
	"time"

	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/node/discov"
)

// askOperator looks whether this VM is to be emptied, and answers when it is.
func (k *Daemon) checkRetirement(ctx context.Context, s discov.State) {
	if time.Since(k.operatorReadAt) < operatorInterval {
		return
	}
	k.operatorReadAt = time.Now()
	nodes, err := k.Operator.RetiringNodes(ctx)
	if err != nil {
		return // asked again at the next look; the scan before tells of outages
	}
	if requested := nodes[k.Settings.Node]; requested != k.retiring.Load() {
		k.retiring.Store(requested)
		k.retiringSince = time.Now()
		k.holder.Freeze(false)
		k.Log.Info().Bool("retiring", k.retiring.Load()).Msg("the operator asks to empty this VM")
		k.leased.Wake()
	}
	if !k.retiring.Load() {
		return
	}
	_, in := s.Roster.Find(k.holder.Life())
	if in && time.Since(k.retiringSince) > handOverDelay && !hasSpare(s) {
		k.giveUpPlace(ctx)
	}
	complete := !in && s.Roster.Version > 0 && !joining(s.Roster)
	state := map[bool]string{true: "complete", false: "running"}[complete]
	if k.reported == state {
		return
	}
	err = k.Operator.ReportRetirement(ctx, k.Settings.Node, complete)
	k.Log.Info().Err(err).Str("state", state).Msg("the operator is told")
	if err == nil {
		k.reported = state
	}
}

// spare tells whether a VM without a place could take this one's.
func hasSpare(s discov.State) bool {
	for _, m := range s.Members {
		if _, in := s.Roster.Find(m.Life); !in && !m.Retiring {
			return true
		}
	}
	return joining(s.Roster)
}

func joining(r roster.Roster) bool {
	for _, p := range r.Places {
		if p.Joining {
			return true
		}
	}
	return false
}

// leave gives the place up where nobody can take it: the others get all records
// first, so that each of them holds everything.
func (k *Daemon) giveUpPlace(ctx context.Context) {
	r := k.discov.Roster()
	if len(r.Places) <= r.Writes() {
		return // fewer places could not bear a loss any more
	}
	k.holder.Freeze(true)
	if err := k.holder.HandOver(ctx, r, k.peers()); err != nil {
		k.holder.Freeze(false)
		k.Log.Warn().Err(err).Msg("records were not handed over")
		return
	}
	life := k.holder.Life()
	k.updateRoster(ctx, func(s discov.State) (roster.Roster, bool) {
		_, in := s.Roster.Find(life)
		return s.Roster.Without(life), in && s.Roster.Version == r.Version
	}, "place given up")
}
