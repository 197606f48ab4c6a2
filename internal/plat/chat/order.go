package chat

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/valyala/fasthttp"

	"github.com/slaterock/slaterock/internal/plat/engine"
)

// Load implements engine.Engine.
func (c *Client) Load(ctx context.Context) (l engine.Load, err error) {
	err = c.exchange(ctx, http.MethodGet, PathLoad, nil, &l)
	return l, err
}

// Events implements engine.Engine.
func (c *Client) Events(ctx context.Context, after uint64) (out []engine.Event, err error) {
	err = c.exchange(ctx, http.MethodGet, fmt.Sprintf("%s?after=%d", PathEvents, after), nil, &out)
	return out, err
}

// Order implements engine.Engine. A refused fencing number is an *engine.Error
// with status 409.
func (c *Client) Order(ctx context.Context, o engine.Order) error {
	return c.exchange(ctx, http.MethodPost, PathOrder, o, nil)
}

// Held implements engine.Engine.
func (c *Client) Held(ctx context.Context) (out []string, err error) {
	err = c.exchange(ctx, http.MethodGet, PathHeld, nil, &out)
	return out, err
}

func (c *Client) exchange(ctx context.Context, method, path string, in, out any) error {
	var req fasthttp.Request
	var resp fasthttp.Response
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return &engine.Error{Err: err}
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(raw)
	}
	if err := c.Endpoint.Do(ctx, &req, &resp); err != nil {
		return sendError(err)
	}
	if status := resp.StatusCode(); status != http.StatusOK {
		return &engine.Error{Sent: true, Status: status, Err: fmt.Errorf("chat: status %d: %s", status, bytes.TrimSpace(resp.Body()))}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return &engine.Error{Sent: true, Status: http.StatusOK, Err: err}
	}
	return nil
}
