// Package httpc is an HTTP client that uses a new connection for each exchange.
//
// Calls to upstreams and to the platform must know exactly whether a byte of the
// request may have arrived, must end at once with their context, and must detect
// a connection that stops delivering data without being closed. Connection pools
// make all three hard: a pooled connection may be dead without a sign of it, and
// a client library may resend a request by itself. So each exchange dials, sends
// once and closes. A dead connection then costs one exchange.
package httpc

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/slaterock/slaterock/internal/plat/head"
)

const (
	defaultDialTimeout      = time.Second
	defaultFirstByteTimeout = 30 * time.Second
	defaultIdleTimeout      = 10 * time.Second
	defaultMaxBody          = 64 << 20
	maxResponses            = 32 // that are read for one request, with informational ones
)

type (
	// Endpoint sends requests to one address. All fields but Address have
	// defaults for their zero values.
	Endpoint struct {
		Address     string        // IP address and port
		DialTimeout time.Duration // to establish the connection

		// FirstByteTimeout limits each write, and each read until the response's
		// first byte has arrived or, after Open, until UseIdleTimeout is called.
		FirstByteTimeout time.Duration

		IdleTimeout time.Duration // limits each read after that
		MaxBody     int           // largest response body of Do, in bytes

		// Connect replaces dialling in tests.
		Connect func(ctx context.Context, address string) (net.Conn, error)
	}

	// Error is an exchange without a complete response. Sent false means that
	// no byte of the request was written to the connection.
	Error struct {
		Sent bool
		Err  error
	}

	// Response is a response whose body is still being received.
	Response struct {
		Header *fasthttp.ResponseHeader
		Body   io.Reader

		conn        *conn
		idleTimeout time.Duration
		stop        func() bool
		ctx         context.Context //nolint:containedctx // Cause reports its end as the cause of read errors
	}

	// conn sets a deadline for each read and write, records whether any write
	// was attempted, and passes on no bytes of a broken header.
	conn struct {
		net.Conn
		checker     head.Checker
		timeout     time.Duration
		idleTimeout time.Duration // replaces timeout after the first byte; 0: never
		written     atomic.Bool
	}
)

// ErrStalled reports a connection that made no progress within its timeout. Its
// text is stored in histories and keeps its wording.
var ErrStalled = errors.New("line: connection is silent")

var errInformational = errors.New("only informational responses")

// Error returns the cause's text.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Do sends the request and reads the whole response into resp.
func (e Endpoint) Do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error {
	c, stop, err := e.send(ctx, req)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	defer stop()
	c.idleTimeout = orDefault(e.IdleTimeout, defaultIdleTimeout)
	return e.receive(ctx, c, resp)
}

// Open sends the request and returns when the response's header has arrived; if the
// response has a Content-Length of at most MaxBody, it returns when the whole body
// has arrived. MaxBody does not limit a streamed body. The caller reads the body as
// it arrives, finds the cause of a read error with Cause, and closes the response.
func (e Endpoint) Open(ctx context.Context, req *fasthttp.Request) (*Response, error) {
	c, stop, err := e.send(ctx, req)
	if err != nil {
		return nil, err
	}
	resp := &fasthttp.Response{StreamBody: true}
	if err := e.receive(ctx, c, resp); err != nil {
		stop()
		_ = c.Close()
		return nil, err
	}
	return &Response{
		Header: &resp.Header, Body: bodyOf(resp),
		conn: c, idleTimeout: orDefault(e.IdleTimeout, defaultIdleTimeout), stop: stop, ctx: ctx,
	}, nil
}

// receive reads the response, and skips informational ones. After one with a broken header, the error wraps a *head.Error.
func (e Endpoint) receive(ctx context.Context, c *conn, resp *fasthttp.Response) error {
	br := bufio.NewReader(c)
	for range maxResponses {
		if err := resp.ReadLimitBody(br, orDefault(e.MaxBody, defaultMaxBody)); err != nil {
			return &Error{Sent: true, Err: c.cause(ctx, err)}
		}
		if resp.StatusCode() >= http.StatusOK {
			return nil
		}
	}
	return &Error{Sent: true, Err: errInformational}
}

// bodyOf returns the body of a response. One with a status that allows none has no stream.
func bodyOf(resp *fasthttp.Response) io.Reader {
	if r := resp.BodyStream(); r != nil {
		return r
	}
	return http.NoBody
}

// UseIdleTimeout switches from FirstByteTimeout to IdleTimeout. It is called when
// the first piece of the body has arrived: servers may send the header at once and
// take long to the first piece, and only after that does a short pause mean that
// the connection has stalled.
func (r *Response) UseIdleTimeout() { r.conn.timeout = r.idleTimeout }

// Cause returns the cause of the read error err: a *head.Error after broken bytes, the context's error, an error
// that wraps ErrStalled after a timeout, or err itself.
func (r *Response) Cause(err error) error { return r.conn.cause(r.ctx, err) }

// Close closes the connection.
func (r *Response) Close() {
	r.stop()
	_ = r.conn.Close()
}

func (e Endpoint) send(ctx context.Context, req *fasthttp.Request) (c *conn, stop func() bool, err error) {
	nc, err := e.connect(ctx)
	if err != nil {
		return nil, nil, &Error{Err: cause(ctx, err)}
	}
	c = &conn{Conn: nc, timeout: orDefault(e.FirstByteTimeout, defaultFirstByteTimeout)}
	stop = context.AfterFunc(ctx, func() { _ = nc.Close() })
	req.SetConnectionClose()
	if len(req.Header.Host()) == 0 {
		req.SetHost(e.Address)
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

func (e Endpoint) connect(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, orDefault(e.DialTimeout, defaultDialTimeout))
	defer cancel()
	if e.Connect != nil {
		return e.Connect(ctx, e.Address)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", e.Address)
}

// Read applies the current timeout to each read. Without it, a dead connection that
// is never closed would block its caller for ever.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	n, err := c.checker.Read(c.Conn, p)
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

// cause does what cause does, after broken bytes of the response, too: the library may hide them.
func (c *conn) cause(ctx context.Context, err error) error {
	if broken := c.checker.Err(); broken != nil {
		return broken
	}
	return cause(ctx, err)
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
