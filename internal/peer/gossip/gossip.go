// Package gossip runs a daemon's Beat: it gives it the time, its packets and
// what changes in the daemon, and carries out its effects.
//
// All messages pass through one goroutine, so that changes are told in their
// order. Whoever asks for members or ages may do so from anywhere.
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

// Gossip is the shell of one Beat. Its fields are set before Run; the functions
// are called one at a time and must return at once.
type Gossip struct {
	Seed          uint64
	Send          func(to string, p swim.Packet) // may lose the packet
	MemberChanged func(m swim.Member)
	Newer         func(version uint64, from string)
	Now           func() time.Time
	Scope         tally.Scope

	once     sync.Once
	messages chan swim.Message
	mu       sync.Mutex
	swim     swim.Membership
}

// Run keeps the membership until ctx ends.
func (g *Gossip) Run(ctx context.Context, self swim.Self) {
	g.once.Do(g.init)
	g.step(self)
	// A random phase keeps daemons that start together from probing together.
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
	g.swim.Seed = g.Seed
	if g.Now == nil {
		g.Now = time.Now
	}
	if g.Scope == nil {
		g.Scope = tally.NoopScope
	}
}

// Take hands in a packet; link.Link's OnPacket. When too many wait it is lost,
// as it could have been on its way.
func (g *Gossip) HandlePacket(p swim.Packet) {
	g.once.Do(g.init)
	select {
	case g.messages <- p:
	default:
		g.Scope.Counter("gossip_packets_dropped").Inc(1)
	}
}

// Update tells what this daemon is from now on: its state, configuration and
// shards. It waits for room, or for ctx.
func (g *Gossip) UpdateSelf(ctx context.Context, self swim.Self) {
	g.enqueue(ctx, self)
}

// Reached tells that a call to the store succeeded that was sent at that time.
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

// Members returns all known daemons, in the order of their names.
func (g *Gossip) Members() []swim.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.swim.Members()
}

// StoreAge returns the time since any daemon is known to have reached the
// store; negative is never.
func (g *Gossip) StoreAge() time.Duration {
	g.once.Do(g.init)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.swim.StoreAge(g.Now())
}

// Alone reports whether no other daemon was heard lately.
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
