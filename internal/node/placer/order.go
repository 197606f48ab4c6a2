package placer

import (
	"context"
	"time"

	"github.com/slaterock/slaterock/internal/plat/engine"
)

const (
	// OrderTimeout is how long an order to an engine may take. When another daemon becomes
	// responsible for an engine that doesn't check fencing numbers, it sends no orders for
	// this time, so that the former daemon's orders have ended.
	OrderTimeout = 5 * time.Second

	// A release is tried releaseAttempts times, releaseRetryDelay apart, which together is
	// longer than OrderTimeout. Memory that no attempt frees is released after a later
	// comparison by reconcileHeld.
	releaseAttempts   = 4
	releaseRetryDelay = 2 * time.Second
)

// order sends an order to an engine, or forwards it to the daemon that is responsible for the
// engine. All orders to an engine go through one daemon, because an engine that ignores
// fencing numbers could otherwise execute a former owner's order after one of the new owner.
func (p *Placer) order(ctx context.Context, upstream string, o engine.Order) {
	tries := 1
	if o.Kind == engine.OrderRelease {
		tries = releaseAttempts // it is idempotent, and its program has ended for good
	}
	p.tryOrder(ctx, upstream, p.cfg.Upstreams[upstream].Address, o, tries)
}

// tryOrder sends an order until one attempt succeeds, at most tries times.
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
	fence, responsible := p.Fence(upstream)
	if !responsible {
		return p.Forward(ctx, upstream, o)
	}
	o.Fence = fence
	return p.Engine(address).Order(ctx, o)
}
