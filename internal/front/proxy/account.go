package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/conf/route"
	"github.com/slaterock/slaterock/internal/front/bucket"
	"github.com/slaterock/slaterock/internal/front/limits"
)

// limitBegun and limitNew are the logged classes of requests that waited for their account's
// limit, or were refused.
const (
	limitBegun = "begun"
	limitNew   = "new"
)

// errUnknownKey reports a key that no longer belongs to the account that it had when the
// request arrived.
var errUnknownKey = errors.New("API key was revoked or moved to another account")

// authenticate finds the caller's account, or sends an error response and returns false.
// An unknown key may be newer than the configuration held here, which is therefore read
// again first.
func (q *request) authenticate() bool {
	if q.authenticated(q.view.Table) {
		return true
	}
	if !q.refresh() {
		return false
	}
	if q.authenticated(q.view.Table) {
		return true
	}
	q.replyMissing(http.StatusUnauthorized, "unknown_key")
	return false
}

// authenticated sets the caller's account and reports whether the caller may use the
// route.
func (q *request) authenticated(t *route.Table) bool {
	if t.Accounts == nil {
		return true
	}
	var authenticated bool
	if q.HasAPIKey {
		q.account, authenticated = t.Accounts.Find(q.APIKey)
	}
	return authenticated || q.route.Open
}

// checkKey returns an error if the key was revoked since the request arrived. Such a
// request must not be sent.
func (q *request) checkKey() error {
	t := q.e.Fleet.View().Table
	if q.account.Name == "" || t.Accounts == nil {
		return nil
	}
	if current, known := t.Accounts.Find(q.APIKey); !known || current.Name != q.account.Name {
		return errUnknownKey
	}
	return nil
}

// scopedID returns an id as used in the records: prefixed with the account, so that a
// caller cannot address turns and programs of other accounts. No id of a caller contains
// a control character, so the prefix cannot collide with ids recorded before accounts
// were configured.
func (q *request) scopedID(id string) string {
	if q.view.Table.Accounts == nil || id == "" {
		return id
	}
	return "\x00" + q.account.Name + "\x00" + id
}

// limitReached refuses a turn at once if its account's limit can't admit it while it may wait,
// and reports whether it did.
func (t *turn) limitReached() bool {
	if t.account.Name == "" {
		return false
	}
	d := t.e.Limiter.CanAdmit(time.Now(), t.account.Name, t.began.Add(maxQueueWait))
	return !d.OK && !t.replyIfDenied(d)
}

// acquire takes the request from its account's limit, for which it may wait. If it gets none,
// acquire sends an error response, unless the caller has disconnected, and returns false.
func (q *request) acquire(ctx context.Context, r limits.Request) bool {
	if q.acquired || q.account.Name == "" {
		return true
	}
	r.Account = q.account.Name
	began := time.Now()
	d := q.e.Limiter.Acquire(ctx, r)
	q.acquired, q.acquiredFirst = d.OK, r.First
	s := &q.summary
	if s.limitWait = time.Since(began); s.limitWait >= minLoggedWait || !d.OK {
		s.limitAhead, s.limitClass = d.Ahead, limitBegun
		if r.First {
			s.limitClass = limitNew
		}
	}
	if s.limitWait >= minLoggedWait {
		q.e.Scope.Timer("limit_wait_time").Record(s.limitWait)
	}
	if err := ctx.Err(); err != nil && !d.OK {
		q.replyExpired(err)
		return false
	}
	return q.replyIfDenied(d)
}

// turnRequest returns the turn's request to its account's limit. A turn waits for as long as
// its program can end in time, and the first one until the latest start. Turns without a
// budget count as turns of programs that have begun, as nothing is known of their programs.
func (t *turn) turnRequest(now time.Time) limits.Request {
	r := limits.Request{Begun: t.programBegun || !t.reserved, Until: t.began.Add(maxQueueWait), Start: t.programStart}
	r.First = !r.Begun
	finish := t.began.Add(t.FinishIn)
	switch {
	case !t.HasFinishIn:
	case r.First:
		t.programTime = finish.Sub(t.programStart)
		r.Length = t.programTime
		r.Until = earlier(r.Until, t.latestStart(maxLimitShare))
	case finish.After(now):
		r.Until = earlier(r.Until, finish)
	}
	r.Until = earlier(r.Until, t.deadline)
	return r
}

// callRequest returns the request of a plain call, which waits until its deadline less the
// usual duration of its route, or half of its time if that is not known.
func (q *request) callRequest() limits.Request {
	usual := time.Duration(q.e.Baseline.Mean(q.route.Name) * float64(time.Second))
	if usual == 0 {
		usual = q.deadline.Sub(q.began) / 2
	}
	return limits.Request{Begun: true, Until: q.deadline.Add(-usual)}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// replyIfDenied sends an error response if the limit does not allow the request, and
// returns v.OK.
func (q *request) replyIfDenied(v bucket.Decision) bool {
	switch {
	case v.OK:
		return true
	case v.NoShare:
		q.replyUnavailable("limits_unknown", v.RetryAfter, nil)
	default:
		q.replyOverLimit(v.RetryAfter)
	}
	tags := map[string]string{"account": q.e.Limiter.Label.Of(q.account.Name), "cause": q.summary.code}
	q.e.Scope.Tagged(tags).Counter("account_refused").Inc(1)
	return false
}

// countSend counts a send against the account's limit. The request taken by acquire
// covers the first one. A further one means that the program may have begun, since an upstream
// may have run the request.
func (q *request) countSend() {
	if q.account.Name != "" && !q.acquired {
		q.e.Limiter.Add(time.Now(), q.account.Name)
		q.acquiredFirst = false
	}
	q.acquired = false
}

// uncountSend undoes countSend after a send that the upstream did not run: what was
// counted covers the next send.
func (q *request) uncountSend() {
	if q.account.Name != "" {
		q.acquired = true
	}
}

// releaseAcquired returns to the account's limit a request that was acquired and that no
// upstream ran.
func (q *request) releaseAcquired() {
	if !q.acquired {
		return
	}
	q.acquired = false
	if q.acquiredFirst {
		q.e.Limiter.RefundFirst(time.Now(), q.account.Name, q.programTime)
		return
	}
	q.e.Limiter.Refund(time.Now(), q.account.Name)
}
