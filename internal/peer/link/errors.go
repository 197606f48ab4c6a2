package link

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

var (
	// ErrKey tells that the peer does not hold the shared key.
	ErrWrongKey = errors.New("peer does not hold the shared key")
	// ErrSilent tells that a connection was given up because nothing came.
	ErrUnresponsive = errors.New("connection went silent")
	// ErrLost is the cause of a served call's context when its connection
	// ended: the caller may come back over another one.
	ErrConnLost = errors.New("connection lost")
	// ErrCancelled is the cause of a served call's context when the caller
	// gave the call up.
	ErrCancelled = errors.New("cancelled by the caller")

	errNotStarted = errors.New("link not started")
	errBadFrame   = errors.New("not a frame")
	errTooLarge   = errors.New("message too large")
	errIdleClosed = errors.New("connection idle")
)

type (
	// Error is a failure of the link, not of what was asked. Sent is false
	// only if the request certainly did not reach the peer.
	Error struct {
		Peer  string
		Sent  bool
		Cause error
	}

	// Refused is a method's own error, as the peer told it.
	MethodError struct {
		Method  string
		Message string
	}
)

func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("lost the answer of %s: %v", e.Peer, e.Cause)
	}
	return fmt.Sprintf("%s not reached: %v", e.Peer, e.Cause)
}

func (e *Error) Unwrap() error { return e.Cause }

func (e *MethodError) Error() string { return e.Method + ": " + e.Message }
