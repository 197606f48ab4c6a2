package server

import (
	"net/url"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/slaterock/slaterock/internal/edge/reqid"
	"github.com/slaterock/slaterock/internal/front/conns"
	"github.com/slaterock/slaterock/internal/prog/result"
)

// HTTP headers of requests and responses.
const (
	HeaderRequest = "Slaterock-Request"
	HeaderProgram = "Slaterock-Program"
	HeaderCall    = "Slaterock-Call"

	headerTrace = "traceparent"

	// Key prefix, content types and paths.
	bearerPrefix = "Bearer "
	jsonType     = "application/json"
	textType     = "text/plain; charset=utf-8"

	pathConfig   = "/v1/config"
	pathPrograms = "/v1/programs"
	pathServices = "/v1/services/"
	pathRequests = "/v1/requests/"
)

// exchange is one request and its response.
type exchange struct {
	*fasthttp.RequestCtx

	id        reqid.ID
	path      string // still percent-encoded
	account   string
	operator  bool
	start     time.Time
	telemetry *telemetry
	conn      *conns.Conn   // of the caller
	body      []byte        // whole, once readBody has succeeded
	outcome   result.Result // the zero value is a success without details
	detached  bool          // a stream continues after the handler has returned
}

// accountFilter returns the account whose programs the caller may read; empty
// means all accounts.
func (x *exchange) accountFilter() string {
	if x.operator {
		return ""
	}
	return x.account
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	x := &exchange{RequestCtx: ctx, start: time.Now(), path: string(ctx.URI().PathOriginal())}
	var done func()
	x.conn, done = s.connOf(ctx)
	defer done()
	if s.draining.Load() {
		ctx.SetConnectionClose()
	}
	x.assignID("", 0)
	room := x.conn.Begin(x.bodyLength())
	defer x.dropBody()
	if s.probe(x) {
		return
	}
	x.telemetry = s.newTelemetry(x)
	known := s.authenticate(x)
	switch {
	case !room:
		x.refuseNoRoom()
	case x.bodyLength() > s.bodyLimit(x):
		x.refuseTooLong()
	case !known:
		x.answerError(result.Refuse(result.CodeUnauthorized, "the Bearer key is missing or not known"))
	case s.readBody(x):
		s.route(x)
	}
	if !x.detached {
		x.telemetry.end(x.outcome, x.Response.StatusCode())
	}
}

// probe answers the paths that need no key; false if the path is none of them.
func (s *Server) probe(x *exchange) bool {
	switch x.path {
	case "/healthz":
		x.text("ok\n")
	case "/readyz":
		s.ready(x)
	case "/metrics":
		s.metrics(x)
	default:
		return false
	}
	return true
}

func (s *Server) route(x *exchange) {
	switch {
	case x.is("POST", "/v1/chat/completions"):
		s.chat(x)
	case strings.HasPrefix(x.path, pathServices) && isServiceMethod(string(x.Method())):
		s.service(x)
	case x.is("POST", pathPrograms):
		s.open(x)
	case strings.HasPrefix(x.path, pathPrograms+"/"):
		s.program(x)
	case x.IsGet() && strings.HasPrefix(x.path, pathRequests):
		s.request(x)
	case x.is("GET", "/v1/entries"):
		s.entries(x)
	default:
		s.routeOperator(x)
	}
}

func (s *Server) authenticate(x *exchange) bool {
	var ok bool
	x.account, x.operator, ok = s.accountOf(&x.Request.Header)
	x.telemetry.Account = x.account
	return ok
}

// accountOf returns the account of the request's Bearer key.
func (s *Server) accountOf(h *fasthttp.RequestHeader) (account string, operator, ok bool) {
	key, found := strings.CutPrefix(string(h.Peek(fasthttp.HeaderAuthorization)), bearerPrefix)
	if !found || key == "" || s.Account == nil {
		return "", false, false
	}
	return s.Account(key)
}

func (s *Server) ready(x *exchange) {
	switch {
	case s.draining.Load():
		x.answerError(result.Refuse(result.CodeDraining, "this daemon is shutting down"))
	case s.Runner == nil:
		x.answerError(result.Refuse(result.CodeNotOwner, "this daemon is starting"))
	default:
		s.checkReady(x)
	}
}

func (s *Server) checkReady(x *exchange) {
	if s.Ready == nil {
		x.text("ready\n")
		return
	}
	if err := s.Ready(); err != nil {
		x.answerError(result.Refuse(result.CodeNotOwner, "not ready: %v", err))
		return
	}
	x.text("ready\n")
}

func (s *Server) metrics(x *exchange) {
	if s.Metrics == nil {
		x.notFound()
		return
	}
	s.Metrics(x.RequestCtx)
}

func (s *Server) entries(x *exchange) {
	if s.Entries == nil {
		x.notFound()
		return
	}
	x.json(fasthttp.StatusOK, s.Entries(string(x.QueryArgs().Peek("program"))))
}

func (x *exchange) is(method, path string) bool {
	return x.path == path && string(x.Method()) == method
}

// isServiceMethod reports whether a service may be called with the method.
func isServiceMethod(m string) bool {
	switch m {
	case "GET", "POST", "PUT", "PATCH", "DELETE":
		return true
	}
	return false
}

// assignID makes a new request id and sets it in the response header and in
// telemetry.
func (x *exchange) assignID(program string, number int) {
	x.id = reqid.New(program, number)
	x.Response.Header.Set(HeaderRequest, x.id.String())
	if x.telemetry != nil {
		x.telemetry.ID = x.id.String()
	}
}

// unescape decodes a part of the path. A program's id may contain slashes, which
// callers send either literally or as %2F.
func unescape(part string) string {
	plain, err := url.PathUnescape(part)
	if err != nil {
		return part
	}
	return plain
}
