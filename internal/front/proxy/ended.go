package proxy

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/conf/route"
	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/disk/quorum"
	"github.com/slaterock/slaterock/internal/front/ended"
	"github.com/slaterock/slaterock/internal/front/failed"
	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/home"
	"github.com/slaterock/slaterock/internal/front/pick"
)

const (
	// probeTimeout bounds the connect that tells whether an upstream has ended. One within the
	// region takes a millisecond.
	probeTimeout = 200 * time.Millisecond
	// runsTimeout is how long a request waits for the records of its runs. It is to take a few
	// disk syncs; longer, and callers of innocent requests would wait for a fault of the records.
	runsTimeout = 400 * time.Millisecond
	// askTimeout is how long a call that may have ended upstreams waits for the records before its first
	// run. Without them, only the upstreams to which it is mapped run it.
	askTimeout = 100 * time.Millisecond
	// triedSpan is how long after the start of an attempt the end of an upstream that it was sent to may
	// be due to it: the time of an attempt, and failed.Span.
	triedSpan = failed.Span + 5*time.Second
	// staleState is the age from which on the state may lack upstreams that have started again.
	staleState = 2 * time.Second
	// minRunsTTL is how long the records of runs are kept at least: longer than the callers of
	// calls and turns come back.
	minRunsTTL = time.Minute
)

// errUpstreamsEnded reports a request that is not sent to further upstreams, since several have
// ended while they ran it.
var errUpstreamsEnded = errors.New("upstreams ended while they ran the request")

// over reports whether the caller has left or the time is up. The deadline of a connection may
// pass a moment before that of the context.
func (q *request) over(ctx context.Context) bool {
	return ctx.Err() != nil || !time.Now().Before(q.deadline)
}

