package model

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/slaterock/slaterock/internal/plat/engine"
)

const (
	// None is no fault.
	None Fault = iota
	// Refuse takes no byte of the request.
	Refuse
	// Busy answers 503 without running the request.
	Busy
	// Hang takes the request and never answers.
	Hang
	// Late holds the request back for the delay that Set was given.
	Delayed
	// Die breaks the connection in the middle of the answer.
	Disconnect
	// Silent sends half of the answer and then nothing, with the connection
	// still open.
	Stall
)

type (
	// Fault is a way in which one request fails.
	Fault int

	faults struct {
		fault  Fault
		delay  time.Duration
		script map[int]Fault
		n      int
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

// Set makes every request fail in the same way until the next Set. Late takes
// the delay.
func (e *Engine) SetFault(f Fault, delay time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault.fault, e.fault.delay = f, delay
}

// Script makes the n-th request from now on, counted from 1, fail with
// script[n].
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

// early is what a fault does before the request runs.
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

// late is what a fault does before piece i of n.
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
