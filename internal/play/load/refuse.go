package load

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/edge/client"
	"github.com/slaterock/slaterock/internal/prog/result"
)

const codeConnection result.Code = "connection" // connection failed or the answer has no error code

// callError is the error of a call: an error answer, or the lack of an answer.
type callError struct {
	code       result.Code
	ran        result.Ran
	retryAfter time.Duration
	cause      error
}

func (r *callError) Error() string { return string(r.code) + ": " + r.cause.Error() }

func (r *callError) Unwrap() error { return r.cause }

// parseError returns the error of a call as a *callError; nil stays nil.
func parseError(err error) error {
	if err == nil {
		return nil
	}
	var status *client.StatusError
	if !errors.As(err, &status) {
		return &callError{code: codeConnection, ran: result.Unknown, cause: err}
	}
	var body struct {
		Error struct {
			Code       result.Code `json:"code"`
			Ran        result.Ran  `json:"ran"`
			RetryAfter float64     `json:"retry_after"`
		} `json:"error"`
	}
	if json.Unmarshal([]byte(status.Body), &body) != nil || body.Error.Code == "" {
		return &callError{code: codeConnection, ran: result.Unknown, cause: err}
	}
	e := body.Error
	return &callError{code: e.Code, ran: e.Ran, cause: err, retryAfter: time.Duration(e.RetryAfter * float64(time.Second))}
}

// unknown reports whether the call may have run and its outcome is lost.
func (r *callError) unknown() bool { return r.code == result.CodeUnknown }

// retryable reports whether the caller should retry.
func (r *callError) retryable() bool {
	return r.code == codeConnection || r.retryAfter > 0
}

// retryDelay returns the delay before a retry: that of the answer, or else the
// given default.
func (r *callError) retryDelay(other time.Duration) time.Duration {
	if r == nil || r.retryAfter == 0 {
		return other
	}
	return r.retryAfter
}
