package keyval

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/slaterock/slaterock/internal/fake/server"
	"github.com/slaterock/slaterock/internal/plat/kvhttp"
	"github.com/slaterock/slaterock/internal/plat/store"
)

// defaultWait is the timeout of calls that don't specify a wait.
const defaultWait = time.Minute

// Serve serves the store on the listener in the format of kvhttp.Client. A request
// contains the client's name, which selects the view and thereby its faults.
func Serve(ln net.Listener, s *Store) *server.HTTP {
	h := &server.HTTP{Handler: s.serve}
	h.Start(ln)
	return h
}

func (s *Store) serve(ctx context.Context, w *fasthttp.RequestCtx) {
	op, ok := strings.CutPrefix(string(w.Path()), kvhttp.Path)
	var c kvhttp.Request
	if !ok || json.Unmarshal(w.PostBody(), &c) != nil {
		w.SetStatusCode(http.StatusBadRequest)
		return
	}
	wait := defaultWait
	if c.Wait > 0 {
		wait = c.Wait
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	a, err := s.Client(c.Client).handle(ctx, kvhttp.Op(op), c)
	a, answered := encodeError(a, err)
	if !answered {
		server.Abort(w)
		return
	}
	body, _ := json.Marshal(a)
	w.SetContentType("application/json")
	w.SetBody(body)
}

func (v *View) handle(ctx context.Context, op kvhttp.Op, c kvhttp.Request) (a kvhttp.Response, err error) {
	switch op {
	case kvhttp.OpGet:
		a.Entry, err = v.Get(ctx, c.Key)
	case kvhttp.OpPut:
		a.Rev, err = v.Put(ctx, c.Key, c.Data, c.Rev, c.Lease)
	case kvhttp.OpDelete:
		err = v.Delete(ctx, c.Key, c.Rev)
	case kvhttp.OpList:
		a.Keys, err = v.List(ctx, c.Key, c.After, c.Limit)
	case kvhttp.OpWatch:
		a.Entry, err = v.Watch(ctx, c.Key, c.Rev)
	case kvhttp.OpGrant:
		a.Lease, err = v.Grant(ctx, c.TTL)
	case kvhttp.OpRenew:
		err = v.Renew(ctx, c.Lease)
	case kvhttp.OpRevoke:
		err = v.Revoke(ctx, c.Lease)
	default:
		err = store.ErrUnavailable
	}
	return a, err
}

// encodeError sets the response's code for the error. It returns false if the
// outcome is unknown; the connection is then closed without a response, which a
// client of the real service would see too.
func encodeError(a kvhttp.Response, err error) (kvhttp.Response, bool) {
	var conflict *store.ConflictError
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		a.Code, a.Rev = kvhttp.CodeConflict, conflict.Rev
	case errors.Is(err, store.ErrUnknown):
		return a, false
	case errors.Is(err, store.ErrNotFound):
		a.Code = kvhttp.CodeNotFound
	case errors.Is(err, store.ErrLeaseExpired):
		a.Code = kvhttp.CodeLeaseExpired
	case errors.Is(err, store.ErrTooLarge):
		a.Code = kvhttp.CodeTooLarge
	case errors.Is(err, store.ErrUnavailable):
		a.Code = kvhttp.CodeUnavailable
	case errors.Is(err, context.DeadlineExceeded):
		a.Code = kvhttp.CodeWatchTimeout
	default:
		return a, false
	}
	return a, true
}
