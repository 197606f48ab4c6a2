package server

import (
	"github.com/valyala/fasthttp"
)

// routeOperator dispatches the operators' paths. Other accounts get a 404 for
// them.
func (s *Server) routeOperator(x *exchange) {
	switch {
	case !x.operator:
		x.notFound()
	case x.is("GET", "/v1/status") && s.Status != nil:
		x.json(fasthttp.StatusOK, s.Status(s.base))
	case x.is("POST", "/v1/drain") && s.Drain != nil:
		s.Drain()
		x.json(fasthttp.StatusAccepted, struct {
			Draining bool `json:"draining"`
		}{true})
	case x.is("GET", pathConfig) && s.Text != nil:
		text, version := s.Text()
		x.json(fasthttp.StatusOK, currentConfig{Version: version, Text: string(text)})
	case x.is("POST", pathConfig) && s.Apply != nil:
		s.apply(x)
	default:
		x.notFound()
	}
}
