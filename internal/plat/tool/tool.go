// Package tool defines the interface to a plain service: an HTTP service that is not
// a model engine. It answers one request with one response.
//
// A service may hang, fail, or execute the request and lose the response. Retries
// depend on Error.Sent alone: false means that no byte of the request reached the
// service, so that it did not run.
package tool

import "context"

type (
	// Tool is one upstream of a plain service.
	Tool interface {
		// Do sends the request once. It never retries.
		Do(ctx context.Context, r Request) (Response, error)
	}

	// Request is one call to a service.
	Request struct {
		ID          string // request id, sent as Slaterock-Request
		Method      string
		Path        string // relative to the service's root, with query
		ContentType string
		Body        []byte
		TraceParent string
	}

	// Response is the service's response.
	Response struct {
		Status      int
		ContentType string
		Body        []byte
	}

	// Error is a request without a response.
	Error struct {
		Sent bool
		Err  error
	}
)

// Error returns the cause's text.
func (e *Error) Error() string { return "tool: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
