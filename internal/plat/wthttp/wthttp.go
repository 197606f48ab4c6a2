// Package wtnet asks the platform's weight store over HTTP whether a load may
// start: a POST to Path with the model's name answers with an Answer.
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

// Path is where loads are admitted.
const Path = "/admit"

type (
	// Client implements weight.Weights.
	Client struct {
		Endpoint httpc.Endpoint
	}

	// Ask is the request.
	Request struct {
		Model string `json:"model"`
	}

	// Answer is the response. Wait is zero if the load may start.
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
