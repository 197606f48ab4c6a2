package trace

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	sdk "go.opentelemetry.io/otel/sdk/trace"

	"github.com/slaterock/slaterock/internal/prog/result"
)

const (
	traceID = "4bf92f3577b34da6a3ce929d0e0e4736"
	parent  = "00-" + traceID + "-00f067aa0ba902b7-01"
)

// stuck is an exporter that blocks, as with a collector that never answers.
type stuck struct{ release chan struct{} }

func (s stuck) ExportSpans(context.Context, []sdk.ReadOnlySpan) error {
	<-s.release
	return errors.New("collector gone")
}

func (stuck) Shutdown(context.Context) error { return nil }

func TestHopsShareOneTrace(t *testing.T) {
	is := is.New(t)
	var file bytes.Buffer
	tr, err := Open(t.Context(), Settings{Daemon: "vm1", File: &file})
	is.NoErr(err)
	_, edge := tr.Start(t.Context(), Edge, parent)
	_, owner := tr.Start(t.Context(), Owner, edge.Traceparent())
	ctx, upstream := tr.Start(t.Context(), Upstream, owner.Traceparent())
	_, inner := tr.Start(ctx, Store, "") // the parent is in ctx
	inner.End(nil)
	upstream.End(errors.New("engine gone"))
	owner.Result(result.Refuse(result.CodeOverloaded, "full"))
	edge.Result(result.Result{Code: result.CodeOK})
	is.NoErr(tr.Close(t.Context()))
	is.Equal(strings.Count(file.String(), `"SpanContext":{"TraceID":"`+traceID), 4)
	is.Equal(strings.Count(file.String(), "\n"), 4)
	is.True(strings.Contains(file.String(), "engine gone"))
	is.True(strings.Contains(file.String(), "overloaded"))
	is.True(Parse(edge.Traceparent()).IsValid())
	is.True(edge.Traceparent() != parent) // a child, not the caller's span
}

// The collector hangs. Requests must not be delayed: tracing must not cause the latency
// that it is meant to explain.
func TestStuckCollector(t *testing.T) {
	is := is.New(t)
	s := stuck{release: make(chan struct{})}
	tr := open(Settings{}, s)
	for range 4 * queueSize {
		_, span := tr.Start(t.Context(), Edge, "")
		span.End(nil) // would block for ever
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(tr.Close(ended) != nil) // ends with its context
	close(s.release)
}

func TestTraceparentIsPropagated(t *testing.T) {
	tests := map[string]struct {
		trace  *Trace
		parent string
		same   bool // propagated unchanged
		valid  bool
	}{
		"zero value":         {&Trace{}, parent, true, true},
		"nil":                {nil, parent, true, true},
		"no exporter":        {open(Settings{}), parent, false, true},
		"no parent":          {open(Settings{}), "", false, true},
		"malformed parent":   {open(Settings{}), "00-zz", false, true},
		"zero without one":   {&Trace{}, "", true, false},
		"share of new ones":  {open(Settings{SampleRatio: 0.5}, stuck{}), parent, false, true},
		"malformed and zero": {&Trace{}, "00-zz", true, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, span := tt.trace.Start(t.Context(), Edge, tt.parent)
			next := span.Traceparent()
			span.Set()
			span.End(nil)
			is.Equal(next == tt.parent, tt.same)
			is.Equal(Parse(next).IsValid(), tt.valid)
			if tt.valid && tt.parent == parent {
				is.Equal(Parse(next).TraceID().String(), traceID)
			}
		})
	}
}
