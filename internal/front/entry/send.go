package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"

	"github.com/slaterock/slaterock/internal/front/asked"
	"github.com/slaterock/slaterock/internal/front/fleet"
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
	fullPause = 60 * time.Millisecond
	// causeFull is the cause of a refusal that is over soon.
	causeFull = "full"
	// maxAnswer bounds the body of a plain answer, in bytes.
	maxAnswer = 16 << 20
)

type (
	// sent is a request that an upstream has begun to answer.
	sent struct {
		up      fleet.Upstream
		conn    *upconn.Conn
		resp    *http.Response
		verdict asked.Verdict
		began   time.Time
		stop    func() bool // ends the watch over the caller's context
	}

	// refused is an upstream that did not run the request and never will.
	refused struct {
		up    fleet.Upstream
		cause string
		err   error
	}

	// lost is a request that may have run, without an answer.
	lost struct {
		up     fleet.Upstream
		reused bool
		err    error
	}
)

func (e *refused) Error() string { return "not run by " + e.up.ID + ": " + e.cause }
func (e *refused) Unwrap() error { return e.err }
func (e *lost) Error() string    { return "no answer from " + e.up.ID }
func (e *lost) Unwrap() error    { return e.err }

var (
	errNoUpstream = errors.New("no upstream takes requests")
	errForeign    = errors.New("answer to another request")
)

// dispatch sends the request to upstreams until one takes it. After *refused or
// errNoUpstream the request has not run; after *lost it may have.
func (q *request) dispatch(ctx context.Context, c pick.Request, body []byte, o asked.Order) (*sent, error) {
	last := errNoUpstream
	for range maxRefusals {
		// The caller's own context is asked too: some runs go on when their
		// caller leaves, but none may begin then.
		if err := errors.CombineErrors(ctx.Err(), q.r.Context().Err()); err != nil {
			return nil, err
		}
		if err := q.still(); err != nil {
			return nil, err
		}
		known := q.e.Fleet.View()
		c.Candidates = known.Services[q.service.Name]
		up, ok := q.e.Picker.Choose(time.Now(), c)
		if !ok {
			return nil, last
		}
		q.story.missing = known.Missing(up.ID)
		s, err := q.send(ctx, up, body, o)
		if err == nil {
			return s, nil
		}
		q.e.done(up.ID)
		var no *refused
		if !errors.As(err, &no) {
			return nil, err
		}
		last = err
		q.story.refusals += up.ID + ":" + no.cause + " "
		if c.Only != "" {
			if no.cause != causeFull || !pause.For(ctx, fullPause) {
				return nil, last
			}
			continue
		}
		if c.Exclude == nil {
			c.Exclude = map[string]bool{}
		}
		c.Exclude[up.ID] = true
	}
	return nil, last
}

// send sends the request to one upstream and waits for its answer's head.
func (q *request) send(ctx context.Context, up fleet.Upstream, body []byte, o asked.Order) (s *sent, err error) {
	q.story.sends++
	ctx, span := q.e.Trace.Start(ctx, trace.Upstream, "", attribute.String("upstream", up.ID))
	defer func() { span.End(err) }()
	conn, err := q.e.Pool.Take(ctx, up.ID, up.Address)
	if err != nil {
		if ctx.Err() == nil {
			q.e.Picker.RecordFailure(time.Now(), up.ID)
		}
		return nil, &refused{up: up, cause: "unreachable", err: err}
	}
	s = &sent{up: up, conn: conn, began: time.Now()}
	if err = conn.Deadline(q.deadline); err != nil {
		conn.Close()
		return nil, &refused{up: up, cause: "closed", err: err}
	}
	s.stop = context.AfterFunc(ctx, conn.Break)
	o.Instance, o.Account = up.ID, q.account.Name
	q.use()
	o.Left = time.Until(q.deadline)
	err = conn.Send(upconn.Request{
		Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host, Header: q.e.Dialect.Forward(q.r.Header, o), Body: body,
	})
	if err == nil {
		q.story.upstream = up.ID
		s.resp, err = conn.Receive(q.r.Method) //nolint:bodyclose // ends with its connection: drop or keep
	}
	if err != nil {
		s.drop()
		if !conn.Sent() {
			q.unuse()
			return nil, &refused{up: up, cause: "closed", err: err}
		}
		return nil, q.lose(ctx, s, err)
	}
	s.verdict = q.e.Dialect.Verdict(s.resp.StatusCode, s.resp.Header)
	if s.verdict.NotRun {
		q.unuse()
		return nil, q.notRun(s)
	}
	if s.verdict.Request != q.ID {
		s.drop()
		return nil, q.lose(ctx, s, errForeign)
	}
	return s, nil
}

// lose notes a request that may have run. An upstream is blamed only if it was
// not us who gave up.
func (q *request) lose(ctx context.Context, s *sent, err error) error {
	q.story.ran = ranUnknown
	if ctx.Err() != nil {
		return errors.CombineErrors(ctx.Err(), err)
	}
	if !time.Now().Before(q.deadline) {
		return errors.CombineErrors(context.DeadlineExceeded, err) // the connection's own deadline came first
	}
	q.e.Picker.RecordFailure(time.Now(), s.up.ID)
	return &lost{up: s.up, reused: s.conn.Reused, err: err}
}

// notRun ends a send that the upstream refused without running it.
func (q *request) notRun(s *sent) error {
	cause := causeFull
	if s.resp.StatusCode == http.StatusMisdirectedRequest {
		cause = "other_instance"
		q.e.Picker.RecordFailure(time.Now(), s.up.ID)
	} else {
		q.e.Picker.RecordFull(time.Now(), s.up.ID)
	}
	if _, err := upconn.ReadAll(s.resp.Body, maxAnswer); err != nil {
		s.drop()
	} else {
		s.keep(q.e.Pool)
	}
	return &refused{up: s.up, cause: cause}
}

// drop closes the connection. An upstream that still works on the request
// notices that.
func (s *sent) drop() {
	s.stop()
	s.conn.Close()
}

// keep returns the connection after the whole answer was read. One whose break
// has begun can't be used again.
func (s *sent) keep(p *upconn.Pool) {
	if !s.stop() || s.verdict.Leaving || s.resp.Close {
		s.conn.Close()
		return
	}
	p.Keep(s.conn, s.verdict.IdleTime)
}
