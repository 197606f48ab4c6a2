// Package invoke sends one attempt to one upstream. A model's answer is streamed to a feed, a
// service's response is returned as a whole.
//
// The outcome decides whether the request may be sent again, so it is sched.Unsent only if no
// byte of the request was sent.
package invoke

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"

	"github.com/slaterock/slaterock/internal/node/feed"
	"github.com/slaterock/slaterock/internal/obs/trace"
	"github.com/slaterock/slaterock/internal/place/sched"
	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/plat/head"
	"github.com/slaterock/slaterock/internal/plat/tool"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/shard/owner"
)

const (
	contentText = "text/plain; charset=utf-8"
	maxResumes  = 2 // per interrupted answer
)

type (
	// Invoker sends attempts. Engine and Tool return the client of the upstream at an
	// address.
	Invoker struct {
		Engine func(address string) engine.Engine
		Tool   func(address string) tool.Tool
		First  func(request, upstream string)                  // called with the first piece of an answer
		Broken func(request, upstream string, err *head.Error) // called for a response with a broken header; nil for nothing
		Trace  *trace.Trace
	}
)

var errOverrun = errors.New("invoke: the engine generated more tokens than requested")

// Attempt implements host.Attempt.
func (i Invoker) Attempt(ctx context.Context, d owner.Dispatch, f *feed.Feed) (t owner.AttemptEnded) {
	ctx, span := i.Trace.Start(ctx, trace.Upstream, d.Call.TraceParent,
		attribute.String("request", d.Request), attribute.String("upstream", d.Upstream), attribute.Int("attempt", d.Try))
	d.Call.TraceParent = span.Traceparent()
	defer func() {
		var err error
		if t.Outcome != sched.Succeeded {
			err = errors.New(t.Reason)
		}
		span.End(err)
	}()
	if d.Call.Kind == call.Model {
		return i.model(ctx, d, f)
	}
	return i.service(ctx, d)
}

func (i Invoker) model(ctx context.Context, d owner.Dispatch, f *feed.Feed) owner.AttemptEnded {
	t := owner.AttemptEnded{Request: d.Request, Upstream: d.Upstream, ContentType: contentText, Status: http.StatusOK}
	tokens, last := 0, 0
	first := true
	r := engine.Request{
		ID:          d.Request,
		Program:     d.Call.Program,
		Model:       d.Call.Model,
		Body:        d.Call.Body,
		Priority:    d.Priority,
		MaxTokens:   d.MaxTokens,
		TraceParent: d.Call.TraceParent,
	}
	sink := func(p engine.Delta) error {
		if first {
			first = false
			i.First(d.Request, d.Upstream)
		}
		last = p.ID
		// An engine that ignores MaxTokens would exceed the program's budget. The stream
		// is stopped here, and the answer ends with finish reason "length".
		if tokens+p.Tokens > d.MaxTokens {
			return errOverrun
		}
		tokens += p.Tokens
		f.Add(p.Text)
		return nil
	}
	u, err := i.Engine(d.Address).Chat(ctx, r, sink)
	for range maxResumes {
		if err == nil || ctx.Err() != nil || last == 0 || errors.Is(err, errOverrun) {
			break
		}
		// The connection broke, but the engine may still run. Callers have received a
		// part of the answer, so only the same engine can continue it.
		r.Resume = last
		u, err = i.Engine(d.Address).Chat(ctx, r, sink)
	}
	t.Usage, t.Pieces = u, f.Pieces()
	if errors.Is(err, errOverrun) {
		t.Usage.Finish, t.Usage.Output, err = "length", d.MaxTokens, nil
	}
	i.reportBroken(d, err)
	if err != nil {
		// A resumption that was not sent doesn't make the attempt unsent: the request
		// itself was sent before.
		var e *engine.Error
		t.Outcome, t.Reason = i.classify(ctx, err, errors.As(err, &e) && !e.Sent && t.Pieces == 0)
		return t
	}
	t.Outcome = sched.Succeeded
	t.Body = []byte(f.Text())
	return t
}

func (i Invoker) service(ctx context.Context, d owner.Dispatch) owner.AttemptEnded {
	t := owner.AttemptEnded{Request: d.Request, Upstream: d.Upstream}
	if d.Timeout > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, d.Timeout)
		defer stop()
	}
	r, err := i.Tool(d.Address).Do(ctx, tool.Request{
		ID:          d.Request,
		Method:      d.Call.Method,
		Path:        d.Call.Path,
		ContentType: d.Call.ContentType,
		Body:        d.Call.Body,
		TraceParent: d.Call.TraceParent,
	})
	i.reportBroken(d, err)
	if err != nil {
		var e *tool.Error
		t.Outcome, t.Reason = i.classify(ctx, err, errors.As(err, &e) && !e.Sent)
		return t
	}
	t.Outcome = sched.Succeeded
	t.Status, t.ContentType, t.Body = r.Status, r.ContentType, r.Body
	return t
}

func (i Invoker) reportBroken(d owner.Dispatch, err error) {
	var broken *head.Error
	if i.Broken != nil && errors.As(err, &broken) {
		i.Broken(d.Request, d.Upstream, broken)
	}
}

// classify returns the outcome and reason for an error. A cancelled attempt is
// sched.Cancelled even if it was not sent, because it is not tried again.
func (i Invoker) classify(ctx context.Context, err error, unsent bool) (sched.Outcome, string) {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return sched.Cancelled, "cancelled"
	case unsent:
		return sched.Unsent, err.Error()
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return sched.Failed, "no answer in time"
	}
	return sched.Failed, err.Error()
}
