package placer

import (
	"context"
	"time"

	"github.com/slaterock/slaterock/internal/plat/engine"
)

const (
	// OrderTimeout is how long an order to an engine may take. For as long nobody gives
	// orders to an engine that takes any fencing number, after the daemon has changed
	// that gives them.
	OrderTimeout = 5 * time.Second

	// releaseTries and releasePause have a release given again for longer than that.
	// What none of them frees is found by the sweep.
	releaseAttempts   = 4
	releaseRetryDelay = 2 * time.Second
)

// order gives an order to an engine, or has it given by the daemon that all
// orders to that engine go through: an engine that ignores fencing numbers
// would otherwise take orders from two owners in any sequence.
func (p *Placer) order(ctx context.Context, upstream string, o engine.Order) {
	tries := 1
	if o.Kind == engine.OrderRelease {
		tries = releaseAttempts // it is idempotent, and its program has ended for good
	}
	p.tryOrder(ctx, upstream, p.cfg.Upstreams[upstream].Address, o, tries)
}

// repeat gives an order until it is taken, so many times at most.
func (p *Placer) tryOrder(ctx context.Context, upstream, address string, o engine.Order, tries int) {
	p.Go(func() {
		err := p.sendOrder(ctx, upstream, address, o)
		if err == nil || ctx.Err() != nil {
			return
		}
		p.Log.Debug().Err(err).Str("upstream", upstream).Str("order", string(o.Kind)).Int("tries_left", tries-1).Msg("order failed")
		if tries > 1 {
			time.AfterFunc(releaseRetryDelay, func() { p.tryOrder(ctx, upstream, address, o, tries-1) })
		}
	})
}

func (p *Placer) sendOrder(ctx context.Context, upstream, address string, o engine.Order) error {
	ctx, stop := context.WithTimeout(ctx, OrderTimeout)
	defer stop()
	fence, here := p.Fence(upstream)
	if !here {
		return p.Forward(ctx, upstream, o)
	}
	o.Fence = fence
	return p.Engine(address).Order(ctx, o)
}
