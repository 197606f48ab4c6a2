package frontd

import (
	"context"
	"slices"

	"github.com/slaterock/slaterock/internal/front/fleet"
)

// post has this daemon listed in the store, unless the first reading shows that it
// still is. Others can't tell it anything before.
func (d *Daemon) register(ctx context.Context) {
	d.waitFor(ctx, func(v *fleet.View) bool { return !v.Confirmed.IsZero() })
	d.regkey.Run(ctx)
}

// self is this daemon as it is listed in the store.
func (d *Daemon) self() fleet.Entry {
	return fleet.Entry{
		Node: d.Settings.Node, Address: d.Settings.Callers, Peer: d.Settings.Peer,
		Domain: d.Settings.Domain, Cores: d.Settings.Cores,
	}
}

// stands tells whether the store lists this daemon as it is.
func (d *Daemon) registered() bool { return slices.Contains(d.fleet.View().Entries, d.self()) }

func (d *Daemon) logRegistration(err error) {
	if err != nil {
		d.Log.Warn().Err(err).Str("dependency", "store").Msg("lost: the daemon's key is not written")
		return
	}
	d.Log.Info().Str("dependency", "store").Msg("the daemon's key is written")
}

// unpost removes this daemon's key.
func (d *Daemon) deregister(ctx context.Context) {
	if err := d.regkey.Remove(ctx); err != nil && ctx.Err() == nil {
		d.Log.Warn().Err(err).Str("dependency", "store").Msg("the daemon's key is left to the others")
	}
}
