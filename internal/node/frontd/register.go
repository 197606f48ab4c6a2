package frontd

import (
	"context"
	"slices"
	"time"

	"github.com/slaterock/slaterock/internal/front/fleet"
)

// register keeps this front listed in the store. It first waits, a second at most, for a
// first state or the list of fronts, which may show that the key is current already. Until a front is listed, only
// the fronts that got a datagram from it know its address.
func (d *Daemon) register(ctx context.Context) {
	known := func(v *fleet.View) bool { return !v.Confirmed.IsZero() || d.starting.first.Load() }
	d.waitFor(ctx, known)
	for began := time.Now(); d.starting.fronts.Load() != nil && time.Since(began) < maxStartDelay && !known(d.fleet.View()); {
		d.waitFor(ctx, known) // the state of others will tell
		if ctx.Err() != nil {
			return
		}
	}
	d.regkey.Run(ctx)
}

// self returns this front's entry as it should be listed in the store.
func (d *Daemon) self() fleet.Entry {
	return fleet.Entry{
		Node: d.Settings.Node, Address: d.Settings.Callers, Peer: d.Settings.Peer,
		Domain: d.Settings.Domain, Cores: d.Settings.Cores,
	}
}

// registered reports whether the store lists this front with its present entry, as far as it
// knows.
func (d *Daemon) registered() bool { return slices.Contains(d.entries(), d.self()) }

func (d *Daemon) logRegistration(err error) {
	if err != nil {
		d.Log.Warn().Err(err).Str("dependency", "store").Msg("the front's key could not be written")
		return
	}
	d.Log.Info().Str("dependency", "store").Msg("the front's key is written")
}

// deregister removes this front's key.
func (d *Daemon) deregister(ctx context.Context) {
	if err := d.regkey.Remove(ctx); err != nil && ctx.Err() == nil {
		d.Log.Warn().Err(err).Str("dependency", "store").Msg("the front's key was not removed; another front removes it later")
	}
}
