package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/disk/quorum"
	"github.com/slaterock/slaterock/internal/front/memory"
	"github.com/slaterock/slaterock/internal/obs/trace"
)

const (
	// settleTimeout bounds the write that settles a reservation, for which no caller
	// waits.
	settleTimeout = 4 * time.Second
	// claimAfter is how long an attempt may last before the turns that it continues could expire. The other
	// half of the slack is for the differences of clocks.
	claimAfter = index.ClockSlack / 2
)

// prepare reads the history that the turn continues and reserves its tokens in the
// program's budget, before anything runs. It returns false if the request has ended: an
// error response was sent, or the caller has disconnected.
func (t *turn) prepare(ctx context.Context) bool {
	ctx, span := t.e.Trace.Start(ctx, trace.Records, "")
	defer func() { span.End(nil) }()
	readErr := make(chan error, 1)
	go func() { readErr <- t.readHistory(ctx) }()
	if !t.reserve(ctx) {
		return false
	}
	err := <-readErr
	t.summary.recordsTime = time.Since(t.began)
	if err == nil {
		t.claim()
		return true
	}
	t.settle()
	switch {
	case errors.Is(err, quorum.ErrNoTurn):
		t.replyError(http.StatusNotFound, "no_turn", err)
	case ctx.Err() != nil:
		t.replyExpired(err)
	default:
		t.replyNoRecords(err)
	}
	return false
}

// replyNoRecords refuses a turn whose records can't be read or written: too few replicas
// answer, or they have too much to do.
func (t *turn) replyNoRecords(err error) {
	switch {
	case errors.Is(err, memory.ErrNone):
		t.replyUnavailable("no_room", retryNoRoom, err)
		return
	case errors.Is(err, quorum.ErrOverloaded):
		t.replyUnavailable("records_busy", retryRecordsBusy, err)
		return
	}
	t.replyUnavailable("records_away", t.retryRecords(), err)
}

// retryRecords returns the Retry-After time of a request that can't be served without records.
func (q *request) retryRecords() time.Duration {
	if q.e.OthersServe != nil && q.e.OthersServe() {
		return retryElsewhere
	}
	return retryNoQuorum
}

func (t *turn) readHistory(ctx context.Context) error {
	if !t.route.StoreTurns || t.Previous == "" {
		return nil
	}
	t.previousID = t.scopedID(t.Previous)
	turns, err := t.e.Records.Read(ctx, t.scopedID(t.Program), t.previousID, t.takeHistory)
	if errors.Is(err, quorum.ErrNoTurn) && t.previousID != t.Previous {
		t.previousID = t.Previous // recorded before accounts were configured
		turns, err = t.e.Records.Read(ctx, t.Program, t.previousID, t.takeHistory)
	}
	if err != nil {
		return err
	}
	t.needs = index.Owners(turns, t.newRecord(0).Key())
	n := 0
	for _, before := range turns {
		n += len(before.Input) + len(before.Output)
	}
	t.history = make([]byte, 0, n+len(t.body))
	for _, before := range turns {
		t.history = append(t.history, before.Input...)
		t.history = append(t.history, before.Output...)
		t.previousUpstream = before.Upstream
	}
	return nil
}

// claim has the turns before this one retained while it runs, where that may take so long that they would expire. It
// writes in the background: they are retained for a while yet.
func (t *turn) claim() {
	heldByReservation := t.isBudgeted() && len(t.needs) == 0
	if t.previousID == "" || t.longest() <= claimAfter || heldByReservation {
		return
	}
	rec := t.newRecord(t.longest())
	rec.Needs = append([]string{rec.Key()}, t.needs...)
	t.writeInBackground(rec, "cannot record that the turn needs those before it; they may expire while it runs")
}

// takeHistory takes the memory for a history of n bytes: as it is read, and as it is sent.
func (t *turn) takeHistory(ctx context.Context, n int64) error { return t.conn.TakeHistory(ctx, 2*n) }

// maxTokens returns the most tokens that the turn can generate, rounded up to whole
// events.
func (t *turn) maxTokens() int {
	n := max(t.service.EventTokens, 1)
	return (t.MaxOutputTokens + n - 1) / n * n
}

// newRecord returns a record of the attempt, which may last a while yet or is over.
func (t *turn) newRecord(lasts time.Duration) index.Record {
	return index.Record{
		Program: t.scopedID(t.Program), Attempt: t.scopedID(t.ID), At: t.began.UnixMilli(), TTL: (lasts + t.retainFor()).Milliseconds(),
	}
}

// retainFor returns how long the turn is retained after its end. A version of the configuration that came since it
// began may ask for longer.
func (q *request) retainFor() time.Duration {
	now, _ := q.e.Fleet.View().Table.Match(q.r.Host, q.r.URL.Path)
	return max(q.route.RetainFor, now.RetainFor)
}

