package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/conf/route"
	"github.com/slaterock/slaterock/internal/front/memory"
	"github.com/slaterock/slaterock/internal/front/meta"
	"github.com/slaterock/slaterock/internal/front/pick"
	"github.com/slaterock/slaterock/internal/front/upconn"
)

// serveBuffered serves a request whose response is not a stream. The whole response is
// read before any of it is returned, so that a truncated one can be retried where the
// kind allows it, and is reported as an error elsewhere.
func (q *request) serveBuffered(ctx context.Context) {
	if !q.acquire(ctx, q.callRequest()) {
		return
	}
	if q.route.Kind == route.Unsafe {
		// The run must not be aborted if the caller disconnects, since it cannot
		// be repeated.
		var cancel context.CancelFunc
		ctx, cancel = q.untilEnd(context.WithoutCancel(ctx))
		defer cancel()
	}
	exclude := map[string]bool{}
	for {
		s, err := q.dispatch(ctx, pick.Request{Exclude: exclude}, q.body, meta.Dispatch{})
		if err == nil {
			if err = q.returnResponse(ctx, s); err == nil {
				return
			}
		}
		if err = q.noteLoss(ctx, err); !q.mayRetry(ctx, err, exclude) {
			q.replyFailure(err)
			return
		}
	}
}

// noteLoss records a run that got no whole response, if err is such a loss, and adds
// errUpstreamsEnded if the request must not be sent on.
func (q *request) noteLoss(ctx context.Context, err error) error {
	var loss *lostError
	if errors.As(err, &loss) {
		return errors.CombineErrors(q.noteEnd(ctx, &loss.up), err)
	}
	return err
}

// mayRetry reports whether the request may be sent to another upstream after err, and
// excludes the upstream that failed.
func (q *request) mayRetry(ctx context.Context, err error, exclude map[string]bool) bool {
	var loss *lostError
	switch {
	case ctx.Err() != nil, errors.Is(err, context.DeadlineExceeded):
		q.summary.runs.next(nextOver)
		return false
	case errors.Is(err, errUpstreamsEnded):
		q.summary.runs.next(nextEnded)
		return false
	case !errors.As(err, &loss):
		return false // dispatch tried what it may
	case q.route.Kind != route.Safe:
		q.summary.runs.next(nextNotAllowed)
		return false
	}
	exclude[loss.up.ID] = true
	// exclude also holds the upstreams that refused the request, so refusals count
	// against the route's attempts as well.
	if len(exclude) >= q.route.Attempts {
		q.summary.runs.next(nextAttempts)
		return false
	}
	q.summary.runs.next(nextRepeat)
	return true
}

// returnResponse reads the whole response and returns it to the caller.
func (q *request) returnResponse(ctx context.Context, s *exchange) error {
	body, err := q.readResponse(ctx, s.resp)
	q.e.Picker.Done(s.up.ID)
	if err != nil {
		s.fail(err)
		return q.recordLoss(ctx, s, err)
	}
	s.releaseConn(q.e.Pool)
	q.summary.firstOutput = time.Since(q.began)
	pace := q.e.Baseline.Slowdown(q.route.Name, time.Since(s.began).Seconds())
	q.observeCall(s, pace)
	failed := s.resp.StatusCode >= http.StatusInternalServerError
	q.e.Picker.RecordOutcome(time.Now(), s.up.ID, pace, failed)
	if failed {
		q.recordTried(ctx, &s.up)
	}
	q.writeResponse(s, body)
	return nil
}

// readResponse reads the body of a response. A long one takes its bound from the memory for long responses,
// and waits for it.
func (q *request) readResponse(ctx context.Context, resp *http.Response) ([]byte, error) {
	q.returnMemory() // of a response before
	size := resp.ContentLength
	if size <= memory.Short {
		q.conn.Force(shortSize(size))
		short, err := io.ReadAll(io.LimitReader(resp.Body, memory.Short))
		if err != nil || len(short) < memory.Short {
			return short, err
		}
		resp.Body = struct {
			io.Reader
			io.Closer
		}{io.MultiReader(bytes.NewReader(short), resp.Body), resp.Body}
	}
	if size < 0 {
		if err := q.takeBuffer(ctx); err != nil {
			return nil, err
		}
		return upconn.ReadInto(q.buffer, resp.Body, maxResponse)
	}
	if size > maxResponse {
		return nil, upconn.ErrBodyTooLong
	}
	if err := q.takeMemory(ctx, size); err != nil {
		return nil, err
	}
	return upconn.ReadAll(resp.Body, size, maxResponse)
}

// takeBuffer takes the memory for a long response of unknown length, and a buffer for it.
func (q *request) takeBuffer(ctx context.Context) error {
	if err := q.takeMemory(ctx, maxResponse); err != nil {
		return err
	}
	q.buffer = q.e.Memory.Buffer()
	return nil
}

// shortSize returns the most that a short response of the stated length takes, in bytes; the length is negative if it
// is not stated.
func shortSize(stated int64) int64 {
	if stated < 0 {
		return memory.Short
	}
	return stated
}

func (q *request) takeMemory(ctx context.Context, n int64) error {
	if err := q.conn.TakeResponse(ctx, n); err != nil {
		return err
	}
	q.held += n
	return nil
}

func (q *request) returnMemory() {
	if q.held > 0 {
		q.conn.GiveResponse(q.held)
		q.held = 0
	}
	if q.buffer != nil {
		q.e.Memory.Recycle(q.buffer)
		q.buffer = nil
	}
}

// writeResponse writes an upstream's whole response to the caller. A status that
// implies that the request has not run is replaced by an error, since the
// upstream did not mark the response as not run (see meta.ResponseInfo).
func (q *request) writeResponse(s *exchange, body []byte) {
	q.summary.ran = ranYes
	q.summary.runs.end(answeredWith(s.resp.StatusCode))
	if q.impliesNotRun(s.resp.StatusCode) {
		q.replyUnknown(http.StatusBadGateway, "upstream_failed", errors.Newf("upstream returned status %d without the not-run header", s.resp.StatusCode))
		return
	}
	q.summary.status = s.resp.StatusCode
	h := q.w.Header()
	for name, values := range q.e.Dialect.Return(s.resp.Header) {
		h[name] = values
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	q.w.WriteHeader(s.resp.StatusCode)
	if _, err := q.w.Write(body); err != nil {
		q.summary.err = err
	}
}

// impliesNotRun reports whether the status tells a caller that its request has not run.
func (q *request) impliesNotRun(status int) bool {
	switch status {
	case http.StatusPaymentRequired:
		return q.route.Kind == route.Stream && q.HasTokenBudget // callers take it for a budget that is spent
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// replyFailure ends a request that got no usable response from an upstream, with an error
// response unless the caller has disconnected.
func (q *request) replyFailure(err error) {
	var refusal *notRunError
	var loss *lostError
	switch {
	case errors.Is(err, errUpstreamsEnded):
		q.replyUpstreamsEnded()
	case errors.Is(err, errRunsUnknown) && q.summary.ran == ranNo:
		q.replyUnavailable("runs_unknown", q.retryRecords(), err)
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
