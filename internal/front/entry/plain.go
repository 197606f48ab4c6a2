package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/conf/route"
	"github.com/slaterock/slaterock/internal/front/asked"
	"github.com/slaterock/slaterock/internal/front/pick"
	"github.com/slaterock/slaterock/internal/front/upconn"
)

// plain serves a request whose answer is returned in one piece. It is read whole
// first, so that one that breaks off can be had again where the kind allows it,
// and else is told as a failure.
func (q *request) plain(ctx context.Context) {
	if q.route.Kind == route.Unsafe {
		// An upstream works on even if the caller leaves; the run is not ours to
		// break off, since it can't be repeated.
		var stop context.CancelFunc
		ctx, stop = context.WithDeadline(context.WithoutCancel(ctx), q.deadline)
		defer stop()
	}
	if !q.take(true) {
		return
	}
	exclude := map[string]bool{}
	for {
		s, err := q.dispatch(ctx, pick.Request{Exclude: exclude}, q.body, asked.Order{})
		if err == nil {
			if err = q.finish(ctx, s); err == nil {
				return
			}
		}
		if !q.again(ctx, err, exclude) {
			q.fail(err)
			return
		}
	}
}

// again tells whether the request may be sent once more.
func (q *request) again(ctx context.Context, err error, exclude map[string]bool) bool {
	var l *lost
	if !errors.As(err, &l) || ctx.Err() != nil || q.route.Kind != route.Safe {
		return false
	}
	exclude[l.up.ID] = true
	// A kept connection that was closed as the request came tells nothing of
	// the upstream, so the send doesn't count among those that may have run.
	return len(exclude) < q.route.Attempts
}

// finish reads the whole answer and returns it.
func (q *request) finish(ctx context.Context, s *sent) error {
	body, err := upconn.ReadAll(s.resp.Body, maxAnswer)
	q.e.Picker.Done(s.up.ID)
	if err != nil {
		s.drop()
		return q.lose(ctx, s, err)
	}
	s.keep(q.e.Pool)
	q.story.first = time.Since(q.began)
	pace := q.e.Baseline.Slowdown(q.route.Name, time.Since(s.began).Seconds())
	q.e.Picker.RecordOutcome(time.Now(), s.up.ID, pace, s.resp.StatusCode >= http.StatusInternalServerError)
	q.give(s, body)
	return nil
}

// give returns an upstream's whole answer to the caller. Statuses that promise
// that a request has not run are not passed on from an upstream that does not say
// so itself.
func (q *request) give(s *sent, body []byte) {
	q.story.ran = ranYes
	if promises(s.resp.StatusCode) {
		q.unknown(http.StatusBadGateway, "upstream_failed", errors.Newf("status %d", s.resp.StatusCode))
		return
	}
	q.story.status = s.resp.StatusCode
	h := q.w.Header()
	for name, values := range q.e.Dialect.Return(s.resp.Header) {
		h[name] = values
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // none is made up
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	q.w.WriteHeader(s.resp.StatusCode)
	if _, err := q.w.Write(body); err != nil {
		q.story.err = err
	}
}

// promises tells whether the status says that a request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// fail answers a request that no upstream has answered.
func (q *request) fail(err error) {
	var no *refused
	var l *lost
	switch {
	case errors.Is(err, errNoAccount) && q.story.ran == ranNo:
		q.refuse(http.StatusUnauthorized, "unknown_key", err)
	case errors.As(err, &no) && q.story.ran == ranNo:
		q.unavailable("upstreams_"+no.cause, retryFull, err)
	case errors.Is(err, errNoUpstream) && q.story.ran == ranNo:
		q.unavailable("no_upstream", retryFull, err)
	case errors.As(err, &l):
		q.unknown(http.StatusBadGateway, "answer_lost", err)
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		q.giveUp(err)
	default:
		q.unknown(http.StatusBadGateway, "failed", err)
	}
}
