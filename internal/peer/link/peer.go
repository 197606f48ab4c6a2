package link

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/peer/swim"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/prog/runner"
)

const (
	backOffFirst = 50 * time.Millisecond
	backOffMax   = 2 * time.Second
	retryAfter   = time.Second // sent to callers whose request failed on the link
)

// Peer is the client for one other daemon. As a runner.Runner it runs programs at
// that daemon and returns link failures as results; Try returns them as an *Error.
type Peer struct {
	link    *Link
	address string

	mu        sync.Mutex
	session   *session
	dialing   chan struct{} // closed when the running dial ends; nil if there is none
	dialBegan time.Time
	backOff   time.Duration // after the last failure
	nextDial  time.Time     // no dial before this time
	dialErr   error
}

var _ runner.Runner = (*Peer)(nil)

// Open opens a program at the peer.
func (p *Peer) Open(ctx context.Context, o call.Open) result.Result {
	return p.callRunner(ctx, methodOpen, request{Open: &o})
}

// Call runs a call at the peer. A link failure after the request was sent gives
// outcome_unknown; a caller that wants to repeat the call instead uses Try.
func (p *Peer) Call(ctx context.Context, c call.Call, sink runner.Sink) result.Result {
	r, err := p.Try(ctx, c, sink)
	if err != nil {
		return failureResult(err)
	}
	return r
}

// Try is like Call, but returns a link failure as an *Error. The owner
// deduplicates calls by their number, so the same call may then be repeated
// at the same or a new owner, whether or not it may have run; its sink gets the
// text again from the start.
func (p *Peer) Try(ctx context.Context, c call.Call, sink runner.Sink) (result.Result, error) {
	var out response
	body, err := p.exchange(ctx, methodCall, newCallRequest(c), sink, &out)
	if err != nil {
		return result.Result{}, err
	}
	out.Result.Body = body
	return out.Result, nil
}

// End ends a program at the peer.
func (p *Peer) End(ctx context.Context, e call.End) result.Result {
	return p.callRunner(ctx, methodEnd, request{End: &e})
}

// History returns a program's history from the peer.
func (p *Peer) History(ctx context.Context, account, program string) (hist.History, result.Result) {
	return p.query(ctx, methodHistory, query{Account: account, Name: program})
}

// Request returns the outcome of one request from the peer.
func (p *Peer) Request(ctx context.Context, account, name string) (hist.History, result.Result) {
	return p.query(ctx, methodRequest, query{Account: account, Name: name})
}

// Invoke calls a method that the peer registered with Handle. The error is a
// *MethodError if the method itself failed, an *Error if the link did.
func (p *Peer) Invoke(ctx context.Context, name string, params, out any) (err error) {
	defer func() { err = errors.Wrapf(err, "invoke %s", name) }()
	r := request{Name: name}
	if raw, ok := params.(Raw); ok {
		r.attachment = raw
	} else if r.Value, err = json.Marshal(params); err != nil {
		return err
	}
	// The response may still be decoded after ctx has ended and Invoke has
	// returned, so it must not be decoded into out.
	var raw json.RawMessage
	body, err := p.exchange(ctx, methodInvoke, r, nil, &raw)
	if err != nil || out == nil {
		return err
	}
	if out, ok := out.(*Raw); ok {
		*out = body
		return nil
	}
	return json.Unmarshal(raw, out)
}

// Send queues a packet without blocking. Without a connection it dials in the
// background first. The packet is dropped if the dial fails or too many wait.
func (p *Peer) Send(packet swim.Packet) {
	p.mu.Lock()
	s := p.liveSession()
	p.mu.Unlock()
	if s != nil {
		s.packet(packet)
		return
	}
	_ = p.link.spawn(func(ctx context.Context) {
		if s, err := p.connect(ctx); err == nil {
			s.packet(packet)
		}
	})
}

func (p *Peer) callRunner(ctx context.Context, method string, r request) result.Result {
	var out response
	body, err := p.exchange(ctx, method, r, nil, &out)
	if err != nil {
		return failureResult(err)
	}
	out.Result.Body = body
	return out.Result
}

func (p *Peer) query(ctx context.Context, method string, q query) (hist.History, result.Result) {
	var out response
	body, err := p.exchange(ctx, method, request{Query: &q}, nil, &out)
	if err != nil {
		return hist.History{}, failureResult(err)
	}
	out.Result.Body = body
	if out.History == nil {
		return hist.History{}, out.Result
	}
	return *out.History, out.Result
}

