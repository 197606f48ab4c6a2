// Package metric collects a daemon's metrics.
//
// Components of the daemon write to a tally.Scope; Metric gathers them for Prometheus to
// scrape. Each daemon has its own Metric, so that several can run in one process. Tags
// must have few values: with accounts or programs as values, callers could grow a
// daemon's memory without bound.
package metric

import (
	"cmp"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	dto "github.com/prometheus/client_model/go"
	tally "github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

const (
	prefix = "slaterock"
	// reportInterval is the maximum age of a scraped value.
	reportInterval = time.Second
)

// Metric is one daemon's metrics. The zero value and nil discard everything.
type Metric struct {
	scope       tally.Scope
	closer      io.Closer
	fastHandler fasthttp.RequestHandler
	handler     http.Handler
}

// New returns a Metric that reports until Close.
func New() *Metric {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	reporter := promreporter.NewReporter(promreporter.Options{
		Registerer:              registry,
		DefaultTimerType:        promreporter.HistogramTimerType,
		DefaultHistogramBuckets: timerBuckets(),
		// A name that is registered with two sets of tag keys loses the second
		// one. That must not stop a daemon; the missing series shows on the
		// dashboard.
		OnRegisterError: func(error) {},
	})
	handler := promhttp.HandlerFor(prometheus.GathererFunc(func() ([]*dto.MetricFamily, error) {
		families, err := registry.Gather()
		slices.SortStableFunc(families, byPriority)
		return families, err
	}), promhttp.HandlerOpts{})
	m := &Metric{fastHandler: fasthttpadaptor.NewFastHTTPHandler(handler), handler: handler}
	m.scope, m.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              promreporter.DefaultSeparator,
		SanitizeOptions:        sanitizeOptions(),
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return m
}

// Scope returns the root scope, which may be retained.
func (m *Metric) Scope() tally.Scope {
	if m == nil || m.scope == nil {
		return tally.NoopScope
	}
	return m.scope
}

// Serve answers a scrape. For nil and the zero value the status is 404.
func (m *Metric) Serve(ctx *fasthttp.RequestCtx) {
	if m == nil || m.fastHandler == nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	m.fastHandler(ctx)
}

// Handler returns the handler of scrapes for net/http, nil for the zero value. It panics on a
// nil Metric.
func (m *Metric) Handler() http.Handler { return m.handler }

// Close reports the last values and stops reporting.
func (m *Metric) Close() error {
	if m == nil || m.closer == nil {
		return nil
	}
	return m.closer.Close()
}

// byPriority orders families: the daemon's gauges first, then its counters, its timers, and
// Go's metrics. A collector that truncates a long answer then keeps the daemon's own state:
// Go's metrics alone have 10 kB, and would come first by name.
func byPriority(a, b *dto.MetricFamily) int { return cmp.Compare(priority(a), priority(b)) }

func priority(f *dto.MetricFamily) int {
	switch {
	case !strings.HasPrefix(f.GetName(), prefix+promreporter.DefaultSeparator):
		return 3
	case f.GetType() == dto.MetricType_GAUGE:
		return 0
	case f.GetType() == dto.MetricType_COUNTER:
		return 1
	default:
		return 2
	}
}

// timerBuckets returns the bucket bounds of timers, in seconds: from a hop within a VM to a
// long model call, with bounds of their own for the first token (0.45) and the gap between
// tokens (0.05).
func timerBuckets() []float64 {
	return []float64{0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.45, 1, 2.5, 5, 10, 30, 60, 300}
}

func sanitizeOptions() *tally.SanitizeOptions {
	o := promreporter.DefaultSanitizerOpts
	o.ValueCharacters.Characters = []rune{'_', '-', '.', ':', '/'}
	return &o
}
