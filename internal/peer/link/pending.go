package link

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/slaterock/slaterock/internal/prog/runner"
)

// pendingRequest collects the response to one request that this side sent: pieces
// for its sink, then the outcome. Flow control bounds the pieces buffered here to
// about window.
type pendingRequest struct {
	mu         sync.Mutex
	pieces     []string
	signal     chan struct{} // holds one signal that pieces were added
	done       chan error    // the outcome
	attachment []byte        // of the request
	consumed   int           // bytes passed to the sink since the last credit

	// Guarded by the session's mu:
	sent  bool   // the write began
	reply []byte // attachment of the response
}

func newPendingRequest(attachment []byte) *pendingRequest {
	return &pendingRequest{attachment: attachment, signal: make(chan struct{}, 1), done: make(chan error, 1)}
}

func (c *pendingRequest) push(text string) {
	c.mu.Lock()
	c.pieces = append(c.pieces, text)
	c.mu.Unlock()
	select {
	case c.signal <- struct{}{}:
	default:
	}
}

func (c *pendingRequest) drain() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := c.pieces
	c.pieces = nil
	return all
}

// exchange sends one request over the session, waits for its outcome and returns
// the attachment of the response.
func (s *session) exchange(ctx context.Context, method string, r request, sink runner.Sink, out any) ([]byte, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	c := newPendingRequest(r.attachment)
	id := s.register(c)
	s.awaiting.Add(1)
	defer s.awaiting.Add(-1)
	s.noteSend()
	// The write may block behind other writes on this connection, but the end of
	// ctx must take effect at once.
	err := s.link.spawn(func(context.Context) {
		c.done <- s.sendAndWait(ctx, id, method, r, out)
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

func (s *session) register(c *pendingRequest) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	s.pending[s.lastID] = c
	return s.lastID
}

// unregister ends the routing of pieces to the request and reports whether its
// write had begun.
func (s *session) unregister(id uint64) (sent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.pending[id]
	delete(s.pending, id)
	return c != nil && c.sent
}

// sendAndWait sends the request and waits for the response. When ctx ends, it sends
// a cancel message, always after the request.
func (s *session) sendAndWait(ctx context.Context, id uint64, method string, r request, out any) error {
	w, err := s.rpc.DispatchCall(ctx, method, r, jsonrpc2.PickID(jsonrpc2.ID{Num: id}))
	if err == nil {
		err = w.Wait(ctx, out)
	}
	sent := s.unregister(id)
	var rpcErr *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &rpcErr) && rpcErr.Code == codeOverloaded:
		return s.linkError(false, errors.Wrap(ErrOverloaded, rpcErr.Message))
	case errors.As(err, &rpcErr):
		return &MethodError{Method: method, Message: rpcErr.Message}
	case ctx.Err() != nil:
		s.enqueue(outgoing{method: methodCancel, params: cancel{ID: id}})
		return ctx.Err()
	}
	return s.linkError(sent && !errors.Is(err, errTooLarge), err)
}

func (s *session) linkError(mayHaveRun bool, err error) error {
	if errors.Is(err, jsonrpc2.ErrClosed) {
		err = s.reason()
	}
	return &Error{Peer: s.peer, MayHaveRun: mayHaveRun, Cause: err}
}

// collect delivers pieces to the sink until the outcome is known.
func (s *session) collect(ctx context.Context, id uint64, c *pendingRequest, sink runner.Sink) error {
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
			// The reader pushes all pieces before it reads the response.
			return s.deliver(id, c, sink)
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), s.peer)
		}
	}
}

// deliver passes the received pieces to the sink, and returns their credit to
// the peer once it amounts to a quarter of the window.
func (s *session) deliver(id uint64, c *pendingRequest, sink runner.Sink) error {
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
