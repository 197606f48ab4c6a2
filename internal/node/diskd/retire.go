package diskd

import (
	"context"
	"time"

	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/node/discov"
)

// checkRetirement reads whether the operator wants this VM emptied, gives its place up if no
// other VM can take it, and reports the progress.
func (k *Daemon) checkRetirement(ctx context.Context, s discov.State) {
	if time.Since(k.operatorReadAt) < operatorInterval {
		return
	}
	k.operatorReadAt = time.Now()
	nodes, err := k.Operator.RetiringNodes(ctx)
	if err != nil {
		return // read again after operatorInterval; check logs outages
	}
	if requested := nodes[k.Settings.Node]; requested != k.retiring.Load() {
		k.retiring.Store(requested)
		k.retiringSince = time.Now()
		k.holder.Freeze(false)
		k.Log.Info().Bool("retiring", k.retiring.Load()).Msg("operator's request to empty this VM changed")
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
	k.Log.Info().Err(err).Str("state", state).Msg("retirement state reported to the operator")
	if err == nil {
		k.reported = state
	}
}

// hasSpare reports whether a VM without a place could take this one's, or is joining already.
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

// giveUpPlace removes this VM's place from the roster where no other VM can take it. All
// records are copied to the remaining places first, so that each of them holds everything.
// With only as many places as a write needs it does nothing.
func (k *Daemon) giveUpPlace(ctx context.Context) {
	r := k.discov.Roster()
	if len(r.Places) <= r.Writes() {
		return // with fewer places a loss could not be tolerated
	}
	k.holder.Freeze(true)
	if err := k.holder.HandOver(ctx, r, k.peers()); err != nil {
		k.holder.Freeze(false)
		k.Log.Warn().Err(err).Msg("records not handed over")
		return
	}
	life := k.holder.Life()
	k.updateRoster(ctx, func(s discov.State) (roster.Roster, bool) {
		_, in := s.Roster.Find(life)
		return s.Roster.Without(life), in && s.Roster.Version == r.Version
	}, "place given up")
}