// failureResult maps an error of an exchange to a result. Only a request that was
// not sent, or that the peer rejected before running it, may be reported as not
// run.
func failureResult(err error) result.Result {
	var e *Error
	switch {
	case errors.As(err, &e) && !e.MayHaveRun:
		return result.Refuse(result.CodeNotOwner, "%v", err).WithRetryAfter(retryAfter)
	case errors.Is(err, context.DeadlineExceeded):
		return result.Failed(result.CodeTimeout, result.Unknown, "%v", err)
	case errors.Is(err, context.Canceled):
		return result.Failed(result.CodeCancelled, result.Unknown, "%v", err)
	}
	return result.Failed(result.CodeUnknown, result.Unknown, "%v", err).WithRetryAfter(retryAfter)
}

func (p *Peer) exchange(ctx context.Context, method string, r request, sink runner.Sink, out any) ([]byte, error) {
	s, err := p.connect(ctx)
	if err != nil {
		return nil, &Error{Peer: p.address, Cause: err}
	}
	return s.exchange(ctx, method, r, sink, out)
}

// liveSession returns the session, nil if there is none or it has ended.
func (p *Peer) liveSession() *session {
	if p.session == nil || p.session.ended() {
		return nil
	}
	return p.session
}

// adopt uses a session that the other side opened, unless there is a live one.
func (p *Peer) adopt(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backOff = 0
	p.nextDial = time.Time{}
	if p.liveSession() == nil {
		p.session = s
	}
}

// connect returns a live session. Concurrent callers share one dial.
func (p *Peer) connect(ctx context.Context) (*session, error) {
	for {
		p.mu.Lock()
		if s := p.liveSession(); s != nil {
			p.mu.Unlock()
			return s, nil
		}
		dialing := p.dialing
		if dialing == nil {
			var err error
			if dialing, err = p.startDial(); err != nil {
				p.mu.Unlock()
				return nil, err
			}
		}
		p.mu.Unlock()
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// startDial dials in the background. During the back-off after a failure it
// returns that failure at once, so that callers can try another daemon.
func (p *Peer) startDial() (chan struct{}, error) {
	if time.Now().Before(p.nextDial) {
		return nil, errors.Wrap(p.dialErr, "not dialled again yet")
	}
	done := make(chan struct{})
	err := p.link.spawn(func(ctx context.Context) {
		s, err := p.dial(ctx)
		p.dialDone(s, err)
		close(done)
	})
	if err != nil {
		return nil, err
	}
	p.dialing, p.dialBegan = done, time.Now()
	return done, nil
}

// tryReplace dials another connection, unless a dial is running, since old is silent. The
// peer may only be slow: then old answers first and is kept.
func (p *Peer) tryReplace(old *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session != old || p.dialing != nil {
		return
	}
	_, _ = p.startDial() // a failure is tried again at the next check
}

func (p *Peer) dialDone(s *session, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	began := p.dialBegan
	p.dialing = nil
	if err == nil {
		if old := p.liveSession(); old != nil {
			if old.stream.lastRead.Load() >= began.UnixNano() {
				go s.close(errIdleClosed)
				return
			}
			p.link.Scope.Counter("link_silent").Inc(1)
			go old.close(ErrUnresponsive)
		}
		p.session = s
		p.backOff = 0
		p.nextDial = time.Time{}
		return
	}
	p.dialErr = err
	p.backOff = min(max(2*p.backOff, backOffFirst), p.link.BackOff)
	// Jitter spreads the dials of daemons that lost the same peer together.
	p.nextDial = time.Now().Add(p.backOff/2 + rand.N(p.backOff/2))
}

func (p *Peer) dial(ctx context.Context) (*session, error) {
	limited, stop := context.WithTimeout(ctx, dialTimeout)
	defer stop()
	conn, err := p.link.Dial(limited, p.address)
	if err != nil {
		return nil, err
	}
	s := &session{link: p.link, peer: p.address, stream: newStream(conn), dialled: true}
	if _, err := s.stream.handshake(limited, p.link.Key, p.link.Address, dialling); err != nil {
		p.link.countHandshake(err)
		_ = conn.Close()
		return nil, err
	}
	return s, s.start(ctx)
}
