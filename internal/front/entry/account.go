package entry

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/conf/route"
	"github.com/slaterock/slaterock/internal/front/bucket"
)

// errNoAccount is a request whose key belongs to no account, or to another one since it
// came.
var errNoAccount = errors.New("the key belongs to no account")

// identify finds the caller's account. A key that is not known may be newer than what
// is known here.
func (q *request) identify() bool {
	if q.known(q.view.Table) {
		return true
	}
	q.e.Refresh(q.r.Context())
	q.view = q.e.Fleet.View()
	if q.known(q.view.Table) {
		return true
	}
	q.refuse(http.StatusUnauthorized, "unknown_key", nil)
	return false
}

// known sets the caller's account, and is false if it needs one and has none.
func (q *request) known(t *route.Table) bool {
	if t.Accounts == nil {
		return true
	}
	var known bool
	if q.HasKey {
		q.account, known = t.Accounts.Find(q.Key)
	}
	return known || q.route.Open
}

// still is an error if the key was taken away since the request came: it may not be run
// any more.
func (q *request) still() error {
	t := q.e.Fleet.View().Table
	if q.account.Name == "" || t.Accounts == nil {
		return nil
	}
	if now, known := t.Accounts.Find(q.Key); !known || now.Name != q.account.Name {
		return errNoAccount
	}
	return nil
}

// own returns an id as the records know it. Turns and programs belong to an account, or
// to those that need none, so others' ids name nothing. No id of a caller has a control
// character, so what was recorded before there were accounts is told apart.
func (q *request) own(id string) string {
	if q.view.Table.Accounts == nil || id == "" {
		return id
	}
	return "\x00" + q.account.Name + "\x00" + id
}

// full refuses a request at once if its account has used up its limit.
func (q *request) full() bool {
	if q.account.Name == "" {
		return false
	}
	v := q.e.Allow.Check(time.Now(), q.account.Name)
	return !v.OK && !q.within(v)
}

// take asks for the request's place within its account's limit.
func (q *request) take(begun bool) bool {
	if q.taken || q.account.Name == "" {
		return true
	}
	v := q.e.Allow.Take(time.Now(), q.account.Name, begun)
	q.taken = v.OK
	return q.within(v)
}

// within answers a request that is beyond its account's limit.
func (q *request) within(v bucket.Decision) bool {
	switch {
	case v.OK:
	case v.NoShare:
		q.unavailable("limits_unknown", v.RetryAfter, nil)
	default:
		q.overLimit(v.RetryAfter)
	}
	return v.OK
}

// use counts a send. What was taken at the door is for the first one.
func (q *request) use() {
	if q.account.Name != "" && !q.taken {
		q.e.Allow.Add(time.Now(), q.account.Name)
	}
	q.taken = false
}

// unuse counts a send no more: the upstream did not run it.
func (q *request) unuse() {
	if q.account.Name != "" {
		q.taken = true
	}
}

// giveBack returns what was taken and not sent.
func (q *request) giveBack() {
	if q.taken {
		q.e.Allow.Refund(time.Now(), q.account.Name)
		q.taken = false
	}
}
