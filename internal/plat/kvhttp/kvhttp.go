// Package kvhttp is the client of the platform's key-value service over HTTP: each
// call is a POST of a Request to Path followed by the operation's name, and is
// answered with a Response.
//
// A call that could not connect had no effect. A write without a response may have
// taken effect and returns store.ErrUnknown. A read on a stalled connection is
// repeated on a new one, up to maxReadAttempts attempts, so that one dead connection
// costs a Timeout and causes no error.
package kvhttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/slaterock/slaterock/internal/plat/httpc"
	"github.com/slaterock/slaterock/internal/plat/store"
)

// Path is the prefix of all paths; the operation's name follows.
const Path = "/kv/"

// The operations.
const (
	OpGet    Op = "get"
	OpPut    Op = "put"
	OpDelete Op = "delete"
	OpList   Op = "list"
	OpWatch  Op = "watch"
	OpGrant  Op = "grant"
	OpRenew  Op = "renew"
	OpRevoke Op = "revoke"
)

// The codes of responses; empty is success.
const (
	CodeNotFound     Code = "not_found"
	CodeConflict     Code = "conflict"
	CodeLeaseExpired Code = "lapsed"
	CodeUnavailable  Code = "unavailable"
	CodeTooLarge     Code = "too_large"
	CodeWatchTimeout Code = "again" // a watch without a change within Wait
)

const (
	defaultTimeout   = time.Second
	defaultWatchWait = 20 * time.Second
	maxReadAttempts  = 3
	maxResponse      = 2 * store.MaxValue
)

type (
	// Client implements store.Store.
	Client struct {
		Endpoint  httpc.Endpoint // FirstByteTimeout, IdleTimeout and MaxBody are set by each call
		Name      string         // identifies this client to the service
		Timeout   time.Duration  // after which a connection counts as stalled
		WatchWait time.Duration  // how long the service holds one watch request open
	}

	// Op names an operation.
	Op string

	// Code is the reason why a call failed.
	Code string

	// Request is a request's body. Fields that the operation does not use are
	// empty.
	Request struct {
		Client string        `json:"client,omitempty"`
		Key    string        `json:"key,omitempty"` // for List, the prefix
		Data   []byte        `json:"data,omitempty"`
		Rev    store.Rev     `json:"rev,omitempty"`
		Lease  store.Lease   `json:"lease,omitempty"`
		After  string        `json:"after,omitempty"`
		Limit  int           `json:"limit,omitempty"`
		TTL    time.Duration `json:"ttl,omitempty"`  // nanoseconds
		Wait   time.Duration `json:"wait,omitempty"` // nanoseconds; how long to hold a watch open
	}

	// Response is a response's body.
	Response struct {
		Code  Code        `json:"code,omitempty"`
		Entry store.Entry `json:"entry,omitzero"`
		Rev   store.Rev   `json:"rev,omitempty"`
		Keys  []string    `json:"keys,omitempty"`
		Lease store.Lease `json:"lease,omitempty"`
	}
)

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	a, err := c.read(ctx, OpGet, Request{Key: key})
	return a.Entry, err
}

// Put implements store.Store.
func (c *Client) Put(ctx context.Context, key string, data []byte, rev store.Rev, lease store.Lease) (store.Rev, error) {
	if len(data) > store.MaxValue {
		return 0, store.ErrTooLarge
	}
	a, err := c.write(ctx, OpPut, Request{Key: key, Data: data, Rev: rev, Lease: lease})
	if err != nil {
		return 0, err
	}
	return a.Rev, nil
}

// Delete implements store.Store.
func (c *Client) Delete(ctx context.Context, key string, rev store.Rev) error {
	_, err := c.write(ctx, OpDelete, Request{Key: key, Rev: rev})
	return err
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	a, err := c.read(ctx, OpList, Request{Key: prefix, After: after, Limit: limit})
	return a.Keys, err
}

