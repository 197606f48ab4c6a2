// Package trace records one span for each hop of a request, and carries the
// trace from hop to hop as a W3C traceparent.
//
// Spans are exported in the background, to a collector by OTLP over HTTP or to
// a file. A collector that is slow or down costs spans, never a request: a full
// queue drops them. The zero value records nothing and passes a caller's
// traceparent on unchanged.
package trace

import (
	"context"
	"io"
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

	"github.com/slaterock/slaterock/internal/prog/result"
)

// The hops of a request.
const (
	Edge     Hop = "edge"     // at the daemon that met the caller
	Relay    Hop = "relay"    // from there to the owner and back
	Owner    Hop = "owner"    // at the owner, waiting included
	Upstream Hop = "upstream" // one attempt at one upstream
	Store    Hop = "store"    // one call to the platform's store
	Records  Hop = "records"  // durable records read and written before a turn runs
)

const (
	service       = "slaterock"
	header        = "traceparent"
	exportTimeout = 5 * time.Second
	queueSize     = 4096 // spans that wait for the exporter
)

type (
	// Hop is one leg of a request's way.
	Hop string

	// Settings tell where spans go. Without Endpoint and File they go nowhere,
	// but traces are still carried on.
	Settings struct {
		Daemon      string
		Endpoint    string      // IP number and port of an OTLP/HTTP collector
		File        io.Writer   // spans as JSON lines
		SampleRatio float64     // of traces that begin here; 0 means all
		OnError     func(error) // told why spans were lost; process-wide
	}

	// Trace records spans.
	Trace struct {
		provider *sdk.TracerProvider
		tracer   trace.Tracer
	}

	// Span is one hop under way.
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
			otlptracehttp.WithTimeout(exportTimeout),
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

// sampler follows the caller's choice where it made one.
func sampler(s Settings, exporters int) sdk.Sampler {
	if exporters == 0 {
		return sdk.NeverSample()
	}
	if s.SampleRatio <= 0 || s.SampleRatio >= 1 {
		return sdk.ParentBased(sdk.AlwaysSample())
	}
	return sdk.ParentBased(sdk.TraceIDRatioBased(s.SampleRatio))
}

// Start begins a hop. Parent is the traceparent that came with the request; if
// it is empty or malformed, the span in ctx is the parent, or there is none.
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

// Close exports what waits, until ctx ends.
func (t *Trace) Close(ctx context.Context) error {
	if t == nil || t.provider == nil {
		return nil
	}
	return errors.Wrap(t.provider.Shutdown(ctx), "close trace")
}

// Parent returns the traceparent for the next hop.
func (s Span) Traceparent() string {
	if s.span == nil {
		return s.parent
	}
	return Format(s.span.SpanContext())
}

// Set adds attributes.
func (s Span) Set(attrs ...attribute.KeyValue) {
	if s.span != nil {
		s.span.SetAttributes(attrs...)
	}
}

// Result ends the hop with an outcome.
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

// End ends the hop; err may be nil.
func (s Span) End(err error) {
	if s.span == nil {
		return
	}
	if err != nil {
		s.span.SetStatus(codes.Error, err.Error())
	}
	s.span.End()
}

// Parse reads a traceparent. It is not valid if the text is malformed.
func Parse(parent string) trace.SpanContext {
	ctx := propagation.TraceContext{}.Extract(context.Background(), propagation.MapCarrier{header: parent})
	return trace.SpanContextFromContext(ctx)
}

// Format writes a traceparent, empty if sc is not valid.
func Format(sc trace.SpanContext) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(trace.ContextWithSpanContext(context.Background(), sc), carrier)
	return carrier[header]
}
