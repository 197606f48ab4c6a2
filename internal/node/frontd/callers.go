package frontd

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/front/conns"
)

// retiredIdle is how long a connection with former limits stays idle. The HTTP server sets its own deadline just after a connection has
// become so.
const retiredIdle = 50 * time.Millisecond

type (
	// headLimits bound a head of callers.
	headLimits struct {
		bytes int
		time  time.Duration // in which it must have come
	}

	// callersServer serves callers' requests within the limits on heads of the configuration in force. Those of an HTTP server
	// can't change while it serves, so others have a server of their own, and connections of the one before are
	// closed as they become idle. Set the exported fields before use.
	callersServer struct {
		Handler http.Handler
		Limits  func() headLimits
		Idle    func() time.Duration // how long a connection may be idle now

		mu       sync.Mutex
		listener net.Listener     // that Serve accepts from
		servers  []*limitedServer // the last one gets new connections
		closed   bool
	}

	// limitedServer is an HTTP server with its limits, and the listener of the connections that it is given.
	limitedServer struct {
		http.Server
		limits  headLimits
		idle    idleConns
		retired atomic.Bool
		given   chan net.Conn
		done    chan struct{} // closed with the listener
		close   sync.Once
		address net.Addr
	}
)

// headLimits returns the limits of the configuration in force, or the defaults.
func (d *Daemon) headLimits() headLimits {
	t := d.fleet.View().Table
	if t == nil {
		return headLimits{maxHeaderBytes, headerTimeout}
	}
	return headLimits{positive(t.Limits.HeaderBytes, maxHeaderBytes), positive(t.Limits.HeaderTime, headerTimeout)}
}

// Serve serves the connections of a listener until that is closed.
func (c *callersServer) Serve(ln net.Listener) error {
	c.mu.Lock()
	c.listener = ln
	c.start()
	c.mu.Unlock()
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		c.give(conn)
	}
}

// give gives a connection to the server that gets new ones. After Shutdown there is none.
func (c *callersServer) give(conn net.Conn) {
	for {
		s := c.current()
		switch {
		case s == nil:
			_ = conn.Close()
			return
		case s.give(conn):
			return
		}
	}
}

// Update has a server for the limits in force, if they have changed.
func (c *callersServer) Update() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listener != nil && !c.closed {
		c.start()
	}
}

// Shutdown closes connections as they become idle, and returns once all are closed or ctx ends.
func (c *callersServer) Shutdown(ctx context.Context) (err error) {
	c.mu.Lock()
	c.closed = true
	servers, ln := slices.Clone(c.servers), c.listener
	c.mu.Unlock()
	if ln != nil {
		_ = ln.Close() // Serve ends
	}
	ended := make(chan error, len(servers))
	for _, s := range servers {
		go func() { ended <- s.Shutdown(ctx) }()
	}
	for range servers {
		err = errors.CombineErrors(err, <-ended)
	}
	return err
}

// Close closes all connections at once.
func (c *callersServer) Close() error {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	_ = c.Shutdown(ctx) // only begins to close them
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.servers {
		_ = s.Server.Close()
	}
	return nil
}

// current returns the server that gets new connections, nil after Shutdown.
func (c *callersServer) current() *limitedServer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	return c.start()
}

// start returns the server for the limits in force, which it starts if there is none, and retires the one before; the caller
// holds c.mu.
func (c *callersServer) start() *limitedServer {
	limits := c.Limits()
	if n := len(c.servers); n > 0 {
		last := c.servers[n-1]
		if last.limits == limits {
			return last
		}
		last.retire()
	}
	s := &limitedServer{limits: limits, given: make(chan net.Conn), done: make(chan struct{}), address: c.listener.Addr()}
	s.idle.Timeout = func() time.Duration {
		if s.retired.Load() {
			return retiredIdle
		}
		return c.Idle()
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.retired.Load() {
			w.Header().Set("Connection", "close")
		}
		c.Handler.ServeHTTP(w, r)
	})
	s.ReadHeaderTimeout, s.MaxHeaderBytes, s.ErrorLog, s.ConnState = limits.time, limits.bytes, discardLog(), s.idle.track
	conns.Configure(&s.Server)
	c.servers = append(c.servers, s)
	go func() { _ = s.Serve(s) }() // ends when the listener is closed
	return s
}

// retire has connections closed as they become idle, and none accepted any more.
func (s *limitedServer) retire() {
	s.retired.Store(true)
	_ = s.Close()
	s.idle.restart()
}

// give gives the server a connection. It returns false if the listener is closed.
func (s *limitedServer) give(conn net.Conn) bool {
	select {
	case s.given <- conn:
		return true
	case <-s.done:
		return false
	}
}

// Accept returns the next connection that is given.
func (s *limitedServer) Accept() (net.Conn, error) {
	select {
	case conn := <-s.given:
		return conn, nil
	case <-s.done:
		return nil, net.ErrClosed
	}
}

// Close closes the listener, not the server.
func (s *limitedServer) Close() error {
	s.close.Do(func() { close(s.done) })
	return nil
}

// Addr returns the address of the listener that connections come from.
func (s *limitedServer) Addr() net.Addr { return s.address }
