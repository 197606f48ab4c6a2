// Package result defines the outcome of one request, as it is returned to the
// caller and stored in the history.
//
// Ran is a guarantee. It is No only if it is proved that the request did not run
// and never will; if that can't be proved it is Unknown.
package result

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// No means that the request did not run and never will.
	No Ran = "no"
	// Yes means that the request ran.
	Yes Ran = "yes"
	// Unknown means that the request may or may not have run.
	Unknown Ran = "unknown"
)

// The codes of outcomes. They are part of the API.
const (
	CodeOK             Code = "ok"
	CodeBadRequest     Code = "bad_request"
	CodeUnauthorized   Code = "unauthorized"
	CodeNotFound       Code = "not_found"
	CodeConflict       Code = "conflict"
	CodeEnded          Code = "program_ended"
	CodeBudget         Code = "budget_exceeded"
	CodeTurns          Code = "turn_limit"
	CodeOrder          Code = "call_out_of_order"
	CodeLimited        Code = "limit_reached"
	CodeOverloaded     Code = "overloaded"
	CodeNoUpstream     Code = "no_upstream"
	CodeUpstreamFailed Code = "upstream_failed"
	CodeTimeout        Code = "timeout"
	CodeUnknown        Code = "outcome_unknown"
	CodeCancelled      Code = "cancelled"
	CodeStoreDown      Code = "store_unavailable"
	CodeNotOwner       Code = "not_owner"
	CodeDraining       Code = "draining"
)

type (
	// Ran says whether a request ran.
	Ran string

	// Code is the kind of an outcome.
	Code string

	// Result is the outcome of one request. The zero value is no outcome.
	Result struct {
		Code        Code          `json:"code"`
		Message     string        `json:"message,omitempty"`
		Ran         Ran           `json:"ran"`
		Status      int           `json:"status"` // HTTP status of the response
		RetryAfter  time.Duration `json:"retry_after,omitempty"`
		ContentType string        `json:"content_type,omitempty"`
		Body        []byte        `json:"body,omitempty"`     // the whole answer: a service's body, or a model's text
		Upstream    string        `json:"upstream,omitempty"` // of the last attempt
		Finish      string        `json:"finish,omitempty"`
		Prompt      int           `json:"prompt_tokens,omitempty"`
		Cached      int           `json:"cached_tokens,omitempty"`
		Output      int           `json:"output_tokens,omitempty"`
	}
)

var statuses = map[Code]int{
	CodeOK:             http.StatusOK,
	CodeBadRequest:     http.StatusBadRequest,
	CodeUnauthorized:   http.StatusUnauthorized,
	CodeNotFound:       http.StatusNotFound,
	CodeConflict:       http.StatusConflict,
	CodeEnded:          http.StatusGone,
	CodeBudget:         http.StatusPaymentRequired,
	CodeTurns:          http.StatusForbidden,
	CodeOrder:          http.StatusConflict,
	CodeLimited:        http.StatusTooManyRequests,
	CodeOverloaded:     http.StatusTooManyRequests,
	CodeNoUpstream:     http.StatusServiceUnavailable,
	CodeUpstreamFailed: http.StatusBadGateway,
	CodeTimeout:        http.StatusGatewayTimeout,
	CodeUnknown:        http.StatusBadGateway,
	CodeCancelled:      http.StatusConflict,
	CodeStoreDown:      http.StatusServiceUnavailable,
	CodeNotOwner:       http.StatusServiceUnavailable,
	CodeDraining:       http.StatusServiceUnavailable,
}

// Refuse returns the outcome of a request that did not run.
func Refuse(code Code, format string, args ...any) Result {
	return Failed(code, No, format, args...)
}

// Failed returns an outcome without an answer.
func Failed(code Code, ran Ran, format string, args ...any) Result {
	return Result{Code: code, Ran: ran, Status: statuses[code], Message: fmt.Sprintf(format, args...)}
}

// OK reports whether the request succeeded.
func (r Result) OK() bool { return r.Code == CodeOK }

// WithRetryAfter returns the result with a hint how long to wait before a retry.
func (r Result) WithRetryAfter(d time.Duration) Result {
	r.RetryAfter = d
	return r
}
