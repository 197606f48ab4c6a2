package line_test

import (
	"context"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/slaterock/slaterock/internal/fake/host"
	"github.com/slaterock/slaterock/internal/plat/line"
)

func serve(tb testing.TB, handler host.Handler) *host.Host {
	var l net.ListenConfig
	ln, err := l.Listen(tb.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	h := &host.Host{Handler: handler}
	h.Start(ln)
	tb.Cleanup(h.Close)
	return h
}

// An answer larger than its reader allows would fill the reader's memory. It
// is refused, and not cut: half of an answer must not pass for the whole.
func TestAnswerTooLarge(t *testing.T) {
	is := is.New(t)
	h := serve(t, func(_ context.Context, w *fasthttp.RequestCtx) { w.SetBodyString(strings.Repeat("x", 1000)) })
	var req fasthttp.Request
	var resp fasthttp.Response
	err := line.Line{Address: h.Address(), MaxBody: 999}.Do(t.Context(), &req, &resp)
	is.True(err != nil)
	is.NoErr(line.Line{Address: h.Address(), MaxBody: 1000}.Do(t.Context(), &req, &resp))
	is.Equal(len(resp.Body()), 1000)
}

// BenchmarkExchange measures an exchange with a connection of its own over
// loopback, client and server together.
func BenchmarkExchange(b *testing.B) {
	h := serve(b, func(_ context.Context, w *fasthttp.RequestCtx) { w.SetBodyString("ok") })
	l := line.Line{Address: h.Address()}
	b.ReportAllocs()
	for b.Loop() {
		var req fasthttp.Request
		var resp fasthttp.Response
		if err := l.Do(b.Context(), &req, &resp); err != nil {
			b.Fatal(err)
		}
	}
}
