// Package meshio exchanges the messages of package mesh between the daemons that serve
// callers, in UDP datagrams.
//
// Daemons could get the load from the upstreams instead, but each report takes a call to
// the upstream and arrives late; a datagram of a few hundred bytes costs less and is more
// recent. Datagrams may be lost or reordered; each carries the full state, so the next one
// makes up for a loss.
package meshio

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/front/cached"
	"github.com/slaterock/slaterock/internal/front/mesh"
	"github.com/slaterock/slaterock/internal/peer/pause"
)

// summaryTTL is how long a summary is cached: each answer to a caller that asks for the list
// of daemons needs one, and the interval between two messages of a daemon is longer.
const summaryTTL = 20 * time.Millisecond

type (
	// Transport sends and receives datagrams. Set the exported fields, then call Run.
	Transport struct {
		Conn  net.PacketConn
		Self  mesh.Peer
		Local func() mesh.Tick   // state and load of this daemon
		Peers func() []mesh.Peer // daemons as listed in the store
		// Received is called with the sender's state for each message, and Updated after each
		// message and each broadcast with a summary that is at most summaryTTL old. Both may
		// be nil.
		Received func(now time.Time, s mesh.State)
		Updated  func(mesh.Summary)
		// Cached is called with the prompt parts at upstreams that a message reports; nil for none.
		Cached func(now time.Time, pairs []cached.Pair)
		// Runs is called with each datagram that begins with RunsTag, and returns the one to send back; nil
		// for none. Runs itself is nil if these are dropped.
		Runs    func(now time.Time, data []byte) (back []byte)
		RunsTag byte

		mu          sync.Mutex
		mesh        mesh.Mesh
		summary     mesh.Summary
		summaryTime time.Time // when summary was computed
		notSent     atomic.Int64
		factors     factors
	}
)

// Run sends and receives until ctx ends, which closes the socket and returns nil. The error
// is that of receiving from the socket.
func (t *Transport) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "exchange mesh datagrams") }()
	stop := context.AfterFunc(ctx, func() { _ = t.Conn.Close() })
	defer stop()
	go t.broadcastLoop(ctx)
	var buf [mesh.MaxPacket]byte
	for {
		n, from, err := t.Conn.ReadFrom(buf[:])
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		if t.Runs != nil && n > 0 && buf[0] == t.RunsTag {
			if back := t.Runs(time.Now(), buf[:n]); back != nil {
				_, _ = t.Conn.WriteTo(back, from) // the other daemon asks again
			}
			continue
		}
		msg, err := mesh.Decode(buf[:n])
		if err != nil {
			continue // foreign or damaged; the sender's next datagram makes up for it
		}
		t.Receive(time.Now(), msg)
	}
}

// Send sends a datagram to another daemon. It may be lost.
func (t *Transport) Send(address string, data []byte) {
	if to, err := net.ResolveUDPAddr("udp", address); err == nil {
		_, _ = t.Conn.WriteTo(data, to)
	}
}

// Receive processes a message and sends the answers to it.
func (t *Transport) Receive(now time.Time, msg mesh.Message) {
	t.step(now, mesh.Received{Message: msg})
	if t.Received != nil {
		t.Received(now, mesh.StateOf(msg))
	}
	if pairs := mesh.CachedOf(msg); t.Cached != nil && len(pairs) > 0 {
		t.Cached(now, pairs)
	}
	t.notifyUpdated(now)
}

// Summary returns the state of the other daemons, at most summaryTTL old.
func (t *Transport) Summary(now time.Time) mesh.Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	if age := now.Sub(t.summaryTime); age < 0 || age > summaryTTL {
		t.summary, t.summaryTime = t.mesh.Summary(now), now
	}
	return t.summary
}

// Rank is the position of this daemon in the order in which daemons read the store, from 0.
func (t *Transport) Rank(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mesh.Rank(now)
}

// HubPlace is as of package mesh.
func (t *Transport) HubPlace() (place int, isHub bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mesh.HubPlace()
}

// NotSent returns the number of steps that ended early because a message did not fit a datagram.
func (t *Transport) NotSent() int64 { return t.notSent.Load() }

// Age is the largest age of the state of other daemons.
func (t *Transport) Age() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mesh.Age()
}

// Broadcast sends this daemon's state now, without waiting for the next interval.
func (t *Transport) Broadcast() {
	now := time.Now()
	own := t.Local()
	t.step(now, mesh.PeerList{Peers: t.Peers()})
	t.step(now, own)
	t.notifyUpdated(now)
}

func (t *Transport) broadcastLoop(ctx context.Context) {
	for {
		t.mu.Lock()
		wait := t.mesh.Interval()
		t.mu.Unlock()
		if !pause.For(ctx, wait) {
			return
		}
		t.Broadcast()
	}
}

func (t *Transport) notifyUpdated(now time.Time) {
	if t.Updated != nil {
		t.Updated(t.Summary(now))
	}
}

func (t *Transport) step(now time.Time, e mesh.Event) {
	t.mu.Lock()
	t.mesh.Self = t.Self
	sends := t.mesh.Step(now, e)
	t.factors.update(now, &t.mesh.Paces)
	t.mu.Unlock()
	var last mesh.Message
	var data []byte
	for i, s := range sends {
		to, err := net.ResolveUDPAddr("udp", s.To)
		if err != nil {
			continue // an invalid entry; the peer gets this daemon's state from others
		}
		if i == 0 || !sameShare(last, s.Message) {
			if data, err = mesh.Encode(s.Message); err != nil {
				t.notSent.Add(1)
				return
			}
			last = s.Message
		}
		_, _ = t.Conn.WriteTo(data, to) // the next datagram makes up for a lost one
	}
}

// sameShare reports whether two messages of one step are the same share, which is encoded
// once for all hubs.
func sameShare(a, b mesh.Message) bool {
	s, isShare := a.(mesh.Share)
	o, otherIsShare := b.(mesh.Share)
	return isShare && otherIsShare && s.State.Sent == o.State.Sent
}
