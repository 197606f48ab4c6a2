// Package ledger is a stand-in for a plain service whose calls have side
// effects, such as issuing a receipt.
//
// Service records every execution under the request's name, so that a request
// that ran twice shows. Its faults put the loss at a chosen moment: before the
// request was read, after the work was done, or never an answer at all.
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
	// None is no fault.
	None Fault = iota
	// Refuse takes no byte of the request.
	Refuse
	// Hang reads the request, does nothing and never answers.
	Hang
	// LoseAnswer does the work and breaks the connection.
	LoseResponse
	// HangAfter does the work and never answers.
	HangAfterExecution
	// Fail answers 500 without doing the work.
	Fail
)

type (
	// Fault is a way in which one call fails.
	Fault int

	// Service implements tool.Tool. The zero value works at once.
	Service struct {
		Duration time.Duration // what one execution takes

		mu         sync.Mutex
		executions map[string]int
		calls      []tool.Request
		fault      Fault
		script     map[int]Fault
		n          int
	}
)

var errRefused = errors.New("connection refused")

// Set makes every call fail in the same way until the next Set.
func (s *Service) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Script makes the n-th call from now on, counted from 1, fail with faults[n].
func (s *Service) ScriptFaults(faults map[int]Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script, s.n = faults, 0
}

// Ran tells how often the request was executed.
func (s *Service) Executions(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[id]
}

// Calls returns the requests that were received, in order.
func (s *Service) Calls() []tool.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

// Twice returns the requests that were executed more than once.
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