// longest returns how long the attempt may last, with the write that settles it.
func (q *request) longest() time.Duration { return q.deadline.Sub(q.began) + settleTimeout }

// reserve records, before the turn runs, the maximum number of tokens that it can generate,
// so that a crash cannot make a program exceed its budget. It returns false if the request
// has ended: an error response was sent, or the caller has disconnected.
func (t *turn) reserve(ctx context.Context) bool {
	if !t.isBudgeted() {
		res := t.queryRuns(ctx, runsTimeout, t.scopedID(t.FirstAttempt), t.takesUp())
		return t.mayRun() && t.findVersion(ctx, res.Runs) && t.findBeginning(res)
	}
	rec := t.newRecord(t.longest())
	rec.Reserved, rec.MaxTokens, rec.Budget = true, t.maxTokens(), t.TokenBudget
	rec.Run, rec.AskParts = &index.Run{Request: t.key(), Front: t.ownRun().Front}, t.takesUp()
	t.stateVersion(rec.Run)
	res, err := t.e.Records.Write(ctx, rec)
	t.reserved = !errors.Is(err, quorum.ErrNotWritten)
	if err != nil {
		t.settle()
		switch {
		case errors.Is(err, quorum.ErrSpent):
			t.replyError(http.StatusPaymentRequired, "budget_spent", nil)
		case ctx.Err() != nil:
			t.replyExpired(err)
		default:
			t.replyNoRecords(err)
		}
		return false
	}
	t.programBegun = t.Previous != "" || index.OthersStarted(res.Charges, rec.Attempt)
	t.programStart = index.StartTime(res.Charges, t.began)
	t.lastUpstream = index.LastUpstream(res.Charges, t.Session)
	if !index.WithinBudget(res.Charges, t.TokenBudget) {
		t.settle()
		t.replyError(http.StatusPaymentRequired, "budget_spent", nil)
		return false
	}
	t.summary.knowsFrom = knowsRecords
	t.asked, t.recordsAnswered = true, true
	t.see(append(res.Runs, index.OpenAttempts(res.Charges, t.key(), rec.Attempt, res.Runs)...))
	t.decideFates(ctx)
	return t.mayRun() && t.findVersion(ctx, res.Runs) && t.findBeginning(res)
}

// mayRun reports whether the turn may be sent to an upstream. Otherwise it has sent an error
// response: several have ended while they ran the turn.
func (t *turn) mayRun() bool {
	if t.seen.MayRun(t.listed) {
		return true
	}
	t.settle()
	t.replyUpstreamsEnded()
	return false
}

// settle replaces the reservation by the tokens that the turn generated, and records the runs that
// are not recorded yet. It writes in the background.
func (t *turn) settle() {
	if !t.reserved && !t.unrecorded {
		return
	}
	rec := t.newRecord(time.Since(t.began))
	if t.unrecorded {
		t.runOver()
		rec = t.runsRecord(time.Since(t.began))
		rec.Run = t.ownRun()
	}
	rec.Settled, rec.Spent = t.reserved, t.summary.tokens
	t.reserved, t.unrecorded = false, false
	if t.summary.events > 0 {
		rec.Upstream, rec.Session = t.summary.upstream, t.Session
	}
	t.writeInBackground(rec, "cannot record the tokens that the turn generated; its reservation stays charged to the budget")
}

// writeInBackground writes a record that nobody waits for, and logs it if that fails.
func (t *turn) writeInBackground(rec index.Record, failure string) {
	go func() {
		ctx, cancel := context.WithTimeout(t.e.Stop, settleTimeout)
		defer cancel()
		if _, err := t.e.Records.Write(ctx, rec); err != nil {
			t.e.Log.Warn().Err(err).Str("request", t.ID).Str("program", t.Program).Int("tokens", rec.Spent).Msg(failure)
		}
	}()
}

// complete records a complete stream. A turn that the route keeps must be durable before
// its caller sees the end of the response, since the next turn refers to it.
func (t *turn) complete(ctx context.Context, s *exchange) error {
	s.releaseConn(t.e.Pool)
	if !t.route.StoreTurns {
		t.settle()
		return nil
	}
	rec := t.newRecord(time.Since(t.began))
	rec.Settled, rec.Spent = t.reserved, t.summary.tokens
	rec.Upstream, rec.Session = s.up.ID, t.Session
	rec.Needs = t.needs
	rec.Turn = &index.Turn{Previous: t.previousID, Input: t.body, Output: t.takeOutput(), Upstream: s.up.ID, Tokens: t.summary.tokens}
	if _, err := t.e.Records.Write(ctx, rec); err != nil {
		return errors.Wrap(err, "the turn was not recorded")
	}
	t.reserved = false
	return nil
}