// Watch implements store.Store. It sends a new request whenever the service ends
// one without a change. If no response arrives within WatchWait plus Timeout, the
// connection has stalled, and Watch sends the request again on a new one.
func (c *Client) Watch(ctx context.Context, key string, rev store.Rev) (store.Entry, error) {
	hold := orDefault(c.WatchWait, defaultWatchWait)
	for {
		a, err := c.call(ctx, OpWatch, Request{Key: key, Rev: rev, Wait: hold}, hold+c.timeout())
		switch {
		case ctx.Err() != nil:
			return store.Entry{}, ctx.Err()
		case errors.Is(err, httpc.ErrStalled), err == nil && a.Code == CodeWatchTimeout:
			continue
		case err != nil:
			return store.Entry{}, withCause(store.ErrUnavailable, err)
		}
		return a.Entry, a.err(key)
	}
}

// Grant implements store.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	a, err := c.write(ctx, OpGrant, Request{TTL: ttl})
	return a.Lease, err
}

// Renew implements store.Store.
func (c *Client) Renew(ctx context.Context, lease store.Lease) error {
	_, err := c.write(ctx, OpRenew, Request{Lease: lease})
	return err
}

// Revoke implements store.Store.
func (c *Client) Revoke(ctx context.Context, lease store.Lease) error {
	_, err := c.write(ctx, OpRevoke, Request{Lease: lease})
	return err
}

func (c *Client) read(ctx context.Context, op Op, r Request) (a Response, err error) {
	for range maxReadAttempts {
		a, err = c.call(ctx, op, r, c.timeout())
		if !errors.Is(err, httpc.ErrStalled) {
			break
		}
	}
	if err != nil {
		return Response{}, withCause(store.ErrUnavailable, err)
	}
	return a, a.err(r.Key)
}

func (c *Client) write(ctx context.Context, op Op, r Request) (Response, error) {
	a, err := c.call(ctx, op, r, c.timeout())
	var e *httpc.Error
	switch {
	case errors.As(err, &e) && !e.Sent:
		return Response{}, withCause(store.ErrUnavailable, err)
	case err != nil:
		return Response{}, withCause(store.ErrUnknown, err)
	}
	return a, a.err(r.Key)
}

// call makes one exchange. Its errors are *httpc.Error.
func (c *Client) call(ctx context.Context, op Op, r Request, first time.Duration) (a Response, err error) {
	r.Client = c.Name
	body, err := json.Marshal(r)
	if err != nil {
		return a, &httpc.Error{Err: err}
	}
	var req fasthttp.Request
	var resp fasthttp.Response
	req.Header.SetMethod(http.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetRequestURI(Path + string(op))
	req.SetBodyRaw(body)
	e := c.Endpoint
	e.FirstByteTimeout, e.IdleTimeout, e.MaxBody = first, c.timeout(), maxResponse
	if err := e.Do(ctx, &req, &resp); err != nil {
		return a, err
	}
	if resp.StatusCode() != http.StatusOK {
		return a, &httpc.Error{Sent: true, Err: fmt.Errorf("kvnet: status %d", resp.StatusCode())}
	}
	if err := json.Unmarshal(resp.Body(), &a); err != nil {
		return a, &httpc.Error{Sent: true, Err: err}
	}
	return a, nil
}

func (c *Client) timeout() time.Duration { return orDefault(c.Timeout, defaultTimeout) }

func (r Response) err(key string) error {
	switch r.Code {
	case "":
		return nil
	case CodeNotFound:
		return store.ErrNotFound
	case CodeConflict:
		return &store.ConflictError{Key: key, Rev: r.Rev}
	case CodeLeaseExpired:
		return store.ErrLeaseExpired
	case CodeTooLarge:
		return store.ErrTooLarge
	case CodeUnavailable:
		return store.ErrUnavailable
	}
	return fmt.Errorf("%w: code %q", store.ErrUnknown, r.Code)
}

func withCause(outcome, cause error) error { return fmt.Errorf("%w: %w", outcome, cause) }

func orDefault(v, def time.Duration) time.Duration {
	if v <= 0 {
		return def
	}
	return v
}
