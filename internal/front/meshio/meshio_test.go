package meshio

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/front/mesh"
)

// pipe is a packet connection whose datagrams are received by another pipe.
type pipe struct {
	net.PacketConn
	in, out chan []byte
	done    context.Context //nolint:containedctx // ends with the test
}

func (p *pipe) ReadFrom(buf []byte) (int, net.Addr, error) {
	select {
	case data := <-p.in:
		return copy(buf, data), nil, nil
	case <-p.done.Done():
		return 0, nil, net.ErrClosed
	}
}

func (p *pipe) WriteTo(data []byte, _ net.Addr) (int, error) {
	select {
	case p.out <- data:
	default: // lost
	}
	return len(data), nil
}

func (p *pipe) Close() error { return nil }

func newTransport(name string, conn net.PacketConn, received *atomic.Int64, others ...mesh.Peer) *Transport {
	return &Transport{
		Conn: conn, Self: mesh.Peer{Node: name, Address: "127.0.0.1:1"},
		Local: func() mesh.Tick {
			return mesh.Tick{State: mesh.State{Node: name, Peer: "127.0.0.1:1"}, Load: map[mesh.ID]int{mesh.IDOf("upstream"): 3}}
		},
		Peers:    func() []mesh.Peer { return others },
		Received: func(time.Time, mesh.State) { received.Add(1) },
	}
}

// Two daemons exchange their loads. Invalid datagrams in between are ignored.
func TestTwoDaemons(t *testing.T) {
	is := is.New(t)
	ab, ba := make(chan []byte, 100), make(chan []byte, 100)
	ctx := t.Context()
	var received atomic.Int64
	a := newTransport("a", &pipe{in: ba, out: ab, done: ctx}, &received, mesh.Peer{Node: "b", Address: "127.0.0.1:2"})
	b := newTransport("b", &pipe{in: ab, out: ba, done: ctx}, &received, mesh.Peer{Node: "a", Address: "127.0.0.1:1"})
	ab <- []byte("nothing that a daemon says")
	ba <- nil
	a.Broadcast()
	b.Broadcast()
	for _, r := range []*Transport{a, b} {
		for _, data := range drain(r.Conn.(*pipe).in) { //nolint:forcetypeassert // the test's own
			if msg, err := mesh.Decode(data); err == nil {
				r.Receive(time.Now(), msg)
			}
		}
	}
	now := time.Now().Add(summaryTTL * 2)
	is.Equal(a.Summary(now).Load[mesh.IDOf("upstream")], 3)
	is.Equal(b.Summary(now).Fronts, 2)
	is.Equal(received.Load(), int64(2))
}

func drain(c chan []byte) (list [][]byte) {
	for len(c) > 0 {
		list = append(list, <-c)
	}
	return list
}
