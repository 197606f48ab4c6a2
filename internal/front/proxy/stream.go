package proxy

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/front/event"
	"github.com/slaterock/slaterock/internal/front/memory"
	"github.com/slaterock/slaterock/internal/front/meta"
	"github.com/slaterock/slaterock/internal/front/pick"
	"github.com/slaterock/slaterock/internal/front/upconn"
)

const (
	// maxRuns is the maximum number of times that a stream is run: first, and again
	// after each interruption.
	maxRuns      = 3
	streamBuffer = 16 << 10
)

// errNotDelivered reports an event that the caller's connection did not take.
var errNotDelivered = errors.New("event was not delivered")

// turn is a streamed request in progress.
type turn struct {
	*request
	history          []byte    // input and output of earlier turns, sent before the caller's body
	previousID       string    // id in the records of the turn that this one continues
	needs            []string  // keys in the records of the other programs that have turns of the history
	previousUpstream string    // id of the upstream that ran that turn
	lastUpstream     string    // id of the upstream that last ran a turn of the program, of the same session if any
	reserved         bool      // tokens are reserved and not settled yet
	running          bool      // counted as in flight at engines
	programBegun     bool      // a turn of the program has run, or may have
	programStart     time.Time // arrival of the program's first attempt
	output           []byte    // data of the events so far, of earlier attempts too, if the route keeps turns
	lastEventID      string    // id of the last event sent to the caller
	headerSent       bool      // the response header was sent to the caller
	version          streamVersion
	parts            streamParts
	flush            func() error
}

// serveStream serves a request whose response is a stream of events.
func (q *request) serveStream(ctx context.Context) {
	t := &turn{request: q, lastEventID: q.LastEventID, flush: http.NewResponseController(q.w).Flush}
	q.onSend = t.versionChosen
	if t.limitReached() || !t.prepare(ctx) || !t.withinLimit(ctx) || !t.waitForRoom(ctx) {
		return
	}
	err := t.relayTurn(ctx)
	if err == nil {
		t.setUnfinished(false)
		return
	}
	t.settle()
	if t.headerSent {
		q.summary.code, q.summary.err = "broken_off", err
		// The connection is aborted, so that the caller cannot take the events
		// sent so far for a complete response.
		panic(http.ErrAbortHandler)
	}
	q.replyFailure(err)
}

// withinLimit takes the turn from its account's limit, for which it may wait. It returns false
// if the request has ended: an error response was sent, or the caller has disconnected.
func (t *turn) withinLimit(ctx context.Context) bool {
	if t.acquire(ctx, t.turnRequest(time.Now())) {
		return true
	}
	t.settle()
	return false
}

// priority returns the account's priority, or the route's if the account has none.
func (t *turn) priority() int {
	if t.account.HasPriority {
		return t.account.Priority
	}
	return t.route.Priority
}

// relayTurn sends the turn and relays the events, resuming an interrupted stream where
// the route allows it.
func (t *turn) relayTurn(ctx context.Context) error {
	body := t.body
	if len(t.history) > 0 {
		t.history = append(t.history, t.body...) // it has room for both
		body = t.history
	}
	c := pick.Request{
		Key: t.affinityKey(), Prefer: cmp.Or(t.previousUpstream, t.lastUpstream), Tokens: t.PromptTokens,
		Shared: t.SharedParts(t.service.Name), Exclude: map[string]bool{}, Version: t.version.name, HasVersion: t.version.known,
	}
	d := meta.Dispatch{Priority: min(t.priority(), maxPriority), HasPriority: true, LastEventID: t.lastEventID}
	defer t.endRunning()
	var last index.Start // upstream that ran it last
	for range maxRuns {
		t.beginRunning()
		s, err := t.dispatchRun(ctx, &c, last, body, d)
		if err != nil {
			err = t.noteLoss(ctx, err)
			t.noteStop(ctx, err)
			return err
		}
		t.noteParts(s, c.Shared)
		err = t.relay(ctx, s)
		t.endRunning()
		t.e.done(s.up.ID)
		if err == nil {
			return nil
		}
		if err = t.afterBreak(ctx, s, err); err != nil {
			return err
		}
		// Resuming at the same upstream reuses its cache. Others may run the turn
		// only if the route allows several attempts, or if this one is gone.
		d.LastEventID = t.lastEventID
		last = index.Start{ID: s.up.ID, Born: s.up.Born}
		c.Prefer = s.up.ID
		c.Version, c.HasVersion = s.up.Version, true
		if t.route.Attempts == 1 {
			c.Only = s.up.ID
		}
		t.summary.refusals += s.up.ID + ":resumed "
	}
	t.summary.runs.next(nextAttempts)
	return errors.New("stream was interrupted too often")
}

