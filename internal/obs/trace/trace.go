// Package trace records one span for each hop of a request, and propagates the trace from
// hop to hop as a W3C traceparent.
//
// Spans are exported in the background, to a collector by OTLP over HTTP or to a file. If
// the collector is slow or down, spans are dropped once the queue is full; requests are
// never delayed.
package trace

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"github.com/slaterock/slaterock/internal/plat/trip"
	"github.com/slaterock/slaterock/internal/prog/result"
)

// The hops of a request.
const (
	Edge     Hop = "edge"     // at the daemon that accepted the request
	Relay    Hop = "relay"    // from the edge to the owner and back
	Owner    Hop = "owner"    // at the owner, including queueing
	Upstream Hop = "upstream" // one attempt at one upstream
	Store    Hop = "store"    // one call to the platform's store
	Records  Hop = "records"  // durable records read and written before a turn runs
)

const (
	service       = "slaterock"
	header        = "traceparent"
	exportTimeout = 5 * time.Second
	idleTimeout   = 90 * time.Second // of connections to the collector
	queueSize     = 4096             // spans waiting for export
)

type (
	// Hop is one stage of a request, and the name of its span.
	Hop string

	// Settings configures a Trace. Without Endpoint and File no spans are exported, and
	// trace IDs are still propagated, but as not sampled.
	Settings struct {
		Daemon      string
		Endpoint    string      // IP address and port of an OTLP/HTTP collector
		File        io.Writer   // spans as JSON lines
		SampleRatio float64     // of traces that start here; 0 means all
		OnError     func(error) // called with export errors; process-wide
	}

	// Trace records spans. The zero value and nil record nothing and propagate the
	// caller's traceparent unchanged.
	Trace struct {
		provider *sdk.TracerProvider
		tracer   trace.Tracer
	}

	// Span is a started hop.
	Span struct {
		span   trace.Span
		parent string
	}
)

// Open returns a Trace that exports until Close.
func Open(ctx context.Context, s Settings) (t *Trace, err error) {
	defer func() { err = errors.Wrap(err, "open trace") }()
	var exporters []sdk.SpanExporter
	if s.Endpoint != "" {
		e, err := otlptracehttp.New(ctx,
			otlptracehttp.WithEndpoint(s.Endpoint),
			otlptracehttp.WithInsecure(),
			otlptracehttp.WithHTTPClient(collectorClient()),
		)
		if err != nil {
			return nil, err
		}
		exporters = append(exporters, e)
	}
	if s.File != nil {
		e, err := stdouttrace.New(stdouttrace.WithWriter(s.File))
		if err != nil {
			return nil, err
		}
		exporters = append(exporters, e)
	}
	if s.OnError != nil {
		otel.SetErrorHandler(otel.ErrorHandlerFunc(s.OnError))
	}
	return open(s, exporters...), nil
}

func collectorClient() *http.Client {
	return &http.Client{Transport: &trip.Transport{Proxy: http.ProxyFromEnvironment, IdleTimeout: idleTimeout}, Timeout: exportTimeout}
}

func open(s Settings, exporters ...sdk.SpanExporter) *Trace {
	options := []sdk.TracerProviderOption{
		sdk.WithSampler(sampler(s, len(exporters))),
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", service),
			attribute.String("service.instance.id", s.Daemon),
		)),
	}
	for _, e := range exporters {
		options = append(options, sdk.WithBatcher(e, sdk.WithMaxQueueSize(queueSize), sdk.WithExportTimeout(exportTimeout)))
	}
	provider := sdk.NewTracerProvider(options...)
	return &Trace{provider: provider, tracer: provider.Tracer(service)}
}

// sampler returns a sampler that follows the caller's decision if there is one, and
// SampleRatio otherwise. Without exporters it never samples.
func sampler(s Settings, exporters int) sdk.Sampler {
	if exporters == 0 {
		return sdk.NeverSample()
	}
	if s.SampleRatio <= 0 || s.SampleRatio >= 1 {
		return sdk.ParentBased(sdk.AlwaysSample())
	}
	return sdk.ParentBased(sdk.TraceIDRatioBased(s.SampleRatio))
}

// Start starts a hop. Parent is the traceparent of the request; if it is empty or
// malformed, the span in ctx is the parent, or there is none. The returned context has
// the new span.
func (t *Trace) Start(ctx context.Context, hop Hop, parent string, attrs ...attribute.KeyValue) (context.Context, Span) {
	if t == nil || t.tracer == nil {
		return ctx, Span{parent: parent}
	}
	if remote := Parse(parent); remote.IsValid() {
		ctx = trace.ContextWithRemoteSpanContext(ctx, remote)
	}
	ctx, span := t.tracer.Start(ctx, string(hop), trace.WithAttributes(attrs...))
	return ctx, Span{span: span}
}

// Close exports the queued spans, until ctx ends.
func (t *Trace) Close(ctx context.Context) error {
	if t == nil || t.provider == nil {
		return nil
	}
	return errors.Wrap(t.provider.Shutdown(ctx), "close trace")
}

// Traceparent returns the traceparent to send to the next hop.
func (s Span) Traceparent() string {
	if s.span == nil {
		return s.parent
	}
	return Format(s.span.SpanContext())
}

// Set sets attributes of the span.
func (s Span) Set(attrs ...attribute.KeyValue) {
	if s.span != nil {
		s.span.SetAttributes(attrs...)
	}
}

// Result ends the span with the request's result.
func (s Span) Result(r result.Result) {
	if s.span == nil {
		return
	}
	s.span.SetAttributes(attribute.String("code", string(r.Code)), attribute.String("ran", string(r.Ran)))
	if !r.OK() {
		s.span.SetStatus(codes.Error, r.Message)
	}
	s.span.End()
}

// End ends the span; err may be nil.
func (s Span) End(err error) {
	if s.span == nil {
		return
	}
	if err != nil {
		s.span.SetStatus(codes.Error, err.Error())
	}
	s.span.End()
}

// Parse parses a traceparent. The result is not valid if the text is malformed.
func Parse(parent string) trace.SpanContext {
	ctx := propagation.TraceContext{}.Extract(context.Background(), propagation.MapCarrier{header: parent})
	return trace.SpanContextFromContext(ctx)
}

// Format returns sc as a traceparent, empty if sc is not valid.
func Format(sc trace.SpanContext) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(trace.ContextWithSpanContext(context.Background(), sc), carrier)
	return carrier[header]
}
