package server

import (
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/slaterock/slaterock/internal/prog/result"
)

// running is the configuration in force, as operators read it.
type running struct {
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

// operate answers operators. To other accounts these paths do not exist.
func (s *Server) operate(x *exchange) {
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
	case x.is("GET", "/v1/config") && s.Text != nil:
		text, version := s.Text()
		x.json(fasthttp.StatusOK, running{Version: version, Text: string(text)})
	case x.is("POST", "/v1/config") && s.Apply != nil:
		s.apply(x)
	default:
		x.notFound()
	}
}

// apply puts the body in force as the next configuration. The operator names
// the version that the text was made from, so that nobody undoes another's
// change unseen.
func (s *Server) apply(x *exchange) {
	from, err := strconv.ParseUint(string(x.QueryArgs().Peek("from")), 10, 64)
	if err != nil {
		x.badRequest("the query parameter from must be the version that this configuration was made from")
		return
	}
	applied := s.Apply(s.base, append([]byte(nil), x.Request.Body()...), from)
	switch {
	case applied.Conflict:
		x.json(fasthttp.StatusConflict, applied)
	case len(applied.Problems) > 0:
		x.json(fasthttp.StatusBadRequest, applied)
	case applied.Message != "":
		x.refuse(result.Failed(result.CodeStoreDown, result.Unknown, "%s", applied.Message))
	default:
		x.json(fasthttp.StatusOK, applied)
	}
}
