// Package host serves a stand-in over HTTP and plays the network's faults: it
// can cut all connections or let the open ones go silent while new ones work.
//
// Each connection serves one request, so that whatever else happens on it is
// its client's leaving; that ends the request's context.
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
	// Handler answers one request. The context ends when the client has left
	// or the answer is sent, also where the answer is a stream that outlives
	// the call.
	Handler func(ctx context.Context, w *fasthttp.RequestCtx)

	// Host is a server with its connections.
	HTTP struct {
		Handler Handler

		server fasthttp.Server
		ln     net.Listener
		ctx    context.Context //nolint:containedctx // ends with the server
		cancel context.CancelFunc
		done   chan struct{}

		mu         sync.Mutex
		conns      map[*conn]struct{}
		blackholed []*conn // closed at this end only
	}

	conn struct {
		net.Conn
		host      *HTTP
		once      sync.Once
		mu        sync.Mutex
		blackhole chan struct{}
		closed    chan struct{}
	}
)

// init starts the library's clock for date headers, a goroutine that never
// ends. The library starts it with its first error response; if that happened
// inside a synctest bubble the bubble could not end.
func init() {
	var r fasthttp.Response
	_, _ = r.WriteTo(io.Discard)
}

// Break ends the exchange without an answer.
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

// accept serves each connection on a goroutine of its own. The library's pool
// of workers is not used because it outlives the server by its idle time,
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

// Address returns the IP number and port.
func (h *HTTP) Address() string { return h.ln.Addr().String() }

// Close stops listening and cuts all connections, as a process that is killed.
func (h *HTTP) Close() {
	h.cancel()
	_ = h.ln.Close()
	<-h.done
	h.CloseConns()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.blackholed {
		_ = c.Conn.Close()
	}
}

// Cut closes all open connections.
func (h *HTTP) CloseConns() {
	for _, c := range h.openConns() {
		_ = c.Close()
	}
}

// Silence makes the open connections swallow what is sent and bring nothing
// more, without closing them. New connections work.
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
	c := &conn{Conn: raw, host: h, blackhole: make(chan struct{}), closed: make(chan struct{})}
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

// Close closes the connection, or only its server's side if it is silent: the
// other end must not notice.
func (c *conn) Close() (err error) {
	c.once.Do(func() {
		close(c.closed)
		if c.untrack() {
			err = c.Conn.Close()
		}
	})
	return err
}

// forget takes the connection off the list and reports whether to close it.
func (c *conn) untrack() bool {
	c.host.mu.Lock()
	defer c.host.mu.Unlock()
	delete(c.host.conns, c)
	if c.isBlackholed() {
		c.host.blackholed = append(c.host.blackholed, c)
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