// dispatchRun sends the turn to the upstream that ran it last, if only that one may run it, or else to
// another one if that one can't. It changes c accordingly.
func (t *turn) dispatchRun(ctx context.Context, c *pick.Request, last index.Start, body []byte, d meta.Dispatch) (s *exchange, err error) {
	t.goesOn = t.version.known
	s, err = t.dispatch(ctx, *c, body, d)
	if c.Only != "" && err != nil && t.mayResumeElsewhere(last, err) {
		c.Only = ""
		s, err = t.dispatch(ctx, *c, body, d)
	}
	if c.HasVersion && !t.version.known && t.mayRunAnywhere(err) {
		c.HasVersion = false
		s, err = t.dispatch(ctx, *c, body, d)
	}
	return s, err
}

// afterBreak records a run that ended with err, and returns the error with which the turn ends, or
// nil if it goes on.
func (t *turn) afterBreak(ctx context.Context, s *exchange, err error) error {
	var stop error
	if s.brokeOff {
		stop = t.noteEnd(ctx, &s.up)
	} else {
		t.noteTried(&s.up)
	}
	switch {
	case errors.Is(err, errVersionNotRecorded):
		t.summary.runs.next(nextUnrecorded)
		return err
	case t.over(ctx) || errors.Is(err, errNotDelivered):
		t.recordDoubt() // the caller may be back at another front
		t.summary.runs.next(nextOver)
		return err
	case stop != nil:
		t.summary.runs.next(nextEnded)
		return stop
	case !t.route.Resume:
		t.summary.runs.next(nextNotAllowed)
		return err
	}
	if unknown := t.confirmVersion(ctx); unknown != nil {
		_ = t.waitFor(ctx, t.recordDoubt()) // without it, what is recorded holds
		t.summary.runs.next(nextUnknown)
		return unknown
	}
	t.summary.runs.next(nextResume)
	return nil
}

// mayRunAnywhere reports whether a stream that no upstream of the version of its response's header has
// run may run at another version: none of its events was sent.
func (t *turn) mayRunAnywhere(err error) bool {
	var refusal *notRunError
	return errors.Is(err, errNoUpstream) || errors.As(err, &refusal)
}

// noteStop notes for the log why a turn ends without a response.
func (t *turn) noteStop(ctx context.Context, err error) {
	var loss *lostError
	switch {
	case ctx.Err() != nil, errors.Is(err, context.DeadlineExceeded):
		t.summary.runs.next(nextOver)
	case errors.Is(err, errUpstreamsEnded):
		t.summary.runs.next(nextEnded)
	case errors.Is(err, errNoUpstream) && t.version.known:
		t.summary.runs.next(nextVersion)
	case errors.As(err, &loss):
		t.summary.runs.next(nextNotAllowed)
	}
}

// mayResumeElsewhere reports whether another upstream may resume the turn: the one that ran
// it refused for another reason than being full, is no longer listed, or has started again.
func (t *turn) mayResumeElsewhere(last index.Start, err error) bool {
	var refusal *notRunError
	if errors.As(err, &refusal) {
		return refusal.cause != causeFull
	}
	return errors.Is(err, errNoUpstream) && !t.listed(last)
}

// relay relays a response to the caller. A status other than 200 carries no events: the
// response is returned as a whole, or is an error if the stream has already started.
func (t *turn) relay(ctx context.Context, s *exchange) error {
	if s.resp.StatusCode != http.StatusOK {
		var body []byte
		var err error
		if t.headerSent {
			err = upconn.Discard(s.resp.Body, maxResponse)
		} else {
			body, err = t.readResponse(ctx, s.resp)
		}
		if err != nil || t.headerSent {
			t.endWithoutResponse(s, err)
			return t.recordLoss(ctx, s, statusLoss(s.resp.StatusCode, err))
		}
		s.releaseConn(t.e.Pool)
		if s.resp.StatusCode >= http.StatusInternalServerError {
			t.e.Picker.RecordFailure(time.Now(), s.up.ID) // otherwise it would look idle and attract all turns
			t.recordTried(ctx, &s.up)
		}
		t.settle()
		t.writeResponse(s, body)
		return nil
	}
	t.summary.ran = ranYes
	if !t.headerSent {
		t.writeHeader(s.resp)
	}
	under := t.e.Picker.InFlight(s.up.ID)
	var pace streamPace
	r := event.Reader{
		R:    bufio.NewReaderSize(s.resp.Body, streamBuffer),
		Take: func(n int64) error { return t.conn.TakeResponse(ctx, n) }, Return: t.conn.GiveResponse,
	}
	defer r.Close()
	for {
		e, err := r.Next()
		if errors.Is(err, io.EOF) {
			pace.end(t)
			t.summary.runs.end(endAnswered)
			t.observe(s, float64(under+t.e.Picker.InFlight(s.up.ID))/2)
			return t.complete(ctx, s)
		}
		if err == nil {
			pace.event(t, s)
			err = t.fixVersion(ctx, s)
		}
		if err == nil {
			err = t.relayEvent(ctx, e)
		}
		if err != nil {
			err = s.conn.Cause(err)
			s.fail(err)
			t.summary.runs.fail(err)
			t.countFault(err)
			if s.brokeOff && !t.over(ctx) {
				t.summary.runs.end(endInterrupted)
				t.e.Picker.RecordFailure(time.Now(), s.up.ID)
			}
			return errors.CombineErrors(err, ctx.Err())
		}
	}
}

// statusLoss returns the error of a response that can't be passed on; err is as for endWithoutResponse.
func statusLoss(status int, err error) error {
	if err == nil {
		return errors.Newf("upstream returned status %d", status)
	}
	return errors.Wrapf(err, "upstream returned status %d", status)
}

// endWithoutResponse ends an exchange whose response can't be passed on: err is why it is not whole,
// nil if only its status does not fit.
func (t *turn) endWithoutResponse(s *exchange, err error) {
	if err != nil {
		s.fail(err)
		return
	}
	s.closeConn()
}

// setUnfinished has a caller of HTTP/1.0 tell a part of the stream from the whole, which ends with its connection.
func (t *turn) setUnfinished(unfinished bool) {
	if !t.r.ProtoAtLeast(1, 1) {
		t.conn.SetUnfinished(unfinished)
	}
}

func (t *turn) writeHeader(resp *http.Response) {
	t.headerSent = true
	t.setUnfinished(true)
	t.summary.status = resp.StatusCode
	h := t.w.Header()
	for name, values := range t.e.Dialect.Return(resp.Header) {
		h[name] = values
	}
	t.w.WriteHeader(resp.StatusCode)
}

func (t *turn) relayEvent(ctx context.Context, e event.Event) error {
	if t.summary.events == 0 {
		t.summary.firstOutput = time.Since(t.began)
	}
	t.summary.events++
	t.summary.tokens += max(t.service.EventTokens, 1)
	if t.route.StoreTurns {
		if err := t.mayStore(ctx, len(t.output)+len(e.Data)+1); err != nil {
			return err
		}
		t.output = append(append(t.output, e.Data...), '\n')
		t.recordPart(ctx, e)
	}
	if e.ID != "" {
		t.lastEventID = e.ID
	}
	if _, err := t.w.Write(e.Raw); err != nil {
		return errors.Mark(err, errNotDelivered)
	}
	return errors.Mark(t.flush(), errNotDelivered)
}

// mayStore returns an error if n bytes of output may not be held until the turn is stored.
func (t *turn) mayStore(ctx context.Context, n int) error {
	switch {
	case n > maxResponse:
		return upconn.ErrBodyTooLong
	case n <= memory.Short || t.held > 0:
		return nil
	}
	if err := t.takeBuffer(ctx); err != nil {
		return err
	}
	n = copy(t.buffer[:cap(t.buffer)], t.output)
	t.output = t.buffer[:n]
	return nil
}

// takeOutput returns the output to be recorded, which may go on after the request.
func (t *turn) takeOutput() []byte {
	if t.buffer == nil {
		return t.output
	}
	if len(t.output) < maxResponse/2 {
		return bytes.Clone(t.output)
	}
	t.buffer = nil // the record has it
	return t.output
}

// observe records the mean time per event of the attempt, from its first event on, for the
// upstream that completed it. That time hardly depends on the prompt. Streams of fewer than
// four events give none. Turns is the mean number of turns in progress at the upstream.
func (t *turn) observe(s *exchange, turns float64) {
	pace := 0.0
	if n := t.summary.events - 1; n > 2 {
		eventTime := (time.Since(t.began) - t.summary.firstOutput) / time.Duration(n)
		pace = t.e.Baseline.Slowdown(t.route.Name, eventTime.Seconds())
		t.e.Queue.Observe(t.service.Name, turns, eventTime)
	}
	t.e.Picker.RecordOutcome(time.Now(), s.up.ID, pace, false)
}
