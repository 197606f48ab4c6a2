// Package trip is an HTTP transport over which no response with a broken header comes, and none of which the
// connection failed while its request was being written.
//
// http.Transport pools connections, reads whatever its own reader takes, and no longer tells of a failed write once a
// response has begun. Here each connection is a duplex.Conn and has a head.Checker. It has to know where a response begins: when
// the transport takes a connection for a request, all of the response before was read.
package trip

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/slaterock/slaterock/internal/plat/duplex"
	"github.com/slaterock/slaterock/internal/plat/head"
)

type (
	// Transport is an http.RoundTripper. Set the exported fields before use; the zero value works.
	Transport struct {
		Dialer      net.Dialer
		Proxy       func(r *http.Request) (*url.URL, error) // nil for none
		IdlePerHost int                                     // idle connections that are kept for a host; 0 is the default of http.Transport
		IdleTimeout time.Duration                           // of idle connections; 0 for none
		// Broken is called for each response that is broken; nil for nothing.
		Broken func(err *head.Error)
		// Reset is called for each response of which the connection failed while the request was being written; nil for
		// nothing. The error wraps duplex.ErrReset.
		Reset func(err error)

		once sync.Once
		base http.Transport
	}

	// conn passes on no bytes of a broken header.
	conn struct {
		*duplex.Conn
		transport *Transport
		expected  atomic.Bool  // a request is about to be sent
		checker   head.Checker // of the reading goroutine
	}

	// writing is the write of one request, over one connection after another.
	writing struct {
		mu   sync.Mutex
		done func(err error) // ends it at the connection; nil if none has begun
	}

	// received reads from a connection without checking, but for where a response begins.
	received struct{ conn *conn }
)

var _ http.RoundTripper = (*Transport)(nil)

// RoundTrip implements http.RoundTripper. After a response with a broken header, the error wraps a *head.Error, and
// the connection is closed. A request that may be repeated without harm is sent once more over another connection, as
// http.Transport does when a used one breaks.
func (t *Transport) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	t.once.Do(t.init)
	var w writing
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: w.begin, WroteRequest: w.end})
	return t.base.RoundTrip(r.WithContext(ctx))
}

// CloseIdleConnections closes the connections that are idle.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

func (t *Transport) init() {
	t.base.DialContext = t.dial
	t.base.Proxy = t.Proxy
	t.base.MaxIdleConnsPerHost = t.IdlePerHost
	t.base.IdleConnTimeout = t.IdleTimeout
	t.base.DisableCompression = true
}

func (t *Transport) dial(ctx context.Context, network, address string) (net.Conn, error) {
	nc, err := t.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: &duplex.Conn{Conn: nc}, transport: t}, nil
}

// begin notes that the request is about to be written to a connection. One before has failed.
func (w *writing) begin(info httptrace.GotConnInfo) {
	w.end(httptrace.WroteRequestInfo{})
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	c.expected.Store(true)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done = c.Begin()
}

// end notes that the request was written, or that this has failed.
func (w *writing) end(info httptrace.WroteRequestInfo) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done != nil {
		w.done(info.Err)
		w.done = nil
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (n int, err error) {
	known := c.checker.Err()
	n, err = c.checker.Read(received{c}, p)
	var broken *head.Error
	if known == nil && errors.As(c.checker.Err(), &broken) && c.transport.Broken != nil {
		c.transport.Broken(broken)
	}
	if errors.Is(err, duplex.ErrReset) && c.transport.Reset != nil {
		c.transport.Reset(err)
	}
	return n, err
}

// Read reads what the connection has received. A read that began before a request was sent may return its response.
func (r received) Read(p []byte) (n int, err error) {
	n, err = r.conn.Conn.Read(p)
	if r.conn.expected.Swap(false) {
		r.conn.checker = head.Checker{}
	}
	return n, err
}
