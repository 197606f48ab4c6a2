package keeper

import (
	"context"
	"time"

	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/node/scout"
)

// askOperator looks whether this VM is to be emptied, and answers when it is.
func (k *Keeper) askOperator(ctx context.Context, s scout.State) {
	if time.Since(k.askedAt) < askEvery {
		return
	}
	k.askedAt = time.Now()
	nodes, err := k.Operator.Retiring(ctx)
	if err != nil {
		return // asked again at the next look; the scan before tells of outages
	}
	if asked := nodes[k.Settings.Node]; asked != k.retiring.Load() {
		k.retiring.Store(asked)
		k.since = time.Now()
		k.recsrv.Freeze(false)
		k.Log.Info().Bool("retiring", k.retiring.Load()).Msg("the operator asks to empty this VM")
		k.listed.Wake()
	}
	if !k.retiring.Load() {
		return
	}
	_, in := s.Roster.Find(k.recsrv.DiskID())
	if in && time.Since(k.since) > alone && !spare(s) {
		k.leave(ctx)
	}
	complete := !in && s.Roster.Version > 0 && !joining(s.Roster)
	state := map[bool]string{true: "complete", false: "running"}[complete]
	if k.told == state {
		return
	}
	err = k.Operator.Retired(ctx, k.Settings.Node, complete)
	k.Log.Info().Err(err).Str("state", state).Msg("the operator is told")
	if err == nil {
		k.told = state
	}
}

// spare tells whether a VM without a place could take this one's.
func spare(s scout.State) bool {
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

// leave gives the place up where nobody can take it: the others get all records
// first, so that each of them holds everything.
func (k *Keeper) leave(ctx context.Context) {
	r := k.scout.Roster()
	if len(r.Replicas) <= r.WriteQuorum() {
		return // fewer places could not bear a loss any more
	}
	k.recsrv.Freeze(true)
	if err := k.recsrv.CopyToOthers(ctx, r, k.peers()); err != nil {
		k.recsrv.Freeze(false)
		k.Log.Warn().Err(err).Msg("records were not handed over")
		return
	}
	life := k.recsrv.DiskID()
	k.change(ctx, func(s scout.State) (roster.Roster, bool) {
		_, in := s.Roster.Find(life)
		return s.Roster.Without(life), in && s.Roster.Version == r.Version
	}, "place given up")
}
