package link

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/slaterock/slaterock/internal/prog/result"
)

const (
	window    = 64 << 10 // bytes of one answer in flight to a sink
	pieceCost = 64       // bytes counted for each piece besides its text
)

// servedRequest is one request being served.
type servedRequest struct {
	session *session
	id      uint64
	ctx     context.Context
	cancel  context.CancelCauseFunc

	mu           sync.Mutex
	credit       int
	creditSignal chan struct{} // holds one signal that credit grew

	taken      int64  // by Link.Take for the request
	attachment []byte // of the response; guarded by the session's mu
}

// serve runs a request on a pool; if the pool is full it is rejected at once.
func (s *session) serve(r *jsonrpc2.Request, params json.RawMessage) {
	taken := s.stream.lastTaken
	var q request
	err := json.Unmarshal(params, &q)
	switch {
	case s.stream.lastErr != nil:
		s.rejectOverload(r, s.stream.lastErr)
		return
	case err != nil:
		s.giveBack(taken)
		s.replyError(r, jsonrpc2.CodeInvalidParams, err)
		return
	}
	q.attachment = s.stream.lastAttachment
	pool := s.link.handlerPool
	if r.Method != methodInvoke {
		pool = s.link.runnerPool
	}
	v := s.beginServing(r.ID.Num)
	v.taken = taken
	err = s.link.submit(pool, func() {
		defer s.finishServing(v)
		s.runAndReply(v, r, q)
	})
	if err != nil {
		s.finishServing(v)
		s.rejectOverload(r, err)
	}
}

// giveBack returns what was taken for a request.
func (s *session) giveBack(taken int64) {
	if taken > 0 {
		s.link.Return(taken)
	}
}

func (s *session) rejectOverload(r *jsonrpc2.Request, err error) {
	s.link.Scope.Counter("link_refused").Inc(1)
	s.link.rejected.Add(1)
	s.replyError(r, codeOverloaded, err)
}

func (s *session) beginServing(id uint64) *servedRequest {
	v := &servedRequest{session: s, id: id, credit: window, creditSignal: make(chan struct{}, 1)}
	v.ctx, v.cancel = context.WithCancelCause(s.link.ctx)
	s.serving.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served[id] = v
	if s.ended() {
		v.cancel(ErrConnLost)
	}
	return v
}

func (s *session) finishServing(v *servedRequest) {
	v.cancel(nil)
	s.giveBack(v.taken)
	s.serving.Add(-1)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.served, v.id)
}

func (s *session) runAndReply(v *servedRequest, r *jsonrpc2.Request, q request) {
	out, attachment, err := v.run(r.Method, q)
	s.giveBack(v.taken) // before the reply: the caller's next request may follow it at once
	v.taken = 0
	if cause := context.Cause(v.ctx); cause != nil && !errors.Is(cause, ErrCancelled) {
		// This daemon is stopping or the connection was lost. What the runner
		// returned is not an outcome: a caller that got it would not retry.
		return
	}
	if err != nil {
		s.replyError(r, codeFailed, err)
		return
	}
	s.mu.Lock()
	v.attachment = attachment
	s.mu.Unlock()
	_ = s.rpc.Reply(v.ctx, r.ID, out)
}

// replyError responds with an error. It only queues the response, since it is
// also called by the reader: if both sides' readers blocked on writing, neither
// direction would make progress.
func (s *session) replyError(r *jsonrpc2.Request, code int64, err error) {
	if r.Notif {
		return
	}
	reply := &jsonrpc2.Response{ID: r.ID, Error: &jsonrpc2.Error{Code: code, Message: err.Error()}}
	s.enqueue(outgoing{reply: reply})
}

// run runs the request and returns the response and its attachment.
func (v *servedRequest) run(method string, q request) (out any, body []byte, err error) {
	if method == methodInvoke {
		return v.invoke(q)
	}
	run := v.session.link.Runner
	if run == nil {
		out, body = splitResult(result.Refuse(result.CodeNotOwner, "this daemon serves no programs"), nil)
		return out, body, nil
	}
	switch {
	case method == methodOpen && q.Open != nil:
		out, body = splitResult(run.Open(v.ctx, *q.Open), nil)
	case method == methodCall && q.Call != nil:
		out, body = splitResult(run.Call(v.ctx, q.call(), v.sink), nil)
	case method == methodEnd && q.End != nil:
		out, body = splitResult(run.End(v.ctx, *q.End), nil)
	case method == methodHistory && q.Query != nil:
		h, res := run.History(v.ctx, q.Query.Account, q.Query.Name)
		out, body = splitResult(res, &h)
	case method == methodRequest && q.Query != nil:
		h, res := run.Request(v.ctx, q.Query.Account, q.Query.Name)
		out, body = splitResult(res, &h)
	default:
		err = errors.Newf("no method %s", method)
	}
	return out, body, err
}

func (v *servedRequest) invoke(q request) (out any, body []byte, err error) {
	h := v.session.link.handlers[q.Name]
	if h == nil {
		return nil, nil, errors.Newf("no method %s", q.Name)
	}
	params := q.Value
	if params == nil {
		params = q.attachment
	}
	out, err = h(v.ctx, params)
	if raw, ok := out.(Raw); ok {
		return nil, raw, err
	}
	return out, nil, err
}

// sink sends a piece of the answer. It blocks while there is no credit: without
// this flow control a slow caller would fill the memory of this daemon or of
// the relay, or stall all other answers on the connection.
func (v *servedRequest) sink(text string) error {
	if err := v.consumeCredit(len(text) + pieceCost); err != nil {
		return err
	}
	if v.session.stream.writePiece(v.id, text) != nil {
		return ErrConnLost
	}
	return nil
}

// consumeCredit blocks until there is any credit, even if less than n, so that
// a piece larger than the window passes too. The credit may become negative.
func (v *servedRequest) consumeCredit(n int) error {
	for {
		v.mu.Lock()
		if v.credit > 0 {
			v.credit -= n
			v.mu.Unlock()
			return context.Cause(v.ctx)
		}
		v.mu.Unlock()
		select {
		case <-v.creditSignal:
		case <-v.ctx.Done():
			return context.Cause(v.ctx)
		}
	}
}

func (v *servedRequest) addCredit(n int) {
	v.mu.Lock()
	v.credit += n
	v.mu.Unlock()
	select {
	case v.creditSignal <- struct{}{}:
	default:
	}
}
