package entry

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/disk/book"
	"github.com/slaterock/slaterock/internal/disk/quorum"
	"github.com/slaterock/slaterock/internal/front/asked"
	"github.com/slaterock/slaterock/internal/front/event"
	"github.com/slaterock/slaterock/internal/front/pick"
	"github.com/slaterock/slaterock/internal/front/upconn"
	"github.com/slaterock/slaterock/internal/obs/trace"
)

const (
	// settleTime bounds the record of what a turn spent, which no caller
	// waits for.
	settleTime = 4 * time.Second
	// maxResumes bounds how often a stream goes on after it broke off.
	maxResumes = 3
	streamRead = 16 << 10
)

// turn is a stream on its way, with what is kept of it.
type turn struct {
	*request
	chain    []byte // input for the upstream before the caller's own
	previous string // turn that this one continues, as the records know it
	prefer   string // id of the upstream that ran the turn before
	ranAt    string // id of the upstream that last ran one of the program's
	reserved bool
	begun    bool      // something of the program has run, or may have
	since    time.Time // when the first attempt of the program came
	output   []byte    // data of the events so far, if it is kept
	last     string    // id of the last event passed on
	started  bool      // the head has been passed on
	flush    func() error
}

// stream serves a request that is answered by events.
func (q *request) stream(ctx context.Context) {
	t := &turn{request: q, last: q.LastEvent, flush: http.NewResponseController(q.w).Flush}
	if t.full() || !t.prepare(ctx) || !t.allowed() || !t.admitted(ctx) {
		return
	}
	err := t.run(ctx)
	if err == nil {
		return
	}
	t.settle()
	if t.started {
		q.story.code, q.story.err = "broken_off", err
		// The connection is cut, so that what was passed on can't be taken for
		// a whole answer.
		panic(http.ErrAbortHandler)
	}
	q.fail(err)
}

// allowed asks for the turn's place within its account's limit. A new program leaves
// room to those that have begun.
func (t *turn) allowed() bool {
	if t.take(t.begun || !t.reserved) {
		return true
	}
	t.settle()
	return false
}

// prepare reads the chain that a turn continues, and has the program's budget
// bear the turn, before anything runs.
func (t *turn) prepare(ctx context.Context) bool {
	ctx, span := t.e.Trace.Start(ctx, trace.Records, "")
	defer func() { span.End(nil) }()
	chain := make(chan error, 1)
	go func() { chain <- t.readChain(ctx) }()
	if !t.reserve(ctx) {
		return false
	}
	err := <-chain
	t.story.recorded = time.Since(t.began)
	if err == nil {
		return true
	}
	t.settle()
	switch {
	case errors.Is(err, quorum.ErrNoTurn):
		t.refuse(http.StatusNotFound, "no_turn", err)
	case ctx.Err() != nil:
		t.giveUp(err)
	default:
		t.unavailable("records_away", retryRecords, err)
	}
	return false
}

func (t *turn) readChain(ctx context.Context) error {
	if !t.route.Keep || t.Previous == "" {
		return nil
	}
	t.previous = t.own(t.Previous)
	turns, err := t.e.Records.Read(ctx, t.own(t.Program), t.previous)
	if errors.Is(err, quorum.ErrNoTurn) && t.previous != t.Previous {
		t.previous = t.Previous // from before there were accounts
		turns, err = t.e.Records.Read(ctx, t.Program, t.previous)
	}
	if err != nil {
		return err
	}
	for _, before := range turns {
		t.chain = append(t.chain, before.Input...)
		t.chain = append(t.chain, before.Output...)
		t.prefer = before.Upstream
	}
	return nil
}

// most is how many tokens the turn may generate. Events count whole.
func (t *turn) most() int {
	n := max(t.service.EventTokens, 1)
	return (t.Output + n - 1) / n * n
}

func (t *turn) record() book.Record {
	return book.Record{
		Program: t.own(t.Program), Attempt: t.own(t.ID), At: t.began.UnixMilli(), Keep: t.route.KeepFor.Milliseconds(),
	}
}

// reserve makes the turn's most durable before anything is generated, so that
// no crash makes a program spend beyond its budget.
func (t *turn) reserve(ctx context.Context) bool {
	if !t.HasBudget || t.Program == "" {
		return true
	}
	rec := t.record()
	rec.Reserved, rec.Most = true, t.most()
	res, err := t.e.Records.Write(ctx, rec)
	t.reserved = true
	if err != nil {
		t.settle()
		if ctx.Err() != nil {
			t.giveUp(err)
			return false
		}
		t.unavailable("records_away", retryRecords, err)
		return false
	}
	t.begun = t.Previous != "" || book.Begun(res.Shares, rec.Attempt)
	t.since = book.Since(res.Shares, t.began)
	t.ranAt = book.LastRan(res.Shares, t.Session)
	if !book.Fits(res.Shares, t.Budget) {
		t.settle()
		t.refuse(http.StatusPaymentRequired, "budget_spent", nil)
		return false
	}
	return true
}

// settle records what the turn has spent, without waiting.
func (t *turn) settle() {
	if !t.reserved {
		return
	}
	t.reserved = false
	rec := t.record()
	rec.Settled, rec.Spent = true, t.story.tokens
	if t.story.events > 0 {
		rec.Upstream, rec.Session = t.story.upstream, t.Session
	}
	go func() {
		ctx, stop := context.WithTimeout(t.e.Stop, settleTime)
		defer stop()
		if _, err := t.e.Records.Write(ctx, rec); err != nil {
			t.e.Log.Warn().Err(err).Str("request", t.ID).Str("program", t.Program).Int("tokens", rec.Spent).
				Msg("what the turn spent was not recorded; its most counts")
		}
	}()
}

