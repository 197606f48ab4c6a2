package model

import (
	"context"
	"slices"
	"time"

	"github.com/slaterock/slaterock/internal/plat/engine"
)

// exportTokensPerSecond is the speed at which cached blocks are copied to
// another engine.
const exportTokensPerSecond = 100_000

type (
	orders struct {
		leaving  bool
		fence    uint64 // highest fencing number received
		role     string
		loaded   []string
		received []ReceivedOrder
	}

	// ReceivedOrder is an order with the time of its arrival. Refused is set if
	// its fencing number was too old.
	ReceivedOrder struct {
		engine.Order
		Refused bool
		At      time.Time
	}
)

// SetLeaving sets the flag Leaving of the load reports, with which an engine
// announces that it will shut down.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders.leaving = leaving
	e.recordLoad()
}

// Orders returns all received orders in order of arrival, also refused ones.
func (e *Engine) Orders() []ReceivedOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders.received)
}

// Role returns the role set by the last OrderRole.
func (e *Engine) Role() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders.role
}

// Order implements engine.Engine. There is one fencing number for the whole
// engine: an order with a number below the highest received is refused,
// whichever sender it is from.
func (e *Engine) Order(ctx context.Context, o engine.Order) error {
	if !e.checkFence(o) {
		return errFenced
	}
	switch o.Kind {
	case engine.OrderRelease:
		e.release(o.Program)
	case engine.OrderExport:
		return e.export(ctx, o)
	case engine.OrderLoad:
		return e.loadModel(ctx, o.Target)
	case engine.OrderRole:
		e.mu.Lock()
		defer e.mu.Unlock()
		e.orders.role = o.Target
	default:
		return errBadOrder
	}
	return nil
}

// checkFence records the order and reports whether its fencing number is
// accepted.
func (e *Engine) checkFence(o engine.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	refused := o.Fence < e.orders.fence && !e.IgnoreFence
	e.orders.received = append(e.orders.received, ReceivedOrder{Order: o, Refused: refused, At: time.Now()})
	e.orders.fence = max(e.orders.fence, o.Fence)
	return !refused
}

func (e *Engine) release(program string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordEvent(nil, e.cache.release(program))
	e.recordLoad()
}

func (e *Engine) export(ctx context.Context, o engine.Order) error {
	if e.Peer == nil || e.Peer(o.Target) == nil {
		return errBadOrder
	}
	e.mu.Lock()
	p := prompt{program: o.Program, blocks: e.cache.blocksOf(o.Program), pinned: map[uint64]bool{}}
	e.mu.Unlock()
	tokens := 0
	for _, b := range p.blocks {
		tokens += b.Tokens
	}
	if err := e.sleep(ctx, time.Duration(tokens)*time.Second/exportTokensPerSecond); err != nil {
		return cancelled(err)
	}
	to := e.Peer(o.Target)
	to.pin(p)
	to.storeBlocks(p)
	to.unpin(p)
	return nil
}

func (e *Engine) loadModel(ctx context.Context, model string) error {
	if err := e.sleep(ctx, e.ModelLoadDuration); err != nil {
		return cancelled(err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders.loaded = append(e.orders.loaded, model)
	return nil
}

func (e *Engine) serves(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.Models) == 0 || slices.Contains(e.Models, model) || slices.Contains(e.orders.loaded, model)
}
