package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"

	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/meta"
	"github.com/slaterock/slaterock/internal/front/pick"
	"github.com/slaterock/slaterock/internal/front/upconn"
	"github.com/slaterock/slaterock/internal/obs/trace"
	"github.com/slaterock/slaterock/internal/peer/pause"
)

const (
	// maxRefusals bounds how many upstreams are asked that refuse without
	// running the request. Each costs a round trip of the caller's time.
	maxRefusals = 5
	// fullPause is kept before the one upstream that may run a request is asked
	// again: about the time in which one of its places frees.
	fullRetryDelay = 60 * time.Millisecond
	// causeFull is the cause of a refusal that is over soon.
	causeFull = "full"
	// maxAnswer bounds the body of a plain answer, in bytes.
	maxResponse = 16 << 20
)

type (
	// sent is a request that an upstream has begun to answer.
	exchange struct {
		up    fleet.Upstream
		conn  *upconn.Conn
		resp  *http.Response
		info  meta.ResponseInfo
		began time.Time
		stop  func() bool // ends the watch over the caller's context
	}

	// refused is an upstream that did not run the request and never will.
	refusedError struct {
		up    fleet.Upstream
		cause string
		err   error
	}

	// lost is a request that may have run, without an answer.
	lostError struct {
		up     fleet.Upstream
		reused bool
		err    error
	}
)

func (e *refusedError) Error() string { return "not run by " + e.up.ID + ": " + e.cause }
func (e *refusedError) Unwrap() error { return e.err }
func (e *lostError) Error() string    { return "no answer from " + e.up.ID }
func (e *lostError) Unwrap() error    { return e.err }

var (
	errNoUpstream   = errors.New("no upstream takes requests")
	errWrongRequest = errors.New("answer to another request")
)

// dispatch sends the request to upstreams until one takes it. After *refused or
// errNoUpstream the request has not run; after *lost it may have.
func (q *request) dispatch(ctx context.Context, c pick.Case, body []byte, d meta.Dispatch) (*exchange, error) {
	lastErr := errNoUpstream
	for range maxRefusals {
		// The caller's own context is asked too: some runs go on when their
		// caller leaves, but none may begin then.
		if err := errors.CombineErrors(ctx.Err(), q.r.Context().Err()); err != nil {
			return nil, err
		}
		if err := q.checkKey(); err != nil {
			return nil, err
		}
		view := q.e.Fleet.View()
		c.List = view.Services[q.service.Name]
		up, ok := q.e.Picker.Choose(time.Now(), c)
		if !ok {
			return nil, lastErr
		}
		q.summary.missing = view.Missing(up.ID)
		s, err := q.send(ctx, up, body, d)
		if err == nil {
			return s, nil
		}
		q.e.done(up.ID)
		var refusal *refusedError
		if !errors.As(err, &refusal) {
			return nil, err
		}
		lastErr = err
		q.summary.refusals += up.ID + ":" + refusal.cause + " "
		if c.Only != "" {
			if refusal.cause != causeFull || !pause.For(ctx, fullRetryDelay) {
				return nil, lastErr
			}
			continue
		}
		if c.Exclude == nil {
			c.Exclude = map[string]bool{}
		}
		c.Exclude[up.ID] = true
	}
	return nil, lastErr
}

// send sends the request to one upstream and waits for its answer's head.
func (q *request) send(ctx context.Context, up fleet.Upstream, body []byte, d meta.Dispatch) (s *exchange, err error) {
	q.summary.sends++
	ctx, span := q.e.Trace.Start(ctx, trace.Upstream, "", attribute.String("upstream", up.ID))
	defer func() { span.End(err) }()
	conn, err := q.e.Pool.Get(ctx, up.ID, up.Address)
	if err != nil {
		if ctx.Err() == nil {
			q.e.Picker.Failed(time.Now(), up.ID)
		}
		return nil, &refusedError{up: up, cause: "unreachable", err: err}
	}
	s = &exchange{up: up, conn: conn, began: time.Now()}
	if err = conn.Deadline(q.deadline); err != nil {
		conn.Close()
		return nil, &refusedError{up: up, cause: "closed", err: err}
	}
	s.stop = context.AfterFunc(ctx, conn.Interrupt)
	d.Instance, d.Account = up.ID, q.account.Name
	q.countSend()
	d.Timeout = time.Until(q.deadline)
	err = conn.Send(upconn.Request{
		Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host, Header: q.e.Dialect.Forward(q.r.Header, d), Body: body,
	})
	if err == nil {
		q.summary.upstream = up.ID
		s.resp, err = conn.Receive(q.r.Method) //nolint:bodyclose // ends with its connection: drop or keep
	}
	if err != nil {
		s.closeConn()
		if !conn.Sent() {
			q.uncountSend()
			return nil, &refusedError{up: up, cause: "closed", err: err}
		}
		return nil, q.recordLoss(ctx, s, err)
	}
	s.info = q.e.Dialect.ResponseInfo(s.resp.StatusCode, s.resp.Header)
	if s.info.NotRun {
		q.uncountSend()
		return nil, q.handleNotRun(s)
	}
	if s.info.Request != q.ID {
		s.closeConn()
		return nil, q.recordLoss(ctx, s, errWrongRequest)
	}
	return s, nil
}

// lose notes a request that may have run. An upstream is blamed only if it was
// not us who gave up.
func (q *request) recordLoss(ctx context.Context, s *exchange, err error) error {
	q.summary.ran = ranUnknown
	if ctx.Err() != nil {
		return errors.CombineErrors(ctx.Err(), err)
	}
	if !time.Now().Before(q.deadline) {
		return errors.CombineErrors(context.DeadlineExceeded, err) // the connection's own deadline came first
	}
	q.e.Picker.Failed(time.Now(), s.up.ID)
	return &lostError{up: s.up, reused: s.conn.Reused, err: err}
}

// notRun ends a send that the upstream refused without running it.
func (q *request) handleNotRun(s *exchange) error {
	cause := causeFull
	if s.resp.StatusCode == http.StatusMisdirectedRequest {
		cause = "other_instance"
		q.e.Picker.Failed(time.Now(), s.up.ID)
	} else {
		q.e.Picker.Full(time.Now(), s.up.ID)
	}
	if _, err := upconn.ReadAll(s.resp.Body, maxResponse); err != nil {
		s.closeConn()
	} else {
		s.releaseConn(q.e.Pool)
	}
	return &refusedError{up: s.up, cause: cause}
}

// drop closes the connection. An upstream that still works on the request
// notices that.
func (s *exchange) closeConn() {
	s.stop()
	s.conn.Close()
}

// keep returns the connection after the whole answer was read. One whose break
// has begun can't be used again.
func (s *exchange) releaseConn(p *upconn.Pool) {
	if !s.stop() || s.info.Closing || s.resp.Close {
		s.conn.Close()
		return
	}
	p.Put(s.conn, s.info.IdleTime)
}
