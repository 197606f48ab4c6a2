package vmset

import (
	"context"
	"encoding/json"
	"net"
	"net/http"

	"github.com/valyala/fasthttp"

	"github.com/slaterock/slaterock/internal/fake/server"
)

// Serve serves the list on the listener in the format of vmhttp.Client.
func Serve(ln net.Listener, s *Set) *server.HTTP {
	h := &server.HTTP{Handler: s.serve}
	h.Start(ln)
	return h
}

func (s *Set) serve(ctx context.Context, w *fasthttp.RequestCtx) {
	vms, err := s.VMs(ctx)
	if err != nil {
		w.Error(err.Error(), http.StatusServiceUnavailable)
		return
	}
	body, _ := json.Marshal(vms)
	w.SetContentType("application/json")
	w.SetBody(body)
}
