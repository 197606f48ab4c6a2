// Package tool describes a plain service: a worker that answers one request
// with one response.
//
// A service may hang, fail, or do its work and lose the answer. Error.Sent is
// the one fact that retries rest on: false means that no byte of the request
// reached the service, so it certainly did not run.
package tool

import "context"

type (
	// Tool is one plain service's worker.
	Tool interface {
		// Do sends the request once. It never retries by itself.
		Do(ctx context.Context, r Request) (Response, error)
	}

	// Request is one call to a service.
	Request struct {
		ID          string // our request's name, sent as Slaterock-Request
		Method      string
		Path        string // below the service's root, with query
		ContentType string
		Body        []byte
		TraceParent string
	}

	// Response is the service's answer.
	Response struct {
		Status      int
		ContentType string
		Body        []byte
	}

	// Error is a call without an answer.
	Error struct {
		Sent bool
		Err  error
	}
)

// Error returns the cause's text.
func (e *Error) Error() string { return "tool: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
