// Package gossip runs a daemon's swim.Membership: it calls Step with each tick,
// received packet and change of the daemon's own entry, and carries out the
// effects.
//
// All messages are handled by one goroutine, so that changes are reported in
// order. All methods but Run are safe for concurrent use.
package gossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/slaterock/slaterock/internal/peer/swim"
)

const queueSize = 1024

// Gossip runs one Membership. Its fields are set before Run. Send, MemberChanged
// and Newer are called one at a time and must return at once.
type Gossip struct {
	RandomSeed    uint64                            // of the protocol's random choices
	Send          func(to string, p swim.Packet)    // to is a peer address; may drop the packet
	MemberChanged func(m swim.Member)               // new entry of another daemon
	Newer         func(version uint64, from string) // the peer at address from has a newer configuration in force
	Now           func() time.Time
	Scope         tally.Scope

	once     sync.Once
	messages chan swim.Message
	mu       sync.Mutex
	swim     swim.Membership
}

// Run handles messages and ticks until ctx ends.
func (g *Gossip) Run(ctx context.Context, self swim.Self) {
	g.once.Do(g.init)
	g.step(self)
	// A random phase spreads the probes of daemons that start together.
	phase := time.NewTimer(rand.N(swim.Interval))
	defer phase.Stop()
	ticker := time.NewTicker(swim.Interval)
	defer ticker.Stop()
	ticks := phase.C
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-g.messages:
			g.step(m)
		case <-ticks:
			if ticks == phase.C {
				ticker.Reset(swim.Interval)
				ticks = ticker.C
			}
			g.step(swim.Tick{})
		}
	}
}

func (g *Gossip) init() {
	g.messages = make(chan swim.Message, queueSize)
	g.swim.RandomSeed = g.RandomSeed
	if g.Now == nil {
		g.Now = time.Now
	}
	if g.Scope == nil {
		g.Scope = tally.NoopScope
	}
}

// HandlePacket queues a received packet; it is meant for link.Link's OnPacket.
// If the queue is full the packet is dropped, which the protocol tolerates.
func (g *Gossip) HandlePacket(p swim.Packet) {
	g.once.Do(g.init)
	select {
	case g.messages <- p:
	default:
		g.Scope.Counter("gossip_packets_dropped").Inc(1)
	}
}

// UpdateSelf replaces this daemon's own entry: its state, configuration and
// shards. It blocks while the queue is full, until ctx ends.
func (g *Gossip) UpdateSelf(ctx context.Context, self swim.Self) {
	g.enqueue(ctx, self)
}

// Reached reports that a call to the store, sent at the given time, succeeded. It
// blocks while the queue is full, until ctx ends.
func (g *Gossip) Reached(ctx context.Context, at time.Time) {
	g.enqueue(ctx, swim.Reached{At: at})
}

func (g *Gossip) enqueue(ctx context.Context, m swim.Message) {
	g.once.Do(g.init)
	select {
	case g.messages <- m:
	case <-ctx.Done():
	}
}

// Members returns all known daemons including this one, sorted by name.
func (g *Gossip) Members() []swim.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.swim.Members()
}

// StoreAge returns the time since the last successful call of any daemon to the
// store that is known here, -1 if none is.
func (g *Gossip) StoreAge() time.Duration {
	g.once.Do(g.init)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.swim.StoreAge(g.Now())
}

// Alone reports whether no packet came from any other daemon recently; see
// swim.Membership.Alone.
func (g *Gossip) Alone() bool {
	g.once.Do(g.init)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.swim.Alone(g.Now())
}

func (g *Gossip) step(m swim.Message) {
	g.mu.Lock()
	effects := g.swim.Step(g.Now(), m)
	g.mu.Unlock()
	for _, e := range effects {
		g.apply(e)
	}
}

func (g *Gossip) apply(e swim.Effect) {
	switch e := e.(type) {
	case swim.Send:
		if g.Send != nil {
			g.Send(e.To, e.Packet)
		}
	case swim.MemberChanged:
		if g.MemberChanged != nil {
			g.MemberChanged(e.Member)
		}
	case swim.Newer:
		if g.Newer != nil {
			g.Newer(e.Version, e.From)
		}
	}
}
