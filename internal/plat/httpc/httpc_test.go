package httpc_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/slaterock/slaterock/internal/fake/server"
	"github.com/slaterock/slaterock/internal/plat/httpc"
)

func serve(tb testing.TB, handler server.Handler) *server.HTTP {
	var l net.ListenConfig
	ln, err := l.Listen(tb.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	h := &server.HTTP{Handler: handler}
	h.Start(ln)
	tb.Cleanup(h.Close)
	return h
}

// A response above MaxBody could exhaust the client's memory. It is an error and
// not truncated: a partial response must not pass for a complete one.
func TestResponseTooLarge(t *testing.T) {
	is := is.New(t)
	h := serve(t, func(_ context.Context, w *fasthttp.RequestCtx) { w.SetBodyString(strings.Repeat("x", 1000)) })
	var req fasthttp.Request
	var resp fasthttp.Response
	err := httpc.Endpoint{Address: h.Address(), MaxBody: 999}.Do(t.Context(), &req, &resp)
	is.True(err != nil)
	is.NoErr(httpc.Endpoint{Address: h.Address(), MaxBody: 1000}.Do(t.Context(), &req, &resp))
	is.Equal(len(resp.Body()), 1000)
}

// exchange runs one exchange with a server given as a function of its connection.
func exchange(t *testing.T, peer func(net.Conn)) (err error) {
	synctest.Test(t, func(t *testing.T) {
		l := httpc.Endpoint{Address: "peer", Connect: func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go peer(far)
			return near, nil
		}}
		var req fasthttp.Request
		var resp fasthttp.Response
		req.SetBodyString(strings.Repeat("x", 100_000))
		start := time.Now()
		err = l.Do(t.Context(), &req, &resp)
		if errors.Is(err, httpc.ErrStalled) {
			err = stalled{error: err, after: time.Since(start)}
		}
	})
	return err
}

// stalled adds to ErrStalled the time after which the exchange was abandoned.
type stalled struct {
	error
	after time.Duration
}

func (s stalled) Unwrap() error { return s.error }

func TestFailures(t *testing.T) {
	tests := map[string]struct {
		peer  func(net.Conn)
		after time.Duration
	}{
		// The connection breaks in the middle of the request. The part that
		// arrived may have been enough to act on, so it must count as sent.
		"breaks while it is sent": {func(c net.Conn) {
			_, _ = c.Read(make([]byte, 10))
			_ = c.Close()
		}, 0},
		"breaks before an answer": {func(c net.Conn) {
			_, _ = io.ReadFull(c, make([]byte, 100_000))
			_ = c.Close()
		}, 0},
		// The server accepts the connection and reads nothing.
		"is not read": {func(net.Conn) {}, 30 * time.Second},
		// The response stops in the middle. The timeout between two pieces is
		// shorter than the one for the first.
		"stops in the middle of the answer": {func(c net.Conn) {
			go func() { _, _ = io.Copy(io.Discard, c) }()
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
		}, 10 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := exchange(t, tt.peer)
			var failed *httpc.Error
			is.True(errors.As(err, &failed))
			is.True(failed.Sent)
			var s stalled
			is.Equal(errors.As(err, &s), tt.after > 0)
			is.Equal(s.after, tt.after)
		})
	}
}

// BenchmarkExchange measures an exchange on a new connection over loopback, client
// and server together.
func BenchmarkExchange(b *testing.B) {
	h := serve(b, func(_ context.Context, w *fasthttp.RequestCtx) { w.SetBodyString("ok") })
	l := httpc.Endpoint{Address: h.Address()}
	b.ReportAllocs()
	for b.Loop() {
		var req fasthttp.Request
		var resp fasthttp.Response
		if err := l.Do(b.Context(), &req, &resp); err != nil {
			b.Fatal(err)
		}
	}
}
