package load

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/edge/client"
	"github.com/slaterock/slaterock/internal/prog/result"
)

const codeConnection result.Code = "connection" // no answer from the daemon

// refusal is an answer that is no success, or none at all.
type refusal struct {
	code  result.Code
	ran   result.Ran
	after time.Duration
	cause error
}

func (r *refusal) Error() string { return string(r.code) + ": " + r.cause.Error() }

func (r *refusal) Unwrap() error { return r.cause }

// refused reads what the system said about a call that failed.
func parseRefusal(err error) error {
	if err == nil {
		return nil
	}
	var status *client.StatusError
	if !errors.As(err, &status) {
		return &refusal{code: codeConnection, ran: result.Unknown, cause: err}
	}
	var body struct {
		Error struct {
			Code       result.Code `json:"code"`
			Ran        result.Ran  `json:"ran"`
			RetryAfter float64     `json:"retry_after"`
		} `json:"error"`
	}
	if json.Unmarshal([]byte(status.Body), &body) != nil || body.Error.Code == "" {
		return &refusal{code: codeConnection, ran: result.Unknown, cause: err}
	}
	e := body.Error
	return &refusal{code: e.Code, ran: e.Ran, cause: err, after: time.Duration(e.RetryAfter * float64(time.Second))}
}

// unknown reports whether the call may have run and never will be told.
func (r *refusal) unknown() bool { return r.code == result.CodeUnknown }

// again reports whether the caller should try again.
func (r *refusal) retryable() bool {
	return r.code == codeConnection || r.after > 0
}

// wait is how long to wait before that, as the system said or else the other
// time.
func (r *refusal) retryDelay(other time.Duration) time.Duration {
	if r == nil || r.after == 0 {
		return other
	}
	return r.after
}
