package link

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

var (
	// ErrWrongKey is returned if the peer does not hold the shared key.
	ErrWrongKey = errors.New("peer does not hold the shared key")
	// ErrUnresponsive is the cause of a call's failure if its connection was
	// closed because the peer sent or accepted no data for too long.
	ErrUnresponsive = errors.New("connection went silent")
	// ErrConnLost is the cause of a served call's context when its connection
	// ended: the caller may repeat the call over another one.
	ErrConnLost = errors.New("connection lost")
	// ErrCancelled is the cause of a served call's context when the caller
	// cancelled the call.
	ErrCancelled = errors.New("cancelled by the caller")

	errNotStarted = errors.New("link not started")
	errBadFrame   = errors.New("not a frame")
	errTooLarge   = errors.New("message too large")
	errIdleClosed = errors.New("connection idle")
)

type (
	// Error is a failure of the link, not of the method. Sent is false only if
	// the request certainly did not reach the peer.
	Error struct {
		Peer       string
		MayHaveRun bool
		Cause      error
	}

	// MethodError is an error that the method returned at the peer.
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
