// Package memnet is a network in memory. Its connections and their deadlines use
// the clock of a synctest bubble, so that tests of hanging, delayed and refused
// connections are fast and deterministic.
package memnet

import (
	"context"
	"net"
	"sync"
	"syscall"
)

type (
	// Net maps addresses to listeners. The zero value is ready for use.
	Net struct {
		mu        sync.Mutex
		listeners map[string]*listener
	}

	listener struct {
		net    *Net
		addr   addr
		conns  chan net.Conn
		closed chan struct{}
		once   sync.Once
	}

	addr string
)

// Listen returns a listener on the address. It replaces an earlier listener on
// the same address.
func (n *Net) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	l := &listener{net: n, addr: addr(address), conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Connect dials the address. It fails with ECONNREFUSED if there is no listener.
func (n *Net) Connect(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l, ok := n.listeners[address]
	n.mu.Unlock()
	if !ok {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		if l.net.listeners[string(l.addr)] == l {
			delete(l.net.listeners, string(l.addr))
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.addr }

// Network implements net.Addr.
func (a addr) Network() string { return "pipe" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }
