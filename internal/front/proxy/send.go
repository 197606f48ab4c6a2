package proxy

import (
	"cmp"
	"context"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"

	"github.com/slaterock/slaterock/internal/front/event"
	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/memory"
	"github.com/slaterock/slaterock/internal/front/meta"
	"github.com/slaterock/slaterock/internal/front/pick"
	"github.com/slaterock/slaterock/internal/front/upconn"
	"github.com/slaterock/slaterock/internal/obs/trace"
	"github.com/slaterock/slaterock/internal/peer/pause"
	"github.com/slaterock/slaterock/internal/plat/duplex"
	"github.com/slaterock/slaterock/internal/plat/head"
)

const (
	// maxRefusals is how many sends are tried while upstreams refuse without running
	// the request. Each costs the caller a round trip.
	maxRefusals = 5
	// fullRetryDelay is the delay before a request that only one upstream may run is
	// sent to it again: about the time until one of its places becomes free.
	fullRetryDelay = 60 * time.Millisecond
	// refusalBodyWait is how long the body of a refusal may take, whose header has stated all. Longer, and
	// its connection is closed: the request is to be sent on.
	refusalBodyWait = 50 * time.Millisecond
	// causeFull is the cause of a refusal by an upstream without a free place, which
	// is temporary.
	causeFull = "full"
	// causeUnreachable is the cause if no connection could be established.
	causeUnreachable = "unreachable"
	// maxResponse bounds the body of a response that is not a stream, and the output of a turn that is
	// stored, in bytes.
	maxResponse = memory.Longest
)

type (
	// exchange is one send of a request to an upstream, with its response.
	exchange struct {
		up              fleet.Upstream
		conn            *upconn.Conn
		resp            *http.Response
		info            meta.ResponseInfo
		began           time.Time
		cancelInterrupt func() bool   // cancels the interruption of conn when the context is done
		brokeOff        bool          // the upstream broke the run off
		foreign         int           // responses to other requests that came first
		headTime        time.Duration // from the send to the header of the last response; 0 for none
		startKnown      bool          // see startKnown of request; as of the send
	}

	// notRunError reports that an upstream did not run the request and never will.
	notRunError struct {
		up    fleet.Upstream
		cause string
		err   error
	}

	// lostError reports a request that may have run, without a complete response.
	lostError struct {
		up     fleet.Upstream
		reused bool // the connection had carried a request before
		err    error
	}
)

func (e *notRunError) Error() string { return "not run by " + e.up.ID + ": " + e.cause }
func (e *notRunError) Unwrap() error { return e.err }
func (e *lostError) Error() string   { return "no answer from " + e.up.ID }
func (e *lostError) Unwrap() error   { return e.err }

var errNoUpstream = errors.New("no upstream accepts requests")

// dispatch sends the request to upstreams until one accepts it. A *notRunError,
// errNoUpstream or errUnknownKey means that no upstream ran the request in this call. After
// a *lostError or an error of the context, one may have.
func (q *request) dispatch(ctx context.Context, c pick.Request, body []byte, d meta.Dispatch) (*exchange, error) {
	lastErr := errNoUpstream
	for range maxRefusals {
		// Unsafe requests continue after their caller disconnects, but none may start
		// then, so the caller's own context is checked too.
		if err := errors.CombineErrors(ctx.Err(), q.r.Context().Err()); err != nil {
			return nil, err
		}
		if err := q.checkKey(); err != nil {
			return nil, err
		}
		if err := q.announce(ctx); err != nil {
			return nil, err
		}
		if !q.seen.MayRun(q.listed) {
			return nil, errUpstreamsEnded
		}
		view := q.e.Fleet.View()
		c.Candidates = view.Services[q.service.Name]
		c.Among, c.Confined = q.confined()
		up, ok := q.e.Picker.Choose(time.Now(), c)
		if !ok {
			q.summary.runs.next(nextNoUpstream)
			return nil, lastErr
		}
		q.summary.missing, q.summary.factor = view.Missing(up.ID), q.e.factor(&up)
		q.lastTry = len(c.Exclude)+1 >= q.route.Attempts
		s, err := q.send(ctx, up, body, d, c.Only != "")
		if err == nil {
			return s, nil
		}
		q.e.done(up.ID)
		var refusal *notRunError
		if !errors.As(err, &refusal) {
			return nil, err
		}
		lastErr = err
		q.summary.refusals += up.ID + ":" + refusal.cause + " "
		q.summary.runs.end(refusal.cause)
		q.summary.runs.next(nextNotRun)
		if refusal.cause == causeUnreachable {
			q.noteUnreachable(&up)
		}
		if c.Only != "" {
			if refusal.cause != causeFull || !pause.For(ctx, fullRetryDelay) {
				q.summary.runs.next(nextNoUpstream)
				return nil, lastErr
			}
			continue
		}
		if c.Exclude == nil {
			c.Exclude = map[string]bool{}
		}
		c.Exclude[up.ID] = true
	}
	q.summary.runs.next(nextAttempts)
	return nil, lastErr
}

// send sends the request to one upstream and reads the header of the response. Repeats tells that the
// request may be sent to the upstream again after a refusal.
func (q *request) send(ctx context.Context, up fleet.Upstream, body []byte, d meta.Dispatch, repeats bool) (s *exchange, err error) {
	q.summary.sends++
	q.summary.runs.begin(&up)
	ctx, span := q.e.Trace.Start(ctx, trace.Upstream, "", attribute.String("upstream", up.ID))
	defer func() { span.End(err) }()
	q.releaseWitness()
	conn, err := q.connect(ctx, &up)
	if err != nil {
		if ctx.Err() == nil {
			q.e.Picker.RecordFailure(time.Now(), up.ID)
		}
		return nil, &notRunError{up: up, cause: causeUnreachable, err: err}
	}
	conn, cause, err := q.proveStart(ctx, conn, &up)
	if err != nil {
		return nil, &notRunError{up: up, cause: causeUnreachable, err: err}
	}
	if cause == "" {
		cause = q.startDiffers(ctx, conn, &up)
	}
	if cause != "" {
		q.e.Pool.PutBack(conn)
		return nil, &notRunError{up: up, cause: cause}
	}
	if err = q.takeWitness(ctx, &up); err != nil {
		conn.Close()
		return nil, &notRunError{up: up, cause: causeUnreachable, err: err}
	}
	q.summary.runs.sent(q.identify(conn, &up), q.e.Pool.Opened())
	s = &exchange{up: up, conn: conn, began: time.Now(), startKnown: q.startKnown(conn, &up)}
	if q.onSend != nil {
		q.onSend(s)
	}
	if err = conn.Deadline(q.deadline); err != nil {
		conn.Close()
		return nil, &notRunError{up: up, cause: "closed", err: err}
	}
	s.cancelInterrupt = context.AfterFunc(ctx, conn.Interrupt)
	d.Instance, d.Account = up.ID, q.account.Name
	q.countSend()
	d.Timeout = time.Until(q.deadline)
	err = conn.Send(upconn.Request{
		Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host, Header: q.e.Dialect.Forward(q.r.Header, d), Body: body,
	})
	if err == nil {
		q.summary.upstream = up.ID
		err = q.receive(s)
	}
	q.summary.runs.rest(s.evidence(q.ID))
	if err != nil {
		s.fail(err)
		if !conn.Sent() {
			q.uncountSend()
			return nil, &notRunError{up: up, cause: "closed", err: err}
		}
		return nil, q.recordLoss(ctx, s, err)
	}
	if s.info.NotRun {
		q.uncountSend()
		return nil, q.handleNotRun(s, repeats)
	}
	q.e.Pool.NoteAnswer(conn, s.began)
	return s, nil
}

// evidence returns what is known of the send of the request with this id when the header of its response has
// come or it has failed.
func (s *exchange) evidence(id string) evidence {
	e := evidence{
		connected: true, reused: s.conn.Reused, connAge: s.began.Sub(s.conn.Opened), startKnown: s.startKnown,
		partlyWritten: !s.conn.Written(),
	}
	if s.resp == nil || s.info.Request != id {
		return e
	}
	e.status, e.headTime, e.notRunHeader = s.resp.StatusCode, s.headTime, s.info.NotRunHeader
	if n := s.resp.ContentLength; n >= 0 {
		e.unread = max(0, s.conn.Unread()-int(n))
	}
	return e
}

// recordLoss records that the request may have run, and returns the error. The upstream
// counts as failed unless the context was done or the deadline had passed.
func (q *request) recordLoss(ctx context.Context, s *exchange, err error) error {
	err = s.conn.Cause(err)
	q.summary.ran = ranUnknown
	q.summary.runs.fail(err)
	q.countFault(err)
	if q.over(ctx) {
		if s.brokeOff {
			_ = q.noteEnd(ctx, &s.up) // it is not sent on anyway
			s.brokeOff = false        // noted
		} else {
			q.noteTried(&s.up)
		}
		return errors.CombineErrors(cmp.Or(ctx.Err(), context.DeadlineExceeded), err)
	}
	q.summary.runs.end(endLost)
	q.e.Picker.RecordFailure(time.Now(), s.up.ID)
	return &lostError{up: s.up, reused: s.conn.Reused, err: err}
}

// countFault counts a response that was broken, longer than a bound, or whose connection has failed.
func (q *request) countFault(err error) {
	var broken *head.Error
	if errors.As(err, &broken) {
		q.e.Scope.Tagged(map[string]string{"part": string(broken.Part)}).Counter("responses_broken").Inc(1)
		return
	}
	if during := whenReset(err); during != "" {
		q.e.Scope.Tagged(map[string]string{"during": during}).Counter("responses_reset").Inc(1)
		return
	}
	bound := ""
	switch {
	case errors.Is(err, upconn.ErrHeadTooLong):
		bound = "head"
	case errors.Is(err, upconn.ErrBodyTooLong):
		bound = "body"
	case errors.Is(err, event.ErrTooLong):
		bound = "event"
	default:
		return
	}
	q.e.Scope.Tagged(map[string]string{"bound": bound}).Counter("responses_too_long").Inc(1)
}

// whenReset returns what the front was doing when a connection was reset, or when too long nothing had been acknowledged over it;
// empty if that is not what err reports.
func whenReset(err error) (during string) {
	switch {
	case errors.Is(err, duplex.ErrReset):
		return "write"
	case errors.IsAny(err, syscall.ECONNRESET, syscall.ETIMEDOUT):
		return "read"
	default:
		return ""
	}
}

// handleNotRun ends a send that the upstream refused without running it. If the request may be sent to it
// again, the connection is closed: a second copy of this refusal would bear the id of that send, too.
func (q *request) handleNotRun(s *exchange, repeats bool) error {
	cause := causeFull
	if s.resp.StatusCode == http.StatusMisdirectedRequest {
		cause = "other_instance"
		q.e.Picker.RecordFailure(time.Now(), s.up.ID)
	} else {
		q.e.Picker.RecordFull(time.Now(), s.up.ID)
	}
	if repeats || !s.discardRefusal() {
		s.closeConn()
	} else {
		s.releaseConn(q.e.Pool)
	}
	return &notRunError{up: s.up, cause: cause}
}

// discardRefusal reads the body of a refusal, and reports whether all of it came at once.
func (s *exchange) discardRefusal() bool {
	giveUp := time.AfterFunc(refusalBodyWait, s.conn.Interrupt)
	err := upconn.Discard(s.resp.Body, memory.Short)
	return giveUp.Stop() && err == nil
}

// fail closes the connection after a run has failed, and determines whether the upstream broke it
// off. If the caller left or the time is up, the connection was interrupted here, but may have been
// closed by the upstream before.
func (s *exchange) fail(err error) {
	s.cancelInterrupt()
	ours := errors.IsAny(err, os.ErrDeadlineExceeded, errNotDelivered, errVersionNotRecorded, memory.ErrNone)
	s.brokeOff = !ours || s.conn.ClosedByPeer()
	s.conn.Close()
}

// closeConn closes the connection, by which an upstream that still runs the request
// learns that it was abandoned.
func (s *exchange) closeConn() {
	s.cancelInterrupt()
	s.conn.Close()
}

// releaseConn returns the connection to the pool after the whole response was read. One that is
// being interrupted is closed, as it cannot be used again, and so is one over which responses to other
// requests came, and one of a HEAD request: a late copy of its response could not be told from one with a body.
func (s *exchange) releaseConn(p *upconn.Pool) {
	if !s.cancelInterrupt() || s.info.Closing || s.resp.Close || s.foreign > 0 || s.resp.Request.Method == http.MethodHead {
		s.conn.Close()
		return
	}
	p.Put(s.conn, s.info.IdleTime)
}