// priority is the account's, or else the route's.
func (t *turn) priority() int {
	if t.account.Ranked {
		return t.account.Priority
	}
	return t.route.Priority
}

// run sends the turn and passes the events on, resuming where that is allowed.
func (t *turn) run(ctx context.Context) error {
	body := t.body
	if len(t.chain) > 0 {
		body = slices.Concat(t.chain, t.body)
	}
	c := pick.Request{Key: t.key(), Prefer: cmp.Or(t.prefer, t.ranAt), Tokens: t.Prompt, Exclude: map[string]bool{}}
	o := asked.Order{Priority: min(t.priority(), 9), Ranked: true, LastEvent: t.last}
	for range maxResumes {
		s, err := t.dispatch(ctx, c, body, o)
		if c.Only != "" && err != nil && t.goneFrom(c.Only, err) {
			c.Only = ""
			s, err = t.dispatch(ctx, c, body, o)
		}
		if err != nil {
			return err
		}
		err = t.pass(ctx, s)
		t.e.done(s.up.ID)
		if err == nil || ctx.Err() != nil || !t.route.Resume {
			return err
		}
		// Going on at the same upstream uses what it has in memory. Others may
		// run it too only if the route allows that, or this one is gone.
		o.LastEvent = t.last
		c.Prefer = s.up.ID
		if t.route.Attempts == 1 {
			c.Only = s.up.ID
		}
		t.story.refusals += s.up.ID + ":resumed "
	}
	return errors.New("the stream broke off too often")
}

// goneFrom tells whether an upstream can't run the stream any more.
func (t *turn) goneFrom(id string, err error) bool {
	var no *refused
	if errors.As(err, &no) {
		return no.cause != causeFull
	}
	if !errors.Is(err, errNoUpstream) {
		return false
	}
	for _, u := range t.e.Fleet.View().Services[t.service.Name] {
		if u.ID == id {
			return false
		}
	}
	return true
}

// pass passes an answer on. A status that is no success has no events.
func (t *turn) pass(ctx context.Context, s *sent) error {
	if s.resp.StatusCode != http.StatusOK {
		body, err := upconn.ReadAll(s.resp.Body, maxAnswer)
		if err != nil || t.started {
			s.drop()
			return t.lose(ctx, s, errors.CombineErrors(errors.Newf("status %d", s.resp.StatusCode), err))
		}
		s.keep(t.e.Pool)
		if s.resp.StatusCode >= http.StatusInternalServerError {
			t.e.Picker.RecordFailure(time.Now(), s.up.ID) // or else it looks idle, and gets all turns
		}
		t.settle()
		t.give(s, body)
		return nil
	}
	t.story.ran = ranYes
	if !t.started {
		t.head(s.resp)
	}
	under := t.e.Picker.InFlight(s.up.ID)
	r := event.Reader{R: bufio.NewReaderSize(s.resp.Body, streamRead)}
	for {
		e, err := r.Next()
		if errors.Is(err, io.EOF) {
			t.learn(s, float64(under+t.e.Picker.InFlight(s.up.ID))/2)
			return t.end(ctx, s)
		}
		if err == nil {
			err = t.forward(e)
		}
		if err != nil {
			s.drop()
			if ctx.Err() == nil {
				t.e.Picker.RecordFailure(time.Now(), s.up.ID)
			}
			return errors.CombineErrors(err, ctx.Err())
		}
	}
}

func (t *turn) head(resp *http.Response) {
	t.started = true
	t.story.status = resp.StatusCode
	h := t.w.Header()
	for name, values := range t.e.Dialect.Return(resp.Header) {
		h[name] = values
	}
	t.w.WriteHeader(resp.StatusCode)
}

func (t *turn) forward(e event.Event) error {
	if t.story.events == 0 {
		t.story.first = time.Since(t.began)
	}
	t.story.events++
	t.story.tokens += max(t.service.EventTokens, 1)
	if t.route.Keep {
		t.output = append(append(t.output, e.Data...), '\n')
	}
	if e.ID != "" {
		t.last = e.ID
	}
	if _, err := t.w.Write(e.Raw); err != nil {
		return err
	}
	return t.flush()
}

// learn tells how the upstream did: by the time of an event, which hardly depends on
// what is asked. Turns is how many were under way there meanwhile.
func (t *turn) learn(s *sent, turns float64) {
	pace := 0.0
	if n := t.story.events - 1; n > 2 {
		each := (time.Since(t.began) - t.story.first) / time.Duration(n)
		pace = t.e.Baseline.Slowdown(t.route.Name, each.Seconds())
		t.e.Queue.Observe(t.service.Name, turns, each)
	}
	t.e.Picker.RecordOutcome(time.Now(), s.up.ID, pace, false)
}

// end records a whole stream. A turn that is kept must be durable before its
// caller can take the answer for whole, since the next turn will name it.
func (t *turn) end(ctx context.Context, s *sent) error {
	s.keep(t.e.Pool)
	if !t.route.Keep {
		t.settle()
		return nil
	}
	rec := t.record()
	rec.Settled, rec.Spent = t.reserved, t.story.tokens
	rec.Upstream, rec.Session = s.up.ID, t.Session
	rec.Turn = &book.Turn{Previous: t.previous, Input: t.body, Output: t.output, Upstream: s.up.ID, Tokens: t.story.tokens}
	if _, err := t.e.Records.Write(ctx, rec); err != nil {
		return errors.Wrap(err, "the turn was not recorded")
	}
	t.reserved = false
	return nil
}
