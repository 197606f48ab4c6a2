package entry

import (
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/slaterock/slaterock/internal/obs/trace"
	"github.com/slaterock/slaterock/internal/place/gate"
)

const (
	ranNo      ran = "no"
	ranYes     ran = "yes"
	ranUnknown ran = "unknown"
)

type (
	// story is what the log tells of an attempt.
	story struct {
		status   int
		code     string // empty for a whole answer
		ran      ran
		upstream string
		missing  bool // the store did not list that upstream
		sends    int
		events   int
		tokens   int
		refusals string // of upstreams, in order
		err      error
		recorded time.Duration // until the reservation was durable
		queue    string        // why the attempt waited or was refused; empty if it had not to
		queued   time.Duration // how long it waited for that
		load     gate.Load     // of the engines when it came to wait
		first    time.Duration // until the first byte of the answer
	}

	// ran tells whether an upstream ran the request.
	ran string
)

// tell writes the request's line and counts it.
func (q *request) tell(span trace.Span) {
	s := &q.story
	span.Set(attribute.String("request", q.ID), attribute.String("outcome", s.outcome()))
	span.End(s.err)
	took := time.Since(q.began)
	tags := map[string]string{"kind": q.route.Kind.String(), "outcome": s.outcome()}
	scope := q.e.Scope.Tagged(tags)
	scope.Counter("requests").Inc(1)
	scope.Timer("request_time").Record(took)
	if q.account.Name != "" {
		tags = map[string]string{"account": q.e.Allow.Label.Of(q.account.Name), "outcome": s.outcome()}
		q.e.Scope.Tagged(tags).Counter("account_requests").Inc(1)
	}
	line := q.e.Log.Info()
	if s.ran == ranUnknown {
		line = q.e.Log.Warn()
	}
	line.Str("request", q.ID).Str("program", q.Program).Str("account", q.account.Name).Str("route", q.route.Name).Str("kind", q.route.Kind.String()).
		Int64("config", q.version()).Int64("news_age_ms", q.newsAge()).Str("upstream", s.upstream).Int("sends", s.sends).
		Str("refusals", s.refusals).Int("status", s.status).Str("outcome", s.outcome()).Str("ran", string(s.ran)).
		Int("events", s.events).Int("tokens", s.tokens).Int64("wait_ms", q.Wait.Milliseconds()).
		Int64("finish_ms", q.Finish.Milliseconds()).Int64("recorded_ms", s.recorded.Milliseconds()).
		Int64("first_ms", s.first.Milliseconds()).Int64("took_ms", took.Milliseconds()).Str("previous", q.Previous).AnErr("cause", s.err)
	if s.missing {
		line.Bool("upstream_missing", true)
	}
	if s.queue != "" {
		line.Str("queue", s.queue).Int64("queued_ms", s.queued.Milliseconds()).Int("engines_under_way", s.load.InFlight).
			Int("engines_room", s.load.Capacity).Int("daemons", s.load.Daemons)
	}
	line.Msg("request")
}

func (s *story) outcome() string {
	if s.code == "" {
		return "answered"
	}
	return s.code
}

func (q *request) version() int64 {
	if q.view == nil || q.view.Table == nil {
		return 0
	}
	return q.view.Table.Version
}

func (q *request) newsAge() int64 {
	if q.view == nil || q.view.Confirmed.IsZero() {
		return -1
	}
	return q.began.Sub(q.view.Confirmed).Milliseconds()
}
