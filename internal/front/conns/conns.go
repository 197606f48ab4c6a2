// Package conns counts what the connections of clients have this VM hold, before it is held.
//
// Connections are let in while there is room for them, and the bytes of a head are taken from the budget as they
// arrive, before an HTTP server parses them. What the handler needs for a request it takes from the Conn of the
// request's context. Buffers of the kernel are bounded, since bytes that have arrived and are not read take memory
// as well.
package conns

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/front/memory"
)

const (
	// idleBytes is what a connection takes by itself: its goroutine, the buffers of the HTTP server, its part of
	// the tables.
	idleBytes = 8 << 10
	// requestBytes is what a request takes besides that is served: goroutines, the connection to an upstream, and bytes that
	// its client has sent ahead.
	requestBytes = 40 << 10
	// byteCost and lineCost are what a byte and a line of a head take once it is parsed, and copied for an upstream, in bytes.
	byteCost = 4
	lineCost = 256
	// readBuffer and writeBuffer bound what the kernel holds for a connection, in bytes. bodyBuffer is for a long
	// body, whose whole length is taken from the budget.
	readBuffer  = 32 << 10
	writeBuffer = 64 << 10
	bodyBuffer  = 256 << 10
	// peerBuffer is for another daemon, which sends records of megabytes.
	peerBuffer = 512 << 10
	// serverBuffer is how much the HTTP server reads at a time, in bytes.
	serverBuffer = 4 << 10
	// lingerTime is how long the rest of a body is read that is not wanted: closing a connection with unread
	// bytes resets it, and the client may not see why.
	lingerTime = 250 * time.Millisecond
	// orderly is the linger time, in seconds, of a connection that is closed in the background once all was sent.
	orderly = -1
	// acceptPause is the pause before connections are accepted again after the process had no descriptor for one.
	acceptPause = 10 * time.Millisecond
)

// ended is a deadline that has passed.
var ended = time.Unix(1, 0)

type (
	// Server counts what the connections of its listeners hold. Set the exported fields before use.
	Server struct {
		Budget *memory.Budget
		Kind   memory.Kind // of connections
	}

	// Conn is a connection of a client.
	Conn struct {
		net.Conn
		client memory.Client

		mu      sync.Mutex
		handled bool  // a request is handled
		trusted bool  // see Trust
		unread  bool  // its body has not been read whole
		request int64 // bytes of short requests taken for it
		body    int64 // bytes of long bodies taken for it
		ahead   int64 // what the bytes take that were read last while the request was handled, if they belong to the next one
	}

	listener struct {
		net.Listener
		server *Server
	}

	// noConn is the connection of a request that came over none.
	noConn struct{ net.Conn }

	connKey struct{}
)

// Of returns the connection of the request with the context. One that came over no connection of a Server gets one
// that holds only what the request takes. Done must be called once the request is over.
func Of(ctx context.Context, b *memory.Budget) (c *Conn, done func()) {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		return c, func() {}
	}
	c = &Conn{Conn: noConn{}}
	c.client = memory.Client{As: memory.Callers, End: c.end}
	b.Enter(&c.client, 0)
	return c, c.client.Leave
}

// Configure has the HTTP server tell when requests are over, after the hook that it has, and requests know their
// connections.
func Configure(srv *http.Server) {
	before := srv.ConnState
	srv.ConnState = func(c net.Conn, state http.ConnState) {
		if before != nil {
			before(c, state)
		}
		if c, ok := c.(*Conn); ok && state == http.StateIdle {
			c.Idle()
		}
	}
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
}

// Listen returns a listener whose connections are counted.
func (s *Server) Listen(ln net.Listener) net.Listener { return &listener{Listener: ln, server: s} }

// Accept returns the next connection that is let in. Others are closed at once: to leave them unaccepted would have the kernel
// hold what they send.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		switch {
		case isTemporary(err):
			time.Sleep(acceptPause)
			continue
		case err != nil:
			return nil, err
		}
		if c := l.server.enter(conn); c != nil {
			return c, nil
		}
		_ = conn.Close()
	}
}

// isTemporary reports whether a listener goes on after the error: the process or the machine has no descriptor or
// no memory left for the moment, or the client has gone.
func isTemporary(err error) bool {
	return errors.IsAny(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED)
}

