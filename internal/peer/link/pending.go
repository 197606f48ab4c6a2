package link

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/slaterock/slaterock/internal/prog/runner"
)

// answer collects what comes back for one call that was made: pieces for its
// sink, then the outcome. What waits here is bounded by the window that the
// other side keeps to.
type pendingCall struct {
	mu       sync.Mutex
	pieces   []string
	signal   chan struct{} // holds one signal that pieces came
	done     chan error    // the outcome
	body     []byte        // attached to the request
	consumed int           // bytes that the sink took since the last credit

	// Guarded by the session's mu:
	sent  bool   // the write began
	reply []byte // attached to the outcome
}

func newPendingCall(body []byte) *pendingCall {
	return &pendingCall{body: body, signal: make(chan struct{}, 1), done: make(chan error, 1)}
}

func (c *pendingCall) push(text string) {
	c.mu.Lock()
	c.pieces = append(c.pieces, text)
	c.mu.Unlock()
	select {
	case c.signal <- struct{}{}:
	default:
	}
}

func (c *pendingCall) drain() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := c.pieces
	c.pieces = nil
	return all
}

// exchange makes one call over the session and waits for its outcome. It
// returns what is attached to that.
func (s *session) exchange(ctx context.Context, method string, r request, sink runner.Sink, out any) ([]byte, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	c := newPendingCall(r.attachment)
	id := s.register(c)
	s.awaiting.Add(1)
	defer s.awaiting.Add(-1)
	s.noteRequest()
	// The write may wait for other writes on this connection; ctx must not.
	err := s.link.spawn(func(context.Context) {
		c.done <- s.roundTrip(ctx, id, method, r, out)
	})
	if err != nil {
		s.unregister(id)
		return nil, &Error{Peer: s.peer, Cause: err}
	}
	if err = s.collect(ctx, id, c, sink); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.reply, nil
}

func (s *session) register(c *pendingCall) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	s.pending[s.next] = c
	return s.next
}

// forget ends the routing of pieces and reports whether the write had begun.
func (s *session) unregister(id uint64) (sent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.pending[id]
	delete(s.pending, id)
	return c != nil && c.sent
}

// roundTrip sends the request and waits for the outcome. Once sent, the end of
// ctx is passed on, after the request and never before it.
func (s *session) roundTrip(ctx context.Context, id uint64, method string, r request, out any) error {
	w, err := s.rpc.DispatchCall(ctx, method, r, jsonrpc2.PickID(jsonrpc2.ID{Num: id}))
	if err == nil {
		err = w.Wait(ctx, out)
	}
	sent := s.unregister(id)
	var refused *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refused) && refused.Code == codeOverloaded:
		return s.linkError(false, err)
	case errors.As(err, &refused):
		return &MethodError{Method: method, Message: refused.Message}
	case ctx.Err() != nil:
		s.enqueue(outgoing{method: methodCancel, params: cancel{ID: id}})
		return ctx.Err()
	}
	return s.linkError(sent && !errors.Is(err, errTooLarge), err)
}

func (s *session) linkError(sent bool, err error) error {
	if errors.Is(err, jsonrpc2.ErrClosed) {
		err = s.reason()
	}
	return &Error{Peer: s.peer, Sent: sent, Cause: err}
}

// collect hands pieces to the sink until the outcome is there.
func (s *session) collect(ctx context.Context, id uint64, c *pendingCall, sink runner.Sink) error {
	for {
		select {
		case <-c.signal:
			if err := s.deliver(id, c, sink); err != nil {
				return err
			}
		case err := <-c.done:
			if err != nil {
				return err
			}
			// The reader put all pieces before it saw the outcome.
			return s.deliver(id, c, sink)
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), s.peer)
		}
	}
}

// pass gives what came to the sink and lets the other side send as much again,
// once that is worth a message.
func (s *session) deliver(id uint64, c *pendingCall, sink runner.Sink) error {
	for _, text := range c.drain() {
		c.consumed += len(text) + pieceCost
		if sink == nil {
			continue
		}
		if err := sink(text); err != nil {
			return err
		}
	}
	if c.consumed >= window/4 {
		s.enqueue(outgoing{method: methodCredit, params: credit{ID: id, Bytes: c.consumed}})
		c.consumed = 0
	}
	return nil
}
