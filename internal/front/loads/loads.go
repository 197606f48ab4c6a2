// Package loads tells the daemons that serve callers what each of them has under
// way at every upstream.
//
// Upstreams report their load late and each report is a call to them. A
// datagram of a few hundred bytes to each other daemon costs less and is newer.
// Datagrams may be lost or overtake each other; each carries the whole state, so
// the next one makes up for it.
package loads

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

const (
	// base is the pause between datagrams to the same daemon: half of the time
	// of a short plain call.
	base = 60 * time.Millisecond
	// perPeer stretches the pause with the number of daemons, which bounds the
	// datagrams that each sends and takes to about 140 a second.
	perPeer = 7 * time.Millisecond
	// maxPacket fits a link's frame.
	maxPacket = 1400
)

type (
	// Loads sends and takes datagrams. Set the exported fields, then call Run.
	Loads struct {
		Node  string
		Conn  net.PacketConn
		Own   func() map[string]int                                  // under way here, by upstream
		Heard func(now time.Time, from string, under map[string]int) // takes what another has
		Peers func() []string                                        // addresses of the others
	}

	packet struct {
		Node string         `cbor:"1,keyasint"`
		Sent int64          `cbor:"2,keyasint"` // Unix nanoseconds of the sender; orders its packets
		Load map[string]int `cbor:"3,keyasint"`
	}
)

// Run sends and takes until ctx ends, and closes the socket.
func (l *Loads) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "exchange loads") }()
	stop := context.AfterFunc(ctx, func() { _ = l.Conn.Close() })
	defer stop()
	go l.send(ctx)
	newest := map[string]int64{}
	var buf [maxPacket]byte
	for {
		n, _, err := l.Conn.ReadFrom(buf[:])
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		var p packet
		if cbor.Unmarshal(buf[:n], &p) != nil || p.Node == "" || p.Node == l.Node {
			continue // not one of ours, or spoilt: the next one makes up for it
		}
		// A daemon that started again may have an earlier clock, but not by long.
		if p.Sent <= newest[p.Node] && newest[p.Node]-p.Sent < int64(time.Second) {
			continue
		}
		newest[p.Node] = p.Sent
		l.Heard(time.Now(), p.Node, p.Load)
	}
}

func (l *Loads) send(ctx context.Context) {
	for {
		peers := l.Peers()
		select {
		case <-time.After(max(base, time.Duration(len(peers))*perPeer)):
		case <-ctx.Done():
			return
		}
		l.tell(peers)
	}
}

func (l *Loads) tell(peers []string) {
	load := l.Own()
	data, err := cbor.Marshal(packet{Node: l.Node, Sent: time.Now().UnixNano(), Load: load})
	if err != nil {
		return
	}
	for _, address := range peers {
		to, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			continue
		}
		_, _ = l.Conn.WriteTo(data, to) // lost datagrams are made up for by the next
	}
}
