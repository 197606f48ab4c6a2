package chaos

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/slaterock/slaterock/internal/plat/duplex"
)

const (
	// Forward forwards all data.
	Forward ProxyFault = iota
	// Delay delays every piece of data.
	Delay
	// Blackhole discards all data and leaves the connections open.
	Blackhole
	// OneWay discards the data that the target sends.
	OneWay
)

// delay is how long Delay holds back each piece of data.
const delay = 80 * time.Millisecond

type (
	// ProxyFault is a fault of a proxy's connections.
	ProxyFault int32

	// Proxy is a TCP proxy on loopback with faults that can be switched on. Set
	// Target before Start, which sets Address.
	Proxy struct {
		Address string
		Target  string

		fault atomic.Int32
		mu    sync.Mutex
		conns map[net.Conn]struct{}
		ln    net.Listener
		stops int // calls of Stop
	}
)

// Start listens on a free port of ip, and returns; it serves until ctx ends.
func (p *Proxy) Start(ctx context.Context, ip string) error {
	p.conns = map[net.Conn]struct{}{}
	if err := p.listen(ctx, ip+":0"); err != nil {
		return err
	}
	context.AfterFunc(ctx, p.Stop)
	return nil
}

// Stop closes all connections and refuses new ones, as if the target's process had ended.
func (p *Proxy) Stop() {
	p.mu.Lock()
	_ = p.ln.Close()
	p.stops++
	p.mu.Unlock()
	p.Reset()
}

// Restart accepts connections again, at the same address.
func (p *Proxy) Restart(ctx context.Context) error { return p.listen(ctx, p.Address) }

func (p *Proxy) listen(ctx context.Context, address string) error {
	var c net.ListenConfig
	ln, err := c.Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.ln, p.Address = ln, ln.Addr().String()
	stops := p.stops
	p.mu.Unlock()
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			go p.forward(ctx, near, stops)
		}
	}()
	return nil
}

// SetFault sets the fault of open and later connections; Forward ends it.
func (p *Proxy) SetFault(h ProxyFault) { p.fault.Store(int32(h)) }

// Reset closes all connections with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
		_ = c.Close()
	}
}

// track notes a connection that was accepted after so many stops. It returns false if there was another
// one since, after which it must not be used.
func (p *Proxy) track(c net.Conn, stops int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
	return p.stops == stops
}

func (p *Proxy) untrack(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *Proxy) forward(ctx context.Context, near net.Conn, stops int) {
	defer func() { _ = near.Close() }()
	d := net.Dialer{Timeout: time.Second}
	far, err := d.DialContext(ctx, "tcp", p.Target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	for _, c := range []net.Conn{near, far} {
		defer p.untrack(c)
		if !p.track(c, stops) {
			return
		}
	}
	done := make(chan error, 2)
	target := &duplex.Conn{Conn: far}
	go func() { done <- p.copy(target, near, false) }()
	go func() { done <- p.copy(near, target, true) }()
	if err := <-done; err != nil {
		reset(near)
		reset(far)
	}
}

// reset has a connection reset when it is closed.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// copy forwards one direction of a connection, until its end. The error is that of the connection.
func (p *Proxy) copy(to io.Writer, from io.Reader, fromTarget bool) error {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		switch h := ProxyFault(p.fault.Load()); {
		case h == Delay:
			time.Sleep(delay)
		case h == Blackhole, h == OneWay && fromTarget:
			n = 0 // discarded without closing the connection, as by a firewall that lost its state
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			closeWrite(to)
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func closeWrite(w io.Writer) {
	if c, ok := w.(*duplex.Conn); ok {
		w = c.Conn
	}
	if tcp, ok := w.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
