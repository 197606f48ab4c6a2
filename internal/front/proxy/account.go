package proxy

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/conf/route"
	"github.com/slaterock/slaterock/internal/front/ration"
)

// errNoAccount is a request whose key belongs to no account, or to another one since it
// came.
var errUnknownKey = errors.New("the key belongs to no account")

// identify finds the caller's account. A key that is not known may be newer than what
// is known here.
func (q *request) authenticate() bool {
	if q.authenticated(q.view.Table) {
		return true
	}
	q.e.Refresh(q.r.Context())
	q.view = q.e.Fleet.View()
	if q.authenticated(q.view.Table) {
		return true
	}
	q.replyError(http.StatusUnauthorized, "unknown_key", nil)
	return false
}

// known sets the caller's account, and is false if it needs one and has none.
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

// still is an error if the key was taken away since the request came: it may not be run
// any more.
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

// own returns an id as the records know it. Turns and programs belong to an account, or
// to those that need none, so others' ids name nothing. No id of a caller has a control
// character, so what was recorded before there were accounts is told apart.
func (q *request) scopedID(id string) string {
	if q.view.Table.Accounts == nil || id == "" {
		return id
	}
	return "\x00" + q.account.Name + "\x00" + id
}

// full refuses a request at once if its account has used up its limit.
func (q *request) limitReached() bool {
	if q.account.Name == "" {
		return false
	}
	v := q.e.Limiter.Look(time.Now(), q.account.Name)
	return !v.OK && !q.replyIfDenied(v)
}

// take asks for the request's place within its account's limit.
func (q *request) acquire(begun bool) bool {
	if q.acquired || q.account.Name == "" {
		return true
	}
	v := q.e.Limiter.Take(time.Now(), q.account.Name, begun)
	q.acquired = v.OK
	return q.replyIfDenied(v)
}

// within answers a request that is beyond its account's limit.
func (q *request) replyIfDenied(v ration.Verdict) bool {
	switch {
	case v.OK:
	case v.Unknown:
		q.replyUnavailable("limits_unknown", v.After, nil)
	default:
		q.replyOverLimit(v.After)
	}
	return v.OK
}

// use counts a send. What was taken at the door is for the first one.
func (q *request) countSend() {
	if q.account.Name != "" && !q.acquired {
		q.e.Limiter.Add(time.Now(), q.account.Name)
	}
	q.acquired = false
}

// unuse counts a send no more: the upstream did not run it.
func (q *request) uncountSend() {
	if q.account.Name != "" {
		q.acquired = true
	}
}

// giveBack returns what was taken and not sent.
func (q *request) releaseAcquired() {
	if q.acquired {
		q.e.Limiter.GiveBack(time.Now(), q.account.Name)
		q.acquired = false
	}
}
