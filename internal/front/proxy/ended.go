package proxy

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/conf/route"
	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/front/failed"
	"github.com/slaterock/slaterock/internal/front/fleet"
)

const (
	// probeTimeout bounds the connect that tells whether an upstream has ended. One within the
	// region takes a millisecond.
	probeTimeout = 200 * time.Millisecond
	// runsTimeout is how long a request waits for the records of its runs. It is to take a few
	// disk syncs; longer, and callers of innocent requests would wait for a fault of the records.
	runsTimeout = 400 * time.Millisecond
	// triedSpan is how long after the start of an attempt the end of an upstream that it was sent to may
	// be due to it: the time of an attempt, and failed.Span.
	triedSpan = failed.Span + 5*time.Second
	// staleState is the age from which on the state may lack upstreams that have started again.
	staleState = 2 * time.Second
	// minRunsTTL is how long the records of runs are kept at least: longer than the callers of
	// calls and turns come back.
	minRunsTTL = time.Minute
)

var (
	// errUpstreamsEnded reports a request that is not sent to further upstreams, since several have
	// ended while they ran it.
	errUpstreamsEnded = errors.New("upstreams ended while they ran the request")
	// errRunsUnknown reports a request that is not sent to upstreams, since nobody can tell how many have ended
	// because of it.
	errRunsUnknown = errors.New("neither other fronts nor the records tell where the request has run")
)

// over reports whether the caller has left or the time is up. The deadline of a connection may
// pass a moment before that of the context.
func (q *request) over(ctx context.Context) bool {
	return ctx.Err() != nil || !time.Now().Before(q.deadline)
}

// noteEnd records that the connection to an upstream broke while it ran the request, so that all
// fronts know of it before the caller, or this front, sends the request again. It returns
// errUpstreamsEnded if the request must not be sent on.
func (q *request) noteEnd(ctx context.Context, up *fleet.Upstream) error {
	start := q.startOf(up)
	if q.upstreamEnded(ctx, up) {
		q.summary.runs.end(endUpstreamEnded)
		q.own, q.seen = q.own.With(start), q.seen.With(start)
		q.e.Scope.Counter("upstreams_ended").Inc(1)
	} else {
		q.own, q.seen = q.own.WithBroken(start), q.seen.WithBroken(start)
	}
	err := q.shareRuns(ctx)
	q.summary.endedUpstreams = len(q.seen.Ended())
	if err == nil && q.seen.MayRun(q.listed) {
		return nil
	}
	q.e.Scope.Counter("requests_stopped").Inc(1)
	return errUpstreamsEnded
}

// repeats reports whether the request may be sent again, by its caller or here, after it has run.
func (q *request) repeats() bool { return q.route.Kind != route.Unsafe }

// noteTried notes that an upstream ran the request without a whole good answer, and goes on as far as
// is known. The turn's settlement, or recordTried, tells other fronts.
func (q *request) noteTried(up *fleet.Upstream) {
	if !q.repeats() {
		return
	}
	q.runOver()
	s := q.startOf(up)
	q.own, q.seen = q.own.WithTried(s), q.seen.WithTried(s)
	q.unrecorded, q.untold = true, true
}

// recordTried records the runs of the attempt before its caller gets the failure that the upstream
// answered with, and comes back.
func (q *request) recordTried(ctx context.Context, up *fleet.Upstream) {
	q.noteTried(up)
	if q.unrecorded {
		_ = q.shareRuns(ctx) // both go on
	}
}

// confined returns the upstreams to which the request is confined, as far as they are listed, since it
// got no whole good answer from several.
func (q *request) confined() (ids []string, confined bool) {
	starts, confined := q.seen.Confined()
	if !confined {
		return nil, false
	}
	q.summary.confined = true
	for _, s := range starts {
		if q.listed(s) {
			ids = append(ids, s.ID)
		}
	}
	return slices.Compact(ids), true
}

// noteUnreachable notes that an upstream accepts no connection: if it ran the request before, it has
// ended.
func (q *request) noteUnreachable(up *fleet.Upstream) {
	s := listedStart(up)
	if starts, confined := q.seen.Confined(); confined && slices.Contains(starts, s) {
		q.gone, q.seen = append(q.gone, s), q.seen.With(s)
	}
}

// upstreamEnded reports whether an upstream, the connection to which broke, has ended: it is no
// longer listed, has started again, closed another connection before its idle time was over, or accepts
// none. Otherwise it may have ended and started again unnoticed.
func (q *request) upstreamEnded(ctx context.Context, up *fleet.Upstream) bool {
	if !q.listed(listedStart(up)) {
		q.summary.runs.judge(judgedByList)
		return true
	}
	if q.witness != nil {
		defer q.releaseWitness()
		if q.witness.IsOpen() {
			q.summary.runs.judge(judgedOpen)
			return false
		}
		if !q.witness.IdleIsOver(time.Now()) {
			q.summary.runs.judge(judgedClosed)
			return true
		}
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout) // also if the caller has left
	defer stop()
	if q.e.Pool.Probe(ctx, up.ID, up.Address) != nil {
		q.summary.runs.judge(judgedRefuses)
		return true
	}
	q.summary.runs.judge(judgedAccepts)
	return false
}

// listed reports whether the upstream is listed and has not started again since.
func (q *request) listed(s index.Start) bool {
	up, found := q.e.Fleet.View().Services[q.service.Name].Find(s.ID)
	return found && up.Born == s.Born
}

// replyUpstreamsEnded ends a request that is not sent to further upstreams. It gets no Retry-After
// time: it is refused everywhere until what is known of it expires.
func (q *request) replyUpstreamsEnded() {
	q.summary.endedUpstreams = len(q.seen.Ended())
	q.replyUnknown(http.StatusBadGateway, "upstreams_ended", errUpstreamsEnded)
}
