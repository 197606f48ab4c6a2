// Package wthttp is the client of the platform's weight store over HTTP. To ask
// whether the load of a model may start, it POSTs a Request to Path and gets a
// Response.
package wthttp

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/slaterock/slaterock/internal/plat/httpc"
)

// Path is the path of the admission request.
const Path = "/admit"

type (
	// Client implements weight.Weights.
	Client struct {
		Endpoint httpc.Endpoint
	}

	// Request is a request's body.
	Request struct {
		Model string `json:"model"`
	}

	// Response is a response's body. Wait is zero if the load may start now.
	Response struct {
		Wait time.Duration `json:"wait"` // nanoseconds
	}
)

// Admit implements weight.Weights.
func (c *Client) Admit(ctx context.Context, model string) (wait time.Duration, err error) {
	defer func() { err = errors.Wrap(err, "weight store") }()
	body, err := json.Marshal(Request{Model: model})
	if err != nil {
		return 0, err
	}
	var req fasthttp.Request
	var resp fasthttp.Response
	req.Header.SetMethod(http.MethodPost)
	req.SetRequestURI(Path)
	req.SetBodyRaw(body)
	if err := c.Endpoint.Do(ctx, &req, &resp); err != nil {
		return 0, err
	}
	if resp.StatusCode() != http.StatusOK {
		return 0, fmt.Errorf("status %d: %s", resp.StatusCode(), resp.Body())
	}
	var a Response
	err = json.Unmarshal(resp.Body(), &a)
	return a.Wait, err
}