func (s *Server) enter(conn net.Conn) *Conn {
	c := &Conn{Conn: conn}
	c.client = memory.Client{Name: conn.RemoteAddr().String(), As: s.Kind, End: c.end}
	if !s.Budget.Enter(&c.client, idleBytes) {
		return nil
	}
	if s.Kind == memory.Peers {
		c.setBuffers(peerBuffer, 0)
	} else {
		c.setBuffers(readBuffer, writeBuffer)
	}
	return c
}

// SetReadDeadline does nothing.
func (noConn) SetReadDeadline(time.Time) error { return nil }

// Close does nothing.
func (noConn) Close() error { return nil }

// setBuffers bounds what the kernel holds for the connection; 0 leaves a bound as it is. Connections of tests have none.
func (c *Conn) setBuffers(read, write int) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	if read > 0 {
		_ = tcp.SetReadBuffer(read) // the bound of the system stays
	}
	if write > 0 {
		_ = tcp.SetWriteBuffer(write)
	}
}

// end ends what the client does.
func (c *Conn) end(s memory.Stage) {
	if s == memory.Body {
		_ = c.SetReadDeadline(ended) // it is told that its request has not run
		return
	}
	_ = c.Conn.Close()
}

// Read reads from the connection. What arrives of a head is taken from the budget before the server parses it.
func (c *Conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if n > 0 && !c.take(p[:n]) {
		_ = c.Conn.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *Conn) take(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.trusted:
		return true
	case c.handled:
		c.ahead = headCost(p[max(len(p)-serverBuffer, 0):])
		return true
	}
	c.client.Move(memory.Head)
	return c.grow(headCost(p) + c.takeAhead())
}

// takeAhead returns what the bytes take that may have been read ahead of the request; the caller holds c.mu.
func (c *Conn) takeAhead() int64 {
	n := c.ahead
	c.ahead = 0
	return n
}

// grow takes n bytes until the request is over; the caller holds c.mu.
func (c *Conn) grow(n int64) bool {
	if !c.client.Grow(n) {
		return false
	}
	c.request += n
	return true
}

// headCost returns what a part of a head takes.
func headCost(p []byte) int64 { return int64(byteCost*len(p) + lineCost*bytes.Count(p, []byte{'\n'})) }

// Write writes to the connection. A client that does not read may have to give way.
func (c *Conn) Write(p []byte) (int, error) {
	if c.isHandled() {
		c.client.Move(memory.Answering)
		defer c.client.Move(memory.Running)
	}
	return c.Conn.Write(p)
}

func (c *Conn) isHandled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.handled && !c.trusted
}

// SetUnfinished has the connection reset in place of closed, whoever ends it, until it is called with false: where a response ends
// with its connection, the client could not tell a part from the whole.
func (c *Conn) SetUnfinished(unfinished bool) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	linger := orderly
	if unfinished {
		linger = 0
	}
	_ = tcp.SetLinger(linger) // fails if the connection has ended
}

// Close closes the connection and returns all that it holds.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.client.Leave()
	return err
}

// Trust has a connection belong to another daemon that has proved who it is: it never has to give way.
func Trust(conn net.Conn) {
	c, counted := conn.(*Conn)
	if !counted {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trusted = true
	c.giveRequest()
	c.client.Give(memory.Requests, idleBytes)
	c.client.Move(memory.Running)
}

// Idle notes that a request is over, and returns what it took.
func (c *Conn) Idle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled = false
	c.giveRequest()
	c.client.Move(memory.Idle)
}

// giveRequest returns what the request took; the caller holds c.mu.
func (c *Conn) giveRequest() {
	c.client.Give(memory.Requests, c.request)
	c.client.Give(memory.Bodies, c.body)
	c.request, c.body = 0, 0
}

// Begin notes that a request's head has been read, and takes what the request takes while it is served. Its length is that of
// its body, negative if it is not stated. If Begin reports false there is no room, and the request must be refused.
func (c *Conn) Begin(length int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled, c.unread = true, length != 0
	return c.client.Move(memory.Running) && c.grow(requestBytes+c.takeAhead())
}

// TakeResponse takes n bytes for a long response; see memory.Client. GiveResponse returns them.
func (c *Conn) TakeResponse(ctx context.Context, n int64) error { return c.client.TakeResponse(ctx, n) }

// GiveResponse returns n bytes that TakeResponse took.
func (c *Conn) GiveResponse(n int64) { c.client.GiveResponse(n) }

// Force takes n bytes of short requests until the request is over, whether there is room or not.
func (c *Conn) Force(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.client.Force(memory.Requests, n)
	c.request += n
}
