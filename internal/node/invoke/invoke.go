// Package send carries out one attempt at one upstream: a model's answer is fed
// on as it comes, a service's response is taken whole.
//
// What it reports decides whether anybody may try again, so it says Unsent only
// if no byte of the request left.
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
	"github.com/slaterock/slaterock/internal/plat/tool"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/shard/owner"
)

const (
	contentText = "text/plain; charset=utf-8"
	maxResumes  = 2 // of one broken answer
)

type (
	// Send makes attempts. The funcs give the client of the upstream at an
	// address.
	Invoker struct {
		Engine func(address string) engine.Engine
		Tool   func(address string) tool.Tool
		First  func(request, upstream string) // the first piece came
		Trace  *trace.Trace
	}
)

var errOverrun = errors.New("send: the engine generated more than it was asked for")

// Attempt implements host.Attempt.
func (i Invoker) Attempt(ctx context.Context, d owner.Dispatch, f *feed.Feed) (t owner.Tried) {
	ctx, span := i.Trace.Start(ctx, trace.Upstream, d.Call.TraceParent,
		attribute.String("request", d.Request), attribute.String("upstream", d.Upstream), attribute.Int("attempt", d.Try))
	d.Call.TraceParent = span.Parent()
	defer func() {
		var err error
		if t.Outcome != sched.Succeeded {
			err = errors.New(t.Why)
		}
		span.End(err)
	}()
	if d.Call.Kind == call.Model {
		return i.model(ctx, d, f)
	}
	return i.service(ctx, d)
}

func (i Invoker) model(ctx context.Context, d owner.Dispatch, f *feed.Feed) owner.Tried {
	t := owner.Tried{Request: d.Request, Upstream: d.Upstream, ContentType: contentText, Status: http.StatusOK}
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
		// An engine that ignores its bound would spend beyond the program's
		// budget; the stream is cut here and the answer ends by length.
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
		// The connection broke, not the engine: callers have seen a part of
		// the answer, so only the engine that gave it can go on with it.
		r.Resume = last
		u, err = i.Engine(d.Address).Chat(ctx, r, sink)
	}
	t.Usage, t.Pieces = u, f.Pieces()
	if errors.Is(err, errOverrun) {
		t.Usage.Finish, t.Usage.Output, err = "length", d.MaxTokens, nil
	}
	if err != nil {
		// What a resumption didn't reach was sent before.
		var e *engine.Error
		t.Outcome, t.Why = i.classify(ctx, err, errors.As(err, &e) && !e.Sent && t.Pieces == 0)
		return t
	}
	t.Outcome = sched.Succeeded
	t.Body = []byte(f.Text())
	return t
}

func (i Invoker) service(ctx context.Context, d owner.Dispatch) owner.Tried {
	t := owner.Tried{Request: d.Request, Upstream: d.Upstream}
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
	if err != nil {
		var e *tool.Error
		t.Outcome, t.Why = i.classify(ctx, err, errors.As(err, &e) && !e.Sent)
		return t
	}
	t.Outcome = sched.Succeeded
	t.Status, t.ContentType, t.Body = r.Status, r.ContentType, r.Body
	return t
}

// failed sorts an error. A cancelled attempt is Withdrawn even if it was never
// sent: nobody will make another.
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
