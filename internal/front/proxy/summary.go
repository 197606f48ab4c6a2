package proxy

import (
	"math"
	"strconv"
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
	// summary holds what is logged about an attempt.
	summary struct {
		status   int
		code     string // empty for a complete response
		ran      ran
		upstream string
		factor   float64 // of the upstream, as used in the choice; 0 if none was chosen
		missing  bool    // the upstream was not listed in the store
		sends    int
		events   int
		tokens   int
		refusals string // by upstreams, and interruptions of resumable streams, in order
		runs     runs   // sends to upstreams, in order

		endedUpstreams int           // that ended while they ran the request, over all attempts, as known here
		confined       bool          // to the upstreams that ran it without a whole good answer
		knowsFrom      string        // on what the knowledge of earlier attempts rests; empty if nobody was asked
		unrecorded     int           // times that the attempt went on, or ended, before its runs were recorded
		versionFrom    string        // what the version of a stream that is taken up rests on; empty if none is
		askTime        time.Duration // that it waited for the records before its first run, since other fronts could not tell all
		tellTime       time.Duration // that it waited for other fronts, which keep its runs
		err            error
		recordsTime    time.Duration // from arrival until the tokens were reserved and the history was read
		queueReason    string        // why the attempt was queued; empty if it was not
		queueTime      time.Duration // how long it was queued
		queueAhead     int           // how many programs were ahead of it
		limitClass     string        // class in which the attempt waited for its account's limit or was refused; empty if neither
		limitWait      time.Duration // how long it waited for its account's limit
		limitAhead     int           // requests that waited for the limit before it, over all fronts
		load           gate.Load     // of the engines when it was queued
		sharedTokens   int           // of the shared parts of the prompt
		sharedCached   int           // of these, tokens that the upstream was assumed to have cached
		firstOutput    time.Duration // from arrival to the first event of a stream, or to the end of another response; 0 for none
	}

	// ran states whether an upstream ran the request.
	ran string
)

// report writes the request's log line, counts it in the metrics and ends its span.
func (q *request) report(span trace.Span) {
	s := &q.summary
	span.Set(attribute.String("request", q.ID), attribute.String("outcome", s.outcome()))
	span.End(s.err)
	took := time.Since(q.began)
	tags := map[string]string{"kind": q.route.Kind.String(), "outcome": s.outcome()}
	scope := q.e.Scope.Tagged(tags)
	scope.Counter("requests").Inc(1)
	scope.Timer("request_time").Record(took)
	if q.account.Name != "" {
		tags = map[string]string{"account": q.e.Limiter.Label.Of(q.account.Name), "outcome": s.outcome()}
		q.e.Scope.Tagged(tags).Counter("account_requests").Inc(1)
	}
	line := q.e.Log.Info()
	if s.ran == ranUnknown {
		line = q.e.Log.Warn()
	}
	line.Str("request", q.ID).Str("request_key", strconv.FormatUint(q.key(), 16)).Str("program", q.Program).Str("account", q.account.Name).Str("route", q.route.Name).Str("kind", q.route.Kind.String()).
		Int64("config", q.version()).Int64("news_age_ms", q.viewAge()).Str("upstream", s.upstream).Int("sends", s.sends).
		Str("refusals", s.refusals).Array("runs", s.runs).Int("status", s.status).Str("outcome", s.outcome()).Str("ran", string(s.ran)).
		Int("events", s.events).Int("tokens", s.tokens).Int64("wait_ms", q.CallerTimeout.Milliseconds()).
		Int64("recorded_ms", s.recordsTime.Milliseconds()).
		Int64("first_ms", s.firstOutput.Milliseconds()).Int64("took_ms", took.Milliseconds()).Str("previous", q.Previous).AnErr("cause", s.err)
	if s.endedUpstreams > 0 {
		line.Int("upstreams_ended", s.endedUpstreams)
	}
	if s.confined {
		line.Bool("confined", true)
	}
	if s.askTime > 0 {
		line.Int64("asked_records_us", s.askTime.Microseconds())
	}
	if s.tellTime > 0 {
		line.Int64("told_fronts_us", s.tellTime.Microseconds())
	}
	if lost := q.seen.Lost(); lost > 0 {
		line.Int("attempts_lost", lost)
	}
	if s.knowsFrom != "" {
		line.Str("knows_from", s.knowsFrom)
	}
	if s.unrecorded > 0 {
		line.Int("unrecorded", s.unrecorded)
	}
	if s.versionFrom != "" {
		line.Str("version_from", s.versionFrom)
	}
	if q.HasFinishIn {
		line.Int64("finish_ms", q.FinishIn.Milliseconds())
	}
	if s.factor > 0 && s.factor != 1 {
		line.Float64("upstream_factor", math.Round(s.factor*100)/100)
	}
	if s.missing {
		line.Bool("upstream_missing", true)
	}
	if s.queueReason != "" {
		line.Str("queue", s.queueReason).Int64("queued_ms", s.queueTime.Milliseconds()).Int("engines_under_way", s.load.InFlight).
			Int("engines_room", s.load.Capacity).Int("daemons", s.load.Daemons).Int("queue_ahead", s.queueAhead)
		if s.load.Running != nil {
			line.Int("account_running", s.load.Running[q.account.Name])
		}
	}
	if s.limitClass != "" {
		line.Str("limit_wait", s.limitClass).Int64("limit_wait_ms", s.limitWait.Milliseconds()).Int("limit_ahead", s.limitAhead)
	}
	if q.PromptTokens > 0 {
		line.Int("prompt_tokens", q.PromptTokens)
	}
	if s.sharedTokens > 0 {
		line.Int("shared_tokens_cached", s.sharedCached)
	}
	line.Msg("request")
}

func (s *summary) outcome() string {
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

func (q *request) viewAge() int64 {
	if q.view == nil || q.view.Confirmed.IsZero() {
		return -1
	}
	return q.began.Sub(q.view.Confirmed).Milliseconds()
}
