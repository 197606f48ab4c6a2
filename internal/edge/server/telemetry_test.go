package server

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/obs/logs"
	"github.com/slaterock/slaterock/internal/obs/metric"
	"github.com/slaterock/slaterock/internal/obs/trace"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/prog/runner"
)

const (
	traceID = "4bf92f3577b34da6a3ce929d0e0e4736"
	parent  = "00-" + traceID + "-00f067aa0ba902b7-01"
)

// Logs and traces are read by people who may not read a customer's conversations.
// A key in them would also let these people act as the customer.
func TestNoSecretsInLogsOrTraces(t *testing.T) {
	is := is.New(t)
	var log, spans bytes.Buffer
	l, err := logs.Open(&log, "debug", logs.JSON)
	is.NoErr(err)
	tr, err := trace.Open(t.Context(), trace.Settings{File: &spans})
	is.NoErr(err)
	m := metric.New()
	st := startWith(t, file.Limits{}, func(s *Server) {
		s.Logs, s.Trace, s.Scope, s.Metrics = l, tr, m.Scope(), m.Serve
	})
	var seen []string
	st.fake.call = func(ctx context.Context, c call.Call, sink runner.Sink) result.Result {
		seen = append(seen, c.TraceParent)
		return respondWith("the-answer", "the-")(ctx, c, sink)
	}
	headers := callHeaders("round-7", "3")
	headers["traceparent"] = parent
	ask := strings.Replace(plainBody, "hi", "the-question", 1)
	is.Equal(st.send("POST", "/v1/chat/completions", accountKey, ask, headers).status, 200)
	is.Equal(st.send("POST", "/v1/chat/completions", accountKey, streamBody, headers).status, 200)
	is.Equal(st.send("POST", "/v1/services/receipts/issue", accountKey, "the-question", headers).status, 200)
	is.Equal(st.send("POST", "/v1/programs", "wrong-secret", "{}", nil).status, 401)
	is.NoErr(st.Shutdown(context.Background()))
	is.NoErr(tr.Close(context.Background()))
	is.NoErr(m.Close())

	is.Equal(strings.Count(log.String(), "\n"), 4) // one line each
	is.Equal(strings.Count(log.String(), `"account":"mafuta","program":"round-7","call":3`), 3)
	is.Equal(strings.Count(spans.String(), "\n"), 4)
	is.Equal(strings.Count(spans.String(), `"SpanContext":{"TraceID":"`+traceID), 3)
	is.Equal(len(seen), 3)
	for _, p := range seen {
		is.Equal(trace.Parse(p).TraceID().String(), traceID)
		is.True(p != parent) // the next hop's parent is the span of this one
	}
	for _, secret := range []string{accountKey, "wrong-secret", "the-question", "the-answer"} {
		is.True(!strings.Contains(log.String(), secret))
		is.True(!strings.Contains(spans.String(), secret))
	}
}

func TestMetrics(t *testing.T) {
	is := is.New(t)
	m := metric.New()
	st := startWith(t, file.Limits{}, func(s *Server) { s.Scope, s.Metrics = m.Scope(), m.Serve })
	st.fake.call = respondWith("karibu", "ka")
	st.send("POST", "/v1/chat/completions", accountKey, streamBody, callHeaders("p", "0"))
	st.send("POST", "/v1/chat/completions", accountKey, "{", callHeaders("p", "0"))
	st.calls.Wait()
	is.NoErr(m.Close())
	body := st.send("GET", "/metrics", "", "", nil).body
	is.True(strings.Contains(body, `slaterock_edge_requests{code="bad_request",path="chat"} 1`))
	is.True(strings.Contains(body, "slaterock_edge_first_piece_seconds_count 1"))
	is.True(strings.Contains(body, "slaterock_edge_calls_under_way 0"))
	is.True(!strings.Contains(body, "mafuta")) // a label per account would be unbounded
}
