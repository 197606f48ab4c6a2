// Package server serves a fake over HTTP and simulates network faults: it can
// close all connections, or blackhole the open ones while new ones work.
//
// Each connection serves one request. A further read on it therefore returns only
// when the client has disconnected, which ends the request's context.
package server

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

const maxBody = 64 << 20

type (
	// Handler responds to one request. The context ends when the client has
	// disconnected or the response is sent; for a streamed response, that is
	// after Handler has returned.
	Handler func(ctx context.Context, w *fasthttp.RequestCtx)

	// HTTP is an HTTP server that tracks its connections. Set Handler, then call
	// Start.
	HTTP struct {
		Handler Handler

		server fasthttp.Server
		ln     net.Listener
		ctx    context.Context //nolint:containedctx // ends with the server
		cancel context.CancelFunc
		done   chan struct{}

		mu        sync.Mutex
		conns     map[*conn]struct{}
		abandoned []*conn // blackholed connections that the server has closed and the client has not
	}

	conn struct {
		net.Conn
		srv       *HTTP
		once      sync.Once
		mu        sync.Mutex
		blackhole chan struct{} // closed when the connection is blackholed
		closed    chan struct{} // closed by Close
	}
)

// init makes fasthttp start its goroutine for date headers, which never ends.
// fasthttp would otherwise start it with its first error response; if that
// happened inside a synctest bubble, the bubble could not end.
func init() {
	var r fasthttp.Response
	_, _ = r.WriteTo(io.Discard)
}

// Abort closes the connection without a response.
func Abort(w *fasthttp.RequestCtx) {
	w.HijackSetNoResponse(true)
	w.Hijack(func(net.Conn) {})
}

// Start serves on the listener until Close.
func (h *HTTP) Start(ln net.Listener) {
	h.ln = ln
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.done = make(chan struct{})
	h.conns = map[*conn]struct{}{}
	h.server = fasthttp.Server{Handler: h.serve, NoDefaultServerHeader: true, NoDefaultDate: true, MaxRequestBodySize: maxBody}
	go h.accept()
}

// accept serves each connection in its own goroutine. The worker pool of fasthttp
// is not used, because its goroutines outlive the server by their idle timeout,
// which a synctest bubble does not allow.
func (h *HTTP) accept() {
	defer close(h.done)
	for {
		c, err := h.ln.Accept()
		if err != nil {
			return
		}
		go func() { _ = h.server.ServeConn(h.track(c)) }()
	}
}

// Address returns the IP address and port.
func (h *HTTP) Address() string { return h.ln.Addr().String() }

// Close stops listening and closes all connections, as if the process were
// killed.
func (h *HTTP) Close() {
	h.cancel()
	_ = h.ln.Close()
	<-h.done
	h.CloseConns()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.abandoned {
		_ = c.Conn.Close()
	}
}

// CloseConns closes all open connections.
func (h *HTTP) CloseConns() {
	for _, c := range h.openConns() {
		_ = c.Close()
	}
}

// Blackhole makes the open connections discard all data in both directions,
// without closing them. New connections work.
func (h *HTTP) Blackhole() {
	for _, c := range h.openConns() {
		c.startBlackhole()
	}
}

// Conns returns the number of open connections.
func (h *HTTP) Conns() int { return len(h.openConns()) }

func (h *HTTP) serve(w *fasthttp.RequestCtx) {
	w.SetConnectionClose()
	ctx, cancel := context.WithCancel(h.ctx)
	c := w.Conn().(*conn)
	go func() {
		defer cancel()
		var b [1]byte
		_, _ = c.Read(b[:])
	}()
	h.Handler(ctx, w)
}

func (h *HTTP) openConns() []*conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]*conn, 0, len(h.conns))
	for c := range h.conns {
		out = append(out, c)
	}
	return out
}

func (h *HTTP) track(raw net.Conn) *conn {
	c := &conn{Conn: raw, srv: h, blackhole: make(chan struct{}), closed: make(chan struct{})}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conns[c] = struct{}{}
	return c
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isBlackholed() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	if c.isBlackholed() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection. If it is blackholed, Close ends only the server's
// use of it: the client must not notice.
func (c *conn) Close() (err error) {
	c.once.Do(func() {
		close(c.closed)
		if c.untrack() {
			err = c.Conn.Close()
		}
	})
	return err
}

// untrack removes the connection from the open ones and reports whether to close
// it.
func (c *conn) untrack() bool {
	c.srv.mu.Lock()
	defer c.srv.mu.Unlock()
	delete(c.srv.conns, c)
	if c.isBlackholed() {
		c.srv.abandoned = append(c.srv.abandoned, c)
		return false
	}
	return true
}

func (c *conn) startBlackhole() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isBlackholed() {
		close(c.blackhole)
	}
}

func (c *conn) isBlackholed() bool {
	select {
	case <-c.blackhole:
		return true
	default:
		return false
	}
}
