package proxy

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

const (
	// The following are Retry-After times.

	// retryNoConfig is for a daemon that has no configuration yet: it gets one within
	// a second, and other daemons have one already.
	retryNoConfig = 300 * time.Millisecond
	// retryOldConfig is for a daemon whose configuration may lack what the request needs:
	// another daemon may have it.
	retryOldConfig = 300 * time.Millisecond
	// retryBusy is for upstreams that all refuse requests: they have capacity again
	// after about the duration of one buffered request.
	retryBusy = 150 * time.Millisecond
	// retryNoQuorum is for fewer replicas of the records responding than a quorum,
	// which lasts until a failed one has restarted or was replaced.
	retryNoQuorum = 400 * time.Millisecond
	// retryElsewhere is for a daemon that can't reach the replicas while others can: callers
	// retry on a new connection, most likely to another daemon.
	retryElsewhere = 50 * time.Millisecond
	// retryRecordsBusy is for replicas of the records that have too much to do: they have
	// worked off what waits after some hundred milliseconds.
	retryRecordsBusy = 400 * time.Millisecond
	// retryNoRoom is for a daemon whose clients hold all the memory that they may: callers retry on a new
	// connection, most likely to another daemon.
	retryNoRoom = 300 * time.Millisecond
)

// errorBody is the body of an error response that the proxy itself generates.
type errorBody struct {
	Error struct {
		Code       string  `json:"code"`
		Message    string  `json:"message"`
		Ran        ran     `json:"ran"`
		RetryAfter float64 `json:"retry_after,omitempty"` // seconds
	} `json:"error"`
}

// replyError sends an error response without a Retry-After time: a retry would not help.
func (q *request) replyError(status int, code string, err error) {
	q.reply(status, code, 0, err)
}

// replyMissing refuses a request whose route or key the configuration lacks: for good, with
// the status, if the configuration is current, and otherwise with a Retry-After time.
func (q *request) replyMissing(status int, code string) {
	if q.current {
		q.replyError(status, code, nil)
		return
	}
	q.replyUnavailable("old_configuration", retryOldConfig, nil)
}

// refuse refuses a request that has not run, without a Retry-After time: it would be refused again.
func (q *request) refuse(code string, err error) {
	q.reply(http.StatusServiceUnavailable, code, 0, err)
}

// replyUnavailable refuses a request that has not run, with a Retry-After time.
func (q *request) replyUnavailable(code string, after time.Duration, err error) {
	q.e.Dialect.RetryAfter(q.w.Header(), after)
	q.reply(http.StatusServiceUnavailable, code, after, err)
}

// replyOverLimit refuses a request that has not run because its account is over its
// limit, with a Retry-After time.
func (q *request) replyOverLimit(after time.Duration) {
	q.e.Dialect.RetryAfter(q.w.Header(), after)
	q.reply(http.StatusTooManyRequests, "over_limit", after, nil)
}

// replyUnknown sends an error response for a request that may have run.
func (q *request) replyUnknown(status int, code string, err error) {
	q.summary.ran = ranUnknown
	q.reply(status, code, 0, err)
}

func (q *request) reply(status int, code string, after time.Duration, err error) {
	q.conn.Refuse()
	q.summary.status, q.summary.code, q.summary.err = status, code, err
	var f errorBody
	f.Error.Code, f.Error.Message, f.Error.Ran = code, http.StatusText(status), q.summary.ran
	f.Error.RetryAfter = after.Seconds()
	text, _ := json.Marshal(f) // cannot fail: strings and numbers only
	h := q.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	q.w.WriteHeader(status)
	_, _ = q.w.Write(text) // fails if the caller has disconnected
}

// replyExpired ends a request whose deadline has passed or whose caller has
// disconnected; the latter gets no response.
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
