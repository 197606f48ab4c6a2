// Package plain is the client of plain services: workers that speak HTTP.
//
// Every request goes out once, on a connection of its own; see package line.
// Whether to repeat it is decided elsewhere, by what Error.Sent tells.
package plain

import (
	"context"
	"errors"

	"github.com/valyala/fasthttp"

	"github.com/slaterock/slaterock/internal/plat/httpc"
	"github.com/slaterock/slaterock/internal/plat/tool"
)

const (
	// HeaderRequest carries our request's name, so that a service can
	// recognise a repeat.
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