// noteEnd records that the connection to an upstream broke while it ran the request, so that all
// fronts know of it before the caller, or this front, sends the request again. It returns
// errUpstreamsEnded if the request must not be sent on.
func (q *request) noteEnd(ctx context.Context, up *fleet.Upstream) error {
	q.runOver()
	start := q.startOf(up)
	if q.upstreamEnded(ctx, up) {
		if q.mayBeAnother() {
			start = q.laterStart(up.ID)
		}
		q.summary.runs.end(endUpstreamEnded)
		q.own, q.seen = q.own.With(start), q.seen.With(start)
		q.e.Scope.Counter("upstreams_ended").Inc(1)
	} else {
		q.own, q.seen = q.own.WithBroken(start), q.seen.WithBroken(start)
	}
	runs, err := q.recordRuns(ctx)
	if err == nil {
		q.see(runs)
	}
	q.summary.endedUpstreams = len(q.seen.Ended())
	if q.seen.MayRun(q.listed) && (err == nil || q.homed && q.own.MayRunUnrecorded(q.listed)) {
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
	q.unrecorded = true
}

// recordTried records the runs of the attempt before its caller gets the failure that the upstream
// answered with, and comes back. Without records, other fronts don't learn of it in time.
func (q *request) recordTried(ctx context.Context, up *fleet.Upstream) {
	q.noteTried(up)
	if q.unrecorded {
		_, _ = q.recordRuns(ctx) // the write goes on
	}
}

// recordUnrecorded records the runs of a call that were not recorded yet. It writes in the background.
func (q *request) recordUnrecorded() {
	if !q.unrecorded {
		return
	}
	q.runOver()
	q.unrecorded = false
	rec := q.runsRecord()
	rec.Run = q.ownRun()
	go func() {
		ctx, cancel := context.WithTimeout(q.e.Stop, settleTimeout)
		defer cancel()
		_, _ = q.e.Records.Write(ctx, rec) // without it, Endpoint.Home bounds the upstreams
	}()
}

// confined returns the upstreams to which the request is confined, as far as they are listed, since it
// got no whole good answer from several.
func (q *request) confined() (ids []string, confined bool) {
	starts, confined := q.seen.Confined()
	if !confined && q.homed {
		p := q.home()
		return p.IDs, !p.All
	}
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

// choose selects one of the upstreams that may run the request. If only those that Endpoint.Home names
// may, and each of them is gone, refuses it or has just failed, others may once the records tell that it
// has not run at too many already.
func (q *request) choose(ctx context.Context, c *pick.Request) (up fleet.Upstream, ok bool) {
	up, ok = q.e.Picker.Choose(time.Now(), *c)
	if ok && q.homed && !q.asked && q.mayHaveEnded() {
		q.askRecords(ctx)
		q.e.done(up.ID)
		c.Among, c.Confined = q.confined()
		up, ok = q.e.Picker.Choose(time.Now(), *c)
	}
	if !c.Confined || !q.homed || c.Only != "" || ok && !q.e.Picker.Avoids(time.Now(), up.ID) || !q.leaveHome(ctx) {
		return up, ok
	}
	if ok {
		q.e.done(up.ID)
	}
	c.Among, c.Confined = q.confined()
	return q.e.Picker.Choose(time.Now(), *c)
}

// askRecords takes over what is recorded of the request's earlier attempts, before its first run.
func (q *request) askRecords(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, askTimeout)
	defer stop()
	began := time.Now()
	q.queryRuns(ctx, "", false)
	q.summary.askTime = time.Since(began)
}

// leaveHome reports whether other upstreams than those that Endpoint.Home names may run the request.
func (q *request) leaveHome(ctx context.Context) bool {
	if !q.asked {
		q.queryRuns(ctx, "", false)
	}
	if !q.asked || !q.seen.MayRun(q.listed) {
		return false
	}
	q.homed = false
	q.e.Scope.Counter("requests_left_home").Inc(1)
	return true
}

// mayHaveEnded reports whether one of the upstreams to which the request is mapped may have ended because
// of it, as far as this front can tell.
func (q *request) mayHaveEnded() bool {
	now := time.Now()
	return q.homeLost || q.home().Changed || now.Sub(q.e.Fleet.View().Confirmed) > staleState || q.e.Failed.Has(now, q.key())
}

// home returns the upstreams that Endpoint.Home names for the request.
func (q *request) home() home.Places {
	return q.e.Home.Of(time.Now(), q.service.Name, q.e.Fleet.View().Services[q.service.Name], q.homeKey())
}

// homeKey returns the key by which a request is mapped to upstreams, the same in all its attempts. Turns
// of a program, or of a session, share theirs, and so cached prompts.
func (q *request) homeKey() uint64 {
	if q.route.Kind == route.Stream && (q.Program != "" || q.AffinityKey != "") {
		return xxhash.Sum64String(q.affinityKey())
	}
	return q.key()
}

// noteUnreachable notes that an upstream accepts no connection: if it ran the request before, it has
// ended.
func (q *request) noteUnreachable(up *fleet.Upstream) {
	q.homeLost = true
	s := listedStart(up)
	if starts, confined := q.seen.Confined(); confined && slices.Contains(starts, s) {
		q.seen = q.seen.With(s)
	}
}

// ownRun returns what is known of the runs of this attempt.
func (q *request) ownRun() *index.Run {
	return &index.Run{Request: q.key(), Ended: q.own.Ended(), Broken: q.own.Broken(), Tried: q.own.Tried(), Under: q.under}
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

// recordRuns makes the runs of this attempt durable, and returns those of all attempts of the
// request. The write goes on if ctx ends or takes longer than runsTimeout.
func (q *request) recordRuns(ctx context.Context) (runs []index.Run, err error) {
	q.unrecorded = false
	defer func() {
		if err != nil {
			q.unrecorded = true
			q.summary.unrecorded++
			q.e.Scope.Counter("runs_unrecorded").Inc(1)
		}
	}()
	rec := q.runsRecord()
	rec.Run = q.ownRun()
	type result struct {
		quorum.Result
		error
	}
	done := make(chan result, 1)
	go func() {
		writeCtx, cancel := context.WithTimeout(q.e.Stop, settleTimeout)
		defer cancel()
		res, err := q.e.Records.Write(writeCtx, rec)
		done <- result{res, err}
	}()
	ctx, stop := context.WithTimeout(ctx, runsTimeout)
	defer stop()
	select {
	case r := <-done:
		return r.Runs, errors.Wrap(r.error, "record runs")
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "record runs")
	}
}

// see takes over what is recorded of the request's attempts. What this one knows of its own runs holds
// also if it could not be recorded.
func (q *request) see(runs []index.Run) {
	mine := *q.ownRun()
	mine.Attempt = q.scopedID(q.ID)
	var own []index.Run
	open := q.otherOpen
	for _, r := range runs {
		if r.Request != q.key() {
			continue
		}
		if r.Attempt == mine.Attempt {
			mine = index.MergeRuns(r, mine)
			continue
		}
		if q.began.UnixMilli()-r.At > triedSpan.Milliseconds() {
			r.Tried = nil
		}
		open = open || r.IsUnderWay()
		own = append(own, r)
	}
	q.seen = ended.Of(append(own, mine)).WithOpen(open)
}

// queryRuns takes over and returns what is recorded of the request's earlier attempts, and returns that of
// the attempt first, with the parts of their streams if they are asked for. Nothing is known of them if the
// records can't be read.
func (q *request) queryRuns(ctx context.Context, first string, parts bool) quorum.Result {
	ctx, stop := context.WithTimeout(ctx, runsTimeout)
	defer stop()
	rec := q.runsRecord()
	rec.Run.First, rec.AskParts = first, parts
	res, err := q.e.Records.Write(ctx, rec)
	if err != nil {
		q.e.askFailed.Store(time.Now().UnixNano())
		q.summary.knowsFrom = knowsNothing
		return quorum.Result{}
	}
	q.asked = !res.Incomplete // like records that can't be read, otherwise
	q.summary.knowsFrom = knowsRecords
	if res.Incomplete {
		q.summary.knowsFrom = knowsIncomplete
	}
	q.see(res.Runs)
	return res
}

// runsRecord returns a record of this attempt that states nothing of its runs yet.
func (q *request) runsRecord() index.Record {
	program := q.scopedID(q.Program)
	if q.Program == "" {
		program = "request:" + strconv.FormatUint(q.key(), 16)
	}
	return index.Record{
		Program: program, Attempt: q.scopedID(q.ID), At: q.began.UnixMilli(), TTL: max(q.route.RetainFor, minRunsTTL).Milliseconds(),
		Run: &index.Run{Request: q.key()},
	}
}

// replyUpstreamsEnded ends a request that is not sent to further upstreams. It gets no Retry-After
// time: it is refused everywhere until what is known of it expires.
func (q *request) replyUpstreamsEnded() {
	q.summary.endedUpstreams = len(q.seen.Ended())
	q.replyUnknown(http.StatusBadGateway, "upstreams_ended", errUpstreamsEnded)
}
