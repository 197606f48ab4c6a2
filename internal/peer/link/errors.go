package link

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

var (
	// ErrWrongKey is returned if the peer does not hold the shared key.
	ErrWrongKey = errors.New("peer does not hold the shared key")
	// ErrUnresponsive is the cause if a connection was closed because the peer
	// sent no data for too long, or because so many messages to it were queued
	// that it must have stopped reading.
	ErrUnresponsive = errors.New("connection went silent")
	// ErrConnLost is the cause if a connection ended without a more specific
	// reason, both of the *Error of a request made and of the context of a request
	// being served: the caller may repeat it over another connection. It is also
	// returned once the Link has closed.
	ErrConnLost = errors.New("connection lost")
	// ErrCancelled is the cause of the context of a request being served when the
	// peer cancelled the request.
	ErrCancelled = errors.New("cancelled by the caller")

	// ErrOverloaded is the cause if the peer rejected a request because it is serving as many
	// as it can.
	ErrOverloaded = errors.New("peer is overloaded")

	errNotStarted = errors.New("link not started")
	errBadFrame   = errors.New("not a frame")
	errTooLarge   = errors.New("message too large")
	errIdleClosed = errors.New("connection idle")
)

type (
	// Error is a failure of the link, not of the method. MayHaveRun is false only
	// if the request certainly did not run: it was not sent, or the peer rejected
	// it because it was overloaded or stopping.
	Error struct {
		Peer       string
		MayHaveRun bool
		Cause      error
	}

	// MethodError is an error response of the peer: the method failed or is
	// unknown, or its parameters were invalid. Method is the JSON-RPC method, which
	// is link.invoke for all methods called with Invoke.
	MethodError struct {
		Method  string
		Message string
	}
)

func (e *Error) Error() string {
	if e.MayHaveRun {
		return fmt.Sprintf("lost the answer of %s: %v", e.Peer, e.Cause)
	}
	return fmt.Sprintf("%s not reached: %v", e.Peer, e.Cause)
}

func (e *Error) Unwrap() error { return e.Cause }

func (e *MethodError) Error() string { return e.Method + ": " + e.Message }
