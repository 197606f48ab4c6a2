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

	"github.com/slaterock/slaterock/internal/fake/host"
	"github.com/slaterock/slaterock/internal/plat/kvnet"
	"github.com/slaterock/slaterock/internal/plat/store"
)

// maxCall bounds calls that carry no wait of their own.
const maxCall = time.Minute

// Serve serves the store on the listener in the form that kvnet.Client reads.
// Faults are those of the views that the clients name.
func Serve(ln net.Listener, s *Store) *host.Host {
	h := &host.Host{Handler: s.serve}
	h.Start(ln)
	return h
}

func (s *Store) serve(ctx context.Context, w *fasthttp.RequestCtx) {
	op, ok := strings.CutPrefix(string(w.Path()), kvnet.Path)
	var c kvnet.Call
	if !ok || json.Unmarshal(w.PostBody(), &c) != nil {
		w.SetStatusCode(http.StatusBadRequest)
		return
	}
	wait := maxCall
	if c.Wait > 0 {
		wait = c.Wait
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	a, err := s.Client(c.Client).do(ctx, kvnet.Op(op), c)
	a, answered := encode(a, err)
	if !answered {
		host.Break(w)
		return
	}
	body, _ := json.Marshal(a)
	w.SetContentType("application/json")
	w.SetBody(body)
}

func (v *View) do(ctx context.Context, op kvnet.Op, c kvnet.Call) (a kvnet.Answer, err error) {
	switch op {
	case kvnet.OpGet:
		a.Entry, err = v.Get(ctx, c.Key)
	case kvnet.OpPut:
		a.Rev, err = v.Put(ctx, c.Key, c.Data, c.Rev, c.Lease)
	case kvnet.OpDelete:
		err = v.Delete(ctx, c.Key, c.Rev)
	case kvnet.OpList:
		a.Keys, err = v.List(ctx, c.Key, c.After, c.Limit)
	case kvnet.OpWatch:
		a.Entry, err = v.Watch(ctx, c.Key, c.Rev)
	case kvnet.OpGrant:
		a.Lease, err = v.Grant(ctx, c.TTL)
	case kvnet.OpRenew:
		err = v.Renew(ctx, c.Lease)
	case kvnet.OpRevoke:
		err = v.Revoke(ctx, c.Lease)
	default:
		err = store.ErrUnavailable
	}
	return a, err
}

// encode turns an error into its code. Where the outcome is unknown there is no
// answer at all: the connection breaks, as it would for a real client.
func encode(a kvnet.Answer, err error) (kvnet.Answer, bool) {
	var conflict *store.ConflictError
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		a.Code, a.Rev = kvnet.CodeConflict, conflict.Rev
	case errors.Is(err, store.ErrUnknown):
		return a, false
	case errors.Is(err, store.ErrNotFound):
		a.Code = kvnet.CodeNotFound
	case errors.Is(err, store.ErrLapsed):
		a.Code = kvnet.CodeLapsed
	case errors.Is(err, store.ErrTooLarge):
		a.Code = kvnet.CodeTooLarge
	case errors.Is(err, store.ErrUnavailable):
		a.Code = kvnet.CodeUnavailable
	case errors.Is(err, context.DeadlineExceeded):
		a.Code = kvnet.CodeAgain
	default:
		return a, false
	}
	return a, true
}
