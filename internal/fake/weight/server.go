package weight

import (
	"context"
	"encoding/json"
	"net"
	"net/http"

	"github.com/valyala/fasthttp"

	"github.com/slaterock/slaterock/internal/fake/server"
	"github.com/slaterock/slaterock/internal/plat/wthttp"
)

// Serve serves the weight store on the listener in the format of wthttp.Client.
func Serve(ln net.Listener, w *Weights) *server.HTTP {
	h := &server.HTTP{Handler: w.serve}
	h.Start(ln)
	return h
}

func (w *Weights) serve(ctx context.Context, out *fasthttp.RequestCtx) {
	var req wthttp.Request
	if json.Unmarshal(out.PostBody(), &req) != nil {
		out.SetStatusCode(http.StatusBadRequest)
		return
	}
	wait, err := w.Admit(ctx, req.Model)
	if err != nil {
		out.Error(err.Error(), http.StatusServiceUnavailable)
		return
	}
	body, _ := json.Marshal(wthttp.Response{Wait: wait})
	out.SetContentType("application/json")
	out.SetBody(body)
}
