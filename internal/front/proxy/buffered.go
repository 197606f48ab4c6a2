package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/conf/route"
	"github.com/slaterock/slaterock/internal/front/meta"
	"github.com/slaterock/slaterock/internal/front/pick"
	"github.com/slaterock/slaterock/internal/front/upconn"
)

// plain serves a request whose answer is returned in one piece. It is read whole
// first, so that one that breaks off can be had again where the kind allows it,
// and else is told as a failure.
func (q *request) serveBuffered(ctx context.Context) {
	if q.route.Kind == route.Unsafe {
		// An upstream works on even if the caller leaves; the run is not ours to
		// break off, since it can't be repeated.
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), q.deadline)
		defer cancel()
	}
	if !q.acquire(true) {
		return
	}
	exclude := map[string]bool{}
	for {
		s, err := q.dispatch(ctx, pick.Case{Exclude: exclude}, q.body, meta.Dispatch{})
		if err == nil {
			if err = q.returnResponse(ctx, s); err == nil {
				return
			}
		}
		if !q.mayRetry(ctx, err, exclude) {
			q.replyFailure(err)
			return
		}
	}
}

// again tells whether the request may be sent once more.
func (q *request) mayRetry(ctx context.Context, err error, exclude map[string]bool) bool {
	var loss *lostError
	if !errors.As(err, &loss) || ctx.Err() != nil || q.route.Kind != route.Safe {
		return false
	}
	exclude[loss.up.ID] = true
	// A kept connection that was closed as the request came tells nothing of
	// the upstream, so the send doesn't count among those that may have run.
	return len(exclude) < q.route.Attempts
}

// finish reads the whole answer and returns it.
func (q *request) returnResponse(ctx context.Context, s *exchange) error {
	body, err := upconn.ReadAll(s.resp.Body, maxResponse)
	q.e.Picker.Done(s.up.ID)
	if err != nil {
		s.closeConn()
		return q.recordLoss(ctx, s, err)
	}
	s.releaseConn(q.e.Pool)
	q.summary.firstByte = time.Since(q.began)
	pace := q.e.Usual.Pace(q.route.Name, time.Since(s.began).Seconds())
	q.e.Picker.Took(time.Now(), s.up.ID, pace, s.resp.StatusCode >= http.StatusInternalServerError)
	q.writeResponse(s, body)
	return nil
}

// give returns an upstream's whole answer to the caller. Statuses that promise
// that a request has not run are not passed on from an upstream that does not say
// so itself.
func (q *request) writeResponse(s *exchange, body []byte) {
	q.summary.ran = ranYes
	if impliesNotRun(s.resp.StatusCode) {
		q.replyUnknown(http.StatusBadGateway, "upstream_failed", errors.Newf("status %d", s.resp.StatusCode))
		return
	}
	q.summary.status = s.resp.StatusCode
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
		q.summary.err = err
	}
}

// promises tells whether the status says that a request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// fail answers a request that no upstream has answered.
func (q *request) replyFailure(err error) {
	var refusal *refusedError
	var loss *lostError
	switch {
	case errors.Is(err, errUnknownKey) && q.summary.ran == ranNo:
		q.replyError(http.StatusUnauthorized, "unknown_key", err)
	case errors.As(err, &refusal) && q.summary.ran == ranNo:
		q.replyUnavailable("upstreams_"+refusal.cause, retryBusy, err)
	case errors.Is(err, errNoUpstream) && q.summary.ran == ranNo:
		q.replyUnavailable("no_upstream", retryBusy, err)
	case errors.As(err, &loss):
		q.replyUnknown(http.StatusBadGateway, "answer_lost", err)
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		q.replyExpired(err)
	default:
		q.replyUnknown(http.StatusBadGateway, "failed", err)
	}
}
