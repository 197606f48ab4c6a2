// Package line makes one HTTP exchange over a connection of its own.
//
// Calls to upstreams and to the platform must know exactly whether a byte of
// the request may have arrived, must end at once with their context, and must
// notice a connection that goes silent without being closed. A pool of
// connections makes all three hard: a kept connection may be dead without
// anybody knowing, a client library may send a request again by itself. So
// each exchange dials, sends once and closes. A silent connection then costs
// one exchange, and the next has a new one.
package httpc

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	defaultDialTimeout      = time.Second
	defaultFirstByteTimeout = 30 * time.Second
	defaultIdleTimeout      = 10 * time.Second
	defaultMaxBody          = 64 << 20
)

type (
	// Line sends requests to one address. The zero value of every field but
	// Address is ready for use.
	Endpoint struct {
		Address          string        // IP number and port
		DialTimeout      time.Duration // to connect
		FirstByteTimeout time.Duration // to the answer's first byte; of Open, to Flow
		IdleTimeout      time.Duration // between the pieces of an answer after that
		MaxBody          int           // bytes of an answer that is read whole

		// Connect replaces the dialling, for tests.
		Connect func(ctx context.Context, address string) (net.Conn, error)
	}

	// Error is an exchange without a whole answer. Sent false means that no
	// byte of the request left for the other end.
	Error struct {
		Sent bool
		Err  error
	}

	// Answer is an answer whose body is still being received.
	Response struct {
		Header *fasthttp.ResponseHeader
		Body   io.Reader

		conn        *conn
		idleTimeout time.Duration
		stop        func() bool
		ctx         context.Context //nolint:containedctx // its end is the cause of the body's errors
	}

	// conn gives every read a deadline of its own and counts what was written.
	conn struct {
		net.Conn
		timeout     time.Duration
		idleTimeout time.Duration // replaces wait after the first byte; 0 keeps it
		written     atomic.Bool
	}
)

// ErrSilent reports a connection over which nothing came in time.
var ErrStalled = errors.New("line: connection is silent")

// Error returns the cause's text.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Do makes the exchange and reads the whole answer into resp.
func (l Endpoint) Do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error {
	c, stop, err := l.send(ctx, req)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	defer stop()
	c.idleTimeout = orDefault(l.IdleTimeout, defaultIdleTimeout)
	if err := resp.ReadLimitBody(bufio.NewReader(c), orDefault(l.MaxBody, defaultMaxBody)); err != nil {
		return &Error{Sent: true, Err: cause(ctx, err)}
	}
	return nil
}

// Open makes the exchange and returns once the answer's header is there. The
// body is read as it arrives; its errors are those of Cause. The caller closes
// the answer.
func (l Endpoint) Open(ctx context.Context, req *fasthttp.Request) (*Response, error) {
	c, stop, err := l.send(ctx, req)
	if err != nil {
		return nil, err
	}
	resp := &fasthttp.Response{StreamBody: true}
	if err := resp.ReadLimitBody(bufio.NewReader(c), orDefault(l.MaxBody, defaultMaxBody)); err != nil {
		stop()
		_ = c.Close()
		return nil, &Error{Sent: true, Err: cause(ctx, err)}
	}
	return &Response{
		Header: &resp.Header, Body: resp.BodyStream(),
		conn: c, idleTimeout: orDefault(l.IdleTimeout, defaultIdleTimeout), stop: stop, ctx: ctx,
	}, nil
}

// Flow tells that the first piece of the answer is there. Servers send their
// header at once and may take long to the first piece; only from then on does
// a pause mean that the connection is silent.
func (a *Response) UseIdleTimeout() { a.conn.timeout = a.idleTimeout }

// Cause returns what really ended the body: the context, silence, or err.
func (a *Response) Cause(err error) error { return cause(a.ctx, err) }

// Close closes the connection.
func (a *Response) Close() {
	a.stop()
	_ = a.conn.Close()
}

func (l Endpoint) send(ctx context.Context, req *fasthttp.Request) (c *conn, stop func() bool, err error) {
	nc, err := l.connect(ctx)
	if err != nil {
		return nil, nil, &Error{Err: cause(ctx, err)}
	}
	c = &conn{Conn: nc, timeout: orDefault(l.FirstByteTimeout, defaultFirstByteTimeout)}
	stop = context.AfterFunc(ctx, func() { _ = nc.Close() })
	req.SetConnectionClose()
	if len(req.Header.Host()) == 0 {
		req.SetHost(l.Address)
	}
	w := bufio.NewWriter(c)
	err = req.Write(w)
	if err == nil {
		err = w.Flush()
	}
	if err != nil {
		stop()
		_ = c.Close()
		return nil, nil, &Error{Sent: c.written.Load(), Err: cause(ctx, err)}
	}
	return c, stop, nil
}

func (l Endpoint) connect(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, orDefault(l.DialTimeout, defaultDialTimeout))
	defer cancel()
	if l.Connect != nil {
		return l.Connect(ctx, l.Address)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", l.Address)
}

// Read waits for the first byte, and then for each further piece, no longer
// than its own limit. Without it a connection that nobody closes holds its
// caller for ever.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 && c.idleTimeout > 0 {
		c.timeout = c.idleTimeout
	}
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	c.written.Store(true)
	return c.Conn.Write(p)
}

func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	var timeout net.Error
	if errors.Is(err, fasthttp.ErrTimeout) || errors.As(err, &timeout) && timeout.Timeout() {
		return fmt.Errorf("%w (%w)", ErrStalled, err)
	}
	return err
}

func orDefault[T int | time.Duration](v, def T) T {
	if v <= 0 {
		return def
	}
	return v
}
