// Package rumor carries what the daemons that serve callers tell each other, as
// package mesh decides, in datagrams.
//
// Upstreams report their load late and each report is a call to them. A datagram
// of a few hundred bytes costs less and is newer. Datagrams may be lost or overtake
// each other; each carries the whole state, so the next one makes up for it.
package meshio

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/front/mesh"
	"github.com/slaterock/slaterock/internal/peer/pause"
)

// pictureAge is for how long a picture is used again: each answer of the directory
// needs one, and it changes a few times a second.
const summaryTTL = 20 * time.Millisecond

type (
	// Rumor sends and takes datagrams. Set the exported fields, then call Run.
	Transport struct {
		Conn  net.PacketConn
		Self  mesh.Peer
		Local func() mesh.Tick   // what is told
		Peers func() []mesh.Peer // the others, as the store lists them
		// Heard takes what another daemon tells of itself, and Changed is called
		// after each datagram and each turn with what is known of all others.
		Received func(now time.Time, s mesh.State)
		Changed  func(mesh.Summary)

		mu          sync.Mutex
		mesh        mesh.Mesh
		summary     mesh.Summary
		summaryTime time.Time // of the picture
	}
)

// Run sends and takes until ctx ends, and closes the socket.
func (l *Transport) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "exchange rumors") }()
	stop := context.AfterFunc(ctx, func() { _ = l.Conn.Close() })
	defer stop()
	go l.broadcastLoop(ctx)
	var buf [mesh.MaxPacket]byte
	for {
		n, _, err := l.Conn.ReadFrom(buf[:])
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		msg, err := mesh.Decode(buf[:n])
		if err != nil {
			continue // not one of ours, or spoilt: the next one makes up for it
		}
		l.Receive(time.Now(), msg)
	}
}

// Take learns from a message and answers it.
func (l *Transport) Receive(now time.Time, msg mesh.Message) {
	l.step(now, mesh.Received{Message: msg})
	if l.Received != nil {
		l.Received(now, mesh.StateOf(msg))
	}
	l.notifyChanged(now)
}

// Picture returns what is known of the others.
func (l *Transport) Summary(now time.Time) mesh.Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	if age := now.Sub(l.summaryTime); age < 0 || age > summaryTTL {
		l.summary, l.summaryTime = l.mesh.Summary(now), now
	}
	return l.summary
}

// Rank is how many live daemons look at the store before this one.
func (l *Transport) Rank(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mesh.Rank(now)
}

// Age is how old what is known of others may be.
func (l *Transport) Age() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mesh.Age()
}

// Tell says everything now, without waiting for the next turn.
func (l *Transport) Broadcast() {
	now := time.Now()
	own := l.Local()
	l.step(now, mesh.PeerList{Peers: l.Peers()})
	l.step(now, own)
	l.notifyChanged(now)
}

func (l *Transport) broadcastLoop(ctx context.Context) {
	for {
		l.mu.Lock()
		wait := l.mesh.Interval()
		l.mu.Unlock()
		if !pause.For(ctx, wait) {
			return
		}
		l.Broadcast()
	}
}

func (l *Transport) notifyChanged(now time.Time) {
	if l.Changed != nil {
		l.Changed(l.Summary(now))
	}
}

func (l *Transport) step(now time.Time, e mesh.Event) {
	l.mu.Lock()
	l.mesh.Self = l.Self
	sends := l.mesh.Step(now, e)
	l.mu.Unlock()
	var last mesh.Message
	var data []byte
	for i, s := range sends {
		to, err := net.ResolveUDPAddr("udp", s.To)
		if err != nil {
			continue // a damaged entry; others tell of this daemon
		}
		if i == 0 || !sameShare(last, s.Message) {
			if data, err = mesh.Encode(s.Message); err != nil {
				return
			}
			last = s.Message
		}
		_, _ = l.Conn.WriteTo(data, to) // lost datagrams are made up for by the next
	}
}

// same tells whether two messages of one step are the same share, which is encoded
// once for all hubs.
func sameShare(a, b mesh.Message) bool {
	s, is := a.(mesh.Share)
	o, too := b.(mesh.Share)
	return is && too && s.State.Sent == o.State.Sent
}
