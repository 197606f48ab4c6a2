package gossip

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/peer/link"
	"github.com/slaterock/slaterock/internal/peer/swim"
)

type (
	// network is an in-memory network of pipes.
	network struct {
		mu        sync.Mutex
		listeners map[string]chan net.Conn
	}

	listener struct {
		conns chan net.Conn
		done  chan struct{}
		once  sync.Once
	}

	// daemon is a Gossip over a Link.
	daemon struct {
		gossip Gossip
		link   link.Link
		stop   context.CancelFunc
		newer  chan uint64
	}
)

func (p *network) dial(ctx context.Context, address string) (net.Conn, error) {
	p.mu.Lock()
	conns := p.listeners[address]
	p.mu.Unlock()
	if conns == nil {
		return nil, errors.New("connection refused")
	}
	a, b := net.Pipe()
	select {
	case conns <- b:
		return a, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

func (p *network) start(ctx context.Context, work *sync.WaitGroup, name string, config uint64) *daemon {
	d := &daemon{newer: make(chan uint64, 100)}
	ctx, d.stop = context.WithCancel(ctx)
	conns := make(chan net.Conn)
	p.mu.Lock()
	p.listeners[name] = conns
	p.mu.Unlock()
	d.link = link.Link{Address: name, Dial: p.dial, OnPacket: d.gossip.HandlePacket}
	d.gossip.Send = func(to string, packet swim.Packet) { d.link.Peer(to).Send(packet) }
	d.gossip.Newer = func(version uint64, _ string) { d.newer <- version }
	_ = d.link.Start(ctx)
	work.Go(func() { _ = d.link.Serve(ctx, &listener{conns: conns, done: make(chan struct{})}) })
	self := swim.Member{Name: name, Peer: name, Config: config, Incarnation: uint64(time.Now().UnixNano())}
	work.Go(func() { d.gossip.Run(ctx, swim.Self{Member: self, Seeds: []string{"a", "b"}}) })
	return d
}

func states(d *daemon) map[string]swim.State {
	all := map[string]swim.State{}
	for _, m := range d.gossip.Members() {
		all[m.Name] = m.State
	}
	return all
}

func TestOverLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &network{listeners: map[string]chan net.Conn{}}
		ctx, stop := context.WithCancel(t.Context())
		var work sync.WaitGroup
		defer work.Wait()
		defer stop()
		a := p.start(ctx, &work, "a", 1)
		b := p.start(ctx, &work, "b", 1)
		c := p.start(ctx, &work, "c", 2)
		is.True(a.gossip.Alone())
		is.Equal(a.gossip.StoreAge(), time.Duration(-1))
		sleep(10 * time.Second)
		everyone := map[string]swim.State{"a": swim.Alive, "b": swim.Alive, "c": swim.Alive}
		for _, d := range []*daemon{a, b, c} {
			is.Equal(states(d), everyone)
			is.True(!d.gossip.Alone())
		}
		is.Equal(<-a.newer, uint64(2))
		is.Equal(<-b.newer, uint64(2))
		b.gossip.Reached(ctx, time.Now())
		sleep(10 * time.Second)
		is.True(a.gossip.StoreAge() >= 9*time.Second)
		is.True(a.gossip.StoreAge() <= 11*time.Second)
		c.stop()
		sleep(20 * time.Second)
		is.Equal(states(a)["c"], swim.Down)
		is.Equal(states(b)["c"], swim.Down)
		b.stop()
		sleep(10 * time.Second)
		is.True(a.gossip.Alone())
	})
}

// sleep advances the test's fake clock by d.
func sleep(d time.Duration) {
	<-time.After(d)
}
