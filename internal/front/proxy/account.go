package proxy

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/conf/route"
	"github.com/slaterock/slaterock/internal/front/bucket"
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

// limitReached refuses a request at once if its account has used up its limit, and
// reports whether it did.
func (q *request) limitReached() bool {
	if q.account.Name == "" {
		return false
	}
	v := q.e.Limiter.Check(time.Now(), q.account.Name)
	return !v.OK && !q.replyIfDenied(v)
}

// acquire takes the request from its account's limit. If the limit does not allow it,
// acquire sends an error response and returns false. The parameter mayUseReserve is false
// for the first turn of a program with a budget, which may not use the reserved part of
// the limit.
func (q *request) acquire(mayUseReserve bool) bool {
	if q.acquired || q.account.Name == "" {
		return true
	}
	v := q.e.Limiter.Take(time.Now(), q.account.Name, mayUseReserve)
	q.acquired = v.OK
	return q.replyIfDenied(v)
}

// replyIfDenied sends an error response if the limit does not allow the request, and
// returns v.OK.
func (q *request) replyIfDenied(v bucket.Decision) bool {
	switch {
	case v.OK:
	case v.NoShare:
		q.replyUnavailable("limits_unknown", v.RetryAfter, nil)
	default:
		q.replyOverLimit(v.RetryAfter)
	}
	return v.OK
}

// countSend counts a send against the account's limit. The request taken by acquire
// covers the first one.
func (q *request) countSend() {
	if q.account.Name != "" && !q.acquired {
		q.e.Limiter.Add(time.Now(), q.account.Name)
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
	if q.acquired {
		q.e.Limiter.Refund(time.Now(), q.account.Name)
		q.acquired = false
	}
}
