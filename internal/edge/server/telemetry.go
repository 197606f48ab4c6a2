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

// Values of the metric tag path, and the tags' names.
const (
	tagPathOther   = "other"
	tagPathChat    = "chat"
	tagPathStream  = "stream"
	tagPathService = "service"

	tagPath = "path"
	tagCode = "code"
)

type (
	// meters are the metrics of all requests.
	meters struct {
		scope    tally.Scope
		inFlight tally.Gauge
	}

	// telemetry collects the log line, span and metrics of one request, which are
	// emitted at its end. It holds no body and no key.
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

// newTelemetry starts the span of a request, as a child of the caller's if the
// request has a trace header.
func (s *Server) newTelemetry(x *exchange) *telemetry {
	parent := string(x.Request.Header.Peek(headerTrace))
	_, span := s.Trace.Start(context.Background(), trace.Edge, parent)
	t := &telemetry{server: s, span: span, start: x.start, path: tagPathOther}
	t.ID = x.id.String()
	t.Hop = string(trace.Edge)
	return t
}

// firstPiece records the time from the request to the first piece of a stream.
func (t *telemetry) firstPiece() {
	t.server.meters.scope.Timer("first_piece_seconds").Record(time.Since(t.start))
}

// end emits the span, metrics and log line of the request.
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

// addInFlight changes the number of calls in flight by n.
func (s *Server) addInFlight(n int64) {
	s.meters.inFlight.Update(float64(s.inFlight.Add(n)))
}
