// Package ledger is a fake of a plain service whose calls have side effects, such
// as issuing a receipt.
//
// Service counts executions by request id, so that tests detect a request that
// was executed twice. Its faults occur before the request is received, before it
// is executed, or between its execution and the response.
package ledger

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/slaterock/slaterock/internal/plat/tool"
)

const (
	// None means no fault.
	None Fault = iota
	// Refuse fails the call as if the connection were refused: nothing of the
	// request is received.
	Refuse
	// Hang receives the request, does not execute it and never responds.
	Hang
	// LoseResponse executes the request and closes the connection.
	LoseResponse
	// HangAfterExecution executes the request and never responds.
	HangAfterExecution
	// Fail responds with status 500 without executing the request.
	Fail
)

type (
	// Fault is a way in which a call fails.
	Fault int

	// Service implements tool.Tool. The zero value is ready for use.
	Service struct {
		Duration time.Duration // of one execution

		mu         sync.Mutex
		executions map[string]int
		calls      []tool.Request
		fault      Fault
		script     map[int]Fault
		n          int
	}
)

var errRefused = errors.New("connection refused")

// SetFault applies f to every call until the next call of SetFault.
func (s *Service) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// ScriptFaults applies faults[n] to the n-th call from now on, counted from 1. It
// overrides SetFault for these calls.
func (s *Service) ScriptFaults(faults map[int]Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script, s.n = faults, 0
}

// Executions returns how many times the request was executed.
func (s *Service) Executions(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[id]
}

// Calls returns the received requests in order.
func (s *Service) Calls() []tool.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

// Duplicates returns the ids of the requests that were executed more than once.
func (s *Service) Duplicates() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for id, n := range s.executions {
		if n > 1 {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Do implements tool.Tool.
func (s *Service) Do(ctx context.Context, r tool.Request) (tool.Response, error) {
	f := s.receive(r)
	switch f {
	case Refuse:
		return tool.Response{}, &tool.Error{Err: errRefused}
	case Hang:
		<-ctx.Done()
		return tool.Response{}, &tool.Error{Sent: true, Err: ctx.Err()}
	case Fail:
		return tool.Response{Status: http.StatusInternalServerError, ContentType: "text/plain", Body: []byte("failed")}, nil
	}
	if err := s.delay(ctx); err != nil {
		return tool.Response{}, &tool.Error{Sent: true, Err: err}
	}
	resp := s.execute(r)
	switch f {
	case LoseResponse:
		return tool.Response{}, &tool.Error{Sent: true, Err: errors.New("connection reset")}
	case HangAfterExecution:
		<-ctx.Done()
		return tool.Response{}, &tool.Error{Sent: true, Err: ctx.Err()}
	}
	return resp, nil
}

func (s *Service) receive(r tool.Request) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.n++
	f := s.fault
	if v, ok := s.script[s.n]; ok {
		f = v
	}
	if f != Refuse {
		r.Body = slices.Clone(r.Body)
		s.calls = append(s.calls, r)
	}
	return f
}

func (s *Service) delay(ctx context.Context) error {
	if s.Duration <= 0 {
		return nil
	}
	t := time.NewTimer(s.Duration)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Service) execute(r tool.Request) tool.Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.executions == nil {
		s.executions = map[string]int{}
	}
	s.executions[r.ID]++
	body := fmt.Sprintf(`{"request":%q,"path":%q,"receipt":%d,"bytes":%d}`, r.ID, r.Path, len(s.executions), len(r.Body))
	return tool.Response{Status: http.StatusOK, ContentType: "application/json", Body: []byte(body)}
}
