package model

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/slaterock/slaterock/internal/plat/engine"
)

const (
	// None means no fault.
	None Fault = iota
	// Refuse fails a call of Chat as if the connection were refused: nothing of
	// the request is received. Over HTTP, Serve responds with status 503.
	Refuse
	// Busy responds with status 503 without running the request.
	Busy
	// Hang receives the request and never responds.
	Hang
	// Delayed runs the request after the delay passed to SetFault.
	Delayed
	// Disconnect closes the connection in the middle of the answer.
	Disconnect
	// Stall sends half of the answer and then nothing more, and leaves the
	// connection open.
	Stall
)

type (
	// Fault is a way in which a request fails.
	Fault int

	faults struct {
		fault  Fault
		delay  time.Duration
		script map[int]Fault // by number of the request
		n      int           // requests since ScriptFaults
	}
)

var (
	errRefused      = &engine.Error{Err: errors.New("connection refused")}
	errBusy         = &engine.Error{Sent: true, Status: http.StatusServiceUnavailable, Err: errors.New("busy")}
	errDisconnected = &engine.Error{Sent: true, Err: errors.New("connection reset")}
	errNoModel      = &engine.Error{Sent: true, Status: http.StatusNotFound, Err: errors.New("model not loaded")}
	errFenced       = &engine.Error{Sent: true, Status: http.StatusConflict, Err: errors.New("old fencing number")}
	errBadOrder     = &engine.Error{Sent: true, Status: http.StatusBadRequest, Err: errors.New("order not possible")}
)

// SetFault applies f to every chat request until the next call of SetFault. Refuse
// also makes Load fail. The delay is that of Delayed, also in a script of
// ScriptFaults.
func (e *Engine) SetFault(f Fault, delay time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault.fault, e.fault.delay = f, delay
}

// ScriptFaults applies script[n] to the n-th chat request from now on, counted from
// 1. It overrides SetFault for these requests.
func (e *Engine) ScriptFaults(script map[int]Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault.script, e.fault.n = script, 0
}

func (f *faults) next() (Fault, time.Duration) {
	f.n++
	if s, ok := f.script[f.n]; ok {
		return s, f.delay
	}
	return f.fault, f.delay
}

// failBeforeRun applies a fault that takes effect before the request runs.
func failBeforeRun(ctx context.Context, f Fault, delay time.Duration) error {
	switch f {
	case Refuse:
		return errRefused
	case Busy:
		return errBusy
	case Hang:
		<-ctx.Done()
		return cancelled(ctx.Err())
	case Delayed:
		if err := sleep(ctx, delay); err != nil {
			return cancelled(err)
		}
	}
	return nil
}

// failInStream applies a fault that takes effect before piece i of n; the first
// half of the pieces is always sent.
func failInStream(ctx context.Context, f Fault, i, n int) error {
	if i < n/2 {
		return nil
	}
	switch f {
	case Disconnect:
		return errDisconnected
	case Stall:
		<-ctx.Done()
		return cancelled(ctx.Err())
	}
	return nil
}

func cancelled(err error) error { return &engine.Error{Sent: true, Err: err} }
