package server

import (
	"context"
	"time"

	tally "github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/attribute"

	"github.com/slaterock/slaterock/internal/obs/logs"
	"github.com/slaterock/slaterock/internal/obs/trace"
	"github.com/slaterock/slaterock/internal/prog/result"
)

// The kinds of requests that metrics tell apart.
const (
	pathOther   = "other"
	pathChat    = "chat"
	pathStream  = "stream"
	pathService = "service"

	tagPath = "path"
	tagCode = "code"
)

type (
	// meters are counted for all requests.
	meters struct {
		scope    tally.Scope
		inFlight tally.Gauge
	}

	// told is what is told of one request at its end: a line in the log, a
	// span and metrics. It holds no body and no key.
	telemetry struct {
		logs.Request

		server *Server
		span   trace.Span
		start  time.Time
		path   string
	}
)

func newMeters(scope tally.Scope) meters {
	if scope == nil {
		scope = tally.NoopScope
	}
	scope = scope.SubScope("edge")
	return meters{scope: scope, inFlight: scope.Gauge("calls_under_way")}
}

// tell begins what is told of a request.
func (s *Server) newTelemetry(x *exchange) *telemetry {
	parent := string(x.Request.Header.Peek(headerTrace))
	_, span := s.Trace.Start(context.Background(), trace.Edge, parent)
	t := &telemetry{server: s, span: span, start: x.start, path: pathOther}
	t.ID = x.id.String()
	t.Hop = string(trace.Edge)
	return t
}

// first notes that the caller gets the first piece of a stream.
func (t *telemetry) firstPiece() {
	t.server.meters.scope.Timer("first_piece_seconds").Record(time.Since(t.start))
}

// end tells of the request.
func (t *telemetry) end(r result.Result, status int) {
	if r.Code == "" {
		r.Code, r.Ran = result.CodeOK, result.Yes
	}
	t.Code, t.Ran, t.Status = r.Code, r.Ran, status
	t.Prompt, t.Cached, t.Output = r.Prompt, r.Cached, r.Output
	t.Upstream = r.Upstream
	t.Duration = time.Since(t.start)
	t.span.Set(
		attribute.String("request", t.ID),
		attribute.String("program", t.Program),
		attribute.Int("call", t.Call),
	)
	t.span.Result(r)
	tags := map[string]string{tagPath: t.path, tagCode: string(r.Code)}
	t.server.meters.scope.Tagged(tags).Counter("requests").Inc(1)
	t.server.meters.scope.Tagged(map[string]string{tagPath: t.path}).Timer("request_seconds").Record(t.Duration)
	t.server.Logs.Request(t.Request)
}

// busier counts the calls under way.
func (s *Server) addInFlight(n int64) {
	s.meters.inFlight.Update(float64(s.inFlight.Add(n)))
}
