package ledger

import (
	"context"
	"net"
	"slices"

	"github.com/valyala/fasthttp"

	"github.com/slaterock/slaterock/internal/fake/server"
	"github.com/slaterock/slaterock/internal/plat/plain"
	"github.com/slaterock/slaterock/internal/plat/tool"
)

// Serve serves the service on the listener. If Do returns an error, the
// connection is closed without a response.
func Serve(ln net.Listener, s *Service) *server.HTTP {
	h := &server.HTTP{Handler: s.serve}
	h.Start(ln)
	return h
}

func (s *Service) serve(ctx context.Context, w *fasthttp.RequestCtx) {
	resp, err := s.Do(ctx, tool.Request{
		ID:          string(w.Request.Header.Peek(plain.HeaderRequest)),
		Method:      string(w.Method()),
		Path:        string(w.RequestURI()),
		ContentType: string(w.Request.Header.ContentType()),
		Body:        slices.Clone(w.PostBody()),
		TraceParent: string(w.Request.Header.Peek("Traceparent")),
	})
	if err != nil {
		server.Abort(w)
		return
	}
	w.SetStatusCode(resp.Status)
	w.SetContentType(resp.ContentType)
	w.SetBody(resp.Body)
}
