// Package plain is the client of plain services: upstreams with an HTTP API.
//
// Each request is sent once, on a new connection; see package httpc. The caller
// decides on retries by tool.Error.Sent.
package plain

import (
	"context"
	"errors"

	"github.com/valyala/fasthttp"

	"github.com/slaterock/slaterock/internal/plat/httpc"
	"github.com/slaterock/slaterock/internal/plat/tool"
)

const (
	// HeaderRequest has the id of the request, so that a service can detect a
	// repeat.
	HeaderRequest = "Slaterock-Request"

	headerTrace = "Traceparent"
)

type (
	// Client implements tool.Tool.
	Client struct {
		Endpoint httpc.Endpoint
	}
)

// Do implements tool.Tool.
func (c *Client) Do(ctx context.Context, r tool.Request) (tool.Response, error) {
	var req fasthttp.Request
	var resp fasthttp.Response
	req.Header.SetMethod(r.Method)
	req.SetRequestURI(path(r.Path))
	req.Header.Set(HeaderRequest, r.ID)
	if r.ContentType != "" {
		req.Header.SetContentType(r.ContentType)
	}
	if r.TraceParent != "" {
		req.Header.Set(headerTrace, r.TraceParent)
	}
	req.SetBodyRaw(r.Body)
	if err := c.Endpoint.Do(ctx, &req, &resp); err != nil {
		return tool.Response{}, &tool.Error{Sent: sent(err), Err: err}
	}
	return tool.Response{
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		Body:        resp.Body(),
	}, nil
}

func path(p string) string {
	if p == "" || p[0] != '/' {
		return "/" + p
	}
	return p
}

func sent(err error) bool {
	var e *httpc.Error
	return !errors.As(err, &e) || e.Sent
}
