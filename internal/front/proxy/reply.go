package proxy

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

const (
	// retryStart is told by a daemon that knows no configuration yet: it has
	// one within a second, and other daemons have one already.
	retryNoConfig = 300 * time.Millisecond
	// retryFull is told when all upstreams shed: places free within about
	// one plain call's time.
	retryBusy = 150 * time.Millisecond
	// retryRecords is told when too few holders of records answer, which is
	// over when a killed one is back or its place was taken.
	retryNoQuorum = 400 * time.Millisecond
)

// failure is the body of an answer of our own.
type errorBody struct {
	Error struct {
		Code       string  `json:"code"`
		Message    string  `json:"message"`
		Ran        ran     `json:"ran"`
		RetryAfter float64 `json:"retry_after,omitempty"` // seconds
	} `json:"error"`
}

// refuse answers for good: coming back does not help.
func (q *request) replyError(status int, code string, err error) {
	q.reply(status, code, 0, err)
}

// unavailable tells that the request has not run, and when to come back.
func (q *request) replyUnavailable(code string, after time.Duration, err error) {
	q.e.Dialect.RetryAfter(q.w.Header(), after)
	q.reply(http.StatusServiceUnavailable, code, after, err)
}

// overLimit tells that the request has not run since its account asks too much, and
// when there will be room.
func (q *request) replyOverLimit(after time.Duration) {
	q.e.Dialect.RetryAfter(q.w.Header(), after)
	q.reply(http.StatusTooManyRequests, "over_limit", after, nil)
}

// unknown tells that the request may have run.
func (q *request) replyUnknown(status int, code string, err error) {
	q.summary.ran = ranUnknown
	q.reply(status, code, 0, err)
}

func (q *request) reply(status int, code string, after time.Duration, err error) {
	q.summary.status, q.summary.code, q.summary.err = status, code, err
	var f errorBody
	f.Error.Code, f.Error.Message, f.Error.Ran = code, http.StatusText(status), q.summary.ran
	f.Error.RetryAfter = after.Seconds()
	text, _ := json.Marshal(f) // plain fields always encode
	h := q.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	q.w.WriteHeader(status)
	_, _ = q.w.Write(text) // a caller that left doesn't hear it
}

// giveUp ends a request whose time is over, or whose caller has left.
func (q *request) replyExpired(err error) {
	if q.r.Context().Err() != nil {
		q.summary.code, q.summary.err = "caller_left", err
		return
	}
	if q.summary.ran == ranNo {
		q.replyUnavailable("timeout_not_run", retryBusy, err)
		return
	}
	q.replyUnknown(http.StatusGatewayTimeout, "timeout", err)
}
