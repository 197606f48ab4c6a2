// Package chat is the client of model engines that implement the common chat
// completions protocol with server-sent events.
//
// A completion is a POST to /v1/chat/completions with "stream" set. The values in
// the caller's body are forwarded byte for byte, except for the fields that
// slaterock sets: model, max_tokens, stream, stream_options, user (the program)
// and priority. Resuming uses the events' ids and the Last-Event-ID header. Load
// reports, cache events, orders and held programs are not part of a published
// protocol; they are small JSON documents below /engine/.
package chat

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/plat/httpc"
)

const (
	// PathChat accepts completions.
	PathChat = "/v1/chat/completions"
	// PathLoad returns an engine.Load.
	PathLoad = "/engine/load"
	// PathEvents returns a list of engine.Event, those after the sequence
	// number in the query parameter after.
	PathEvents = "/engine/events"
	// PathOrder accepts an engine.Order.
	PathOrder = "/engine/order"
	// PathHeld returns a list of program ids.
	PathHeld = "/engine/held"

	// HeaderRequest has the id of the request.
	HeaderRequest = "X-Request-Id"
	// HeaderResume has the number of the last piece received.
	HeaderResume = "Last-Event-ID"
	// HeaderTrace has the W3C trace context.
	HeaderTrace = "Traceparent"

	finishCancelled = "cancelled"
	finishLength    = "length"
)

type (
	// Client implements engine.Engine.
	Client struct {
		Endpoint httpc.Endpoint
	}

	// Chunk is one server-sent event of an answer.
	Chunk struct {
		ID      string      `json:"id"`
		Object  string      `json:"object"`
		Model   string      `json:"model,omitempty"`
		Choices []Choice    `json:"choices"`
		Usage   *ChunkUsage `json:"usage,omitempty"`
	}

	// Choice is the one choice of a chunk.
	Choice struct {
		Index  int     `json:"index"`
		Delta  Message `json:"delta"`
		Finish *string `json:"finish_reason"`
	}

	// Message is a piece of the assistant's message. Tokens, the number of
	// tokens in the piece, is an extension; without it they are estimated.
	Message struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content,omitempty"`
		Tokens  int    `json:"tokens,omitempty"`
	}

	// ChunkUsage is the usage as the protocol encodes it, in tokens.
	ChunkUsage struct {
		Prompt     int           `json:"prompt_tokens"`
		Completion int           `json:"completion_tokens"`
		Total      int           `json:"total_tokens"`
		Details    PromptDetails `json:"prompt_tokens_details"`
	}

	// PromptDetails says how many tokens of the prompt were cached.
	PromptDetails struct {
		Cached int `json:"cached_tokens"`
	}
)

// Chat implements engine.Engine.
func (c *Client) Chat(ctx context.Context, r engine.Request, sink func(engine.Delta) error) (u engine.Usage, err error) {
	body, err := rewriteBody(r)
	if err != nil {
		return u, &engine.Error{Err: err}
	}
	var req fasthttp.Request
	req.Header.SetMethod(http.MethodPost)
	req.SetRequestURI(PathChat)
	req.Header.SetContentType("application/json")
	req.Header.Set(HeaderRequest, r.ID)
	if r.TraceParent != "" {
		req.Header.Set(HeaderTrace, r.TraceParent)
	}
	if r.Resume > 0 {
		req.Header.Set(HeaderResume, strconv.Itoa(r.Resume))
	}
	req.SetBodyRaw(body)
	a, err := c.Endpoint.Open(ctx, &req)
	if err != nil {
		return u, sendError(err)
	}
	defer a.Close()
	if status := a.Header.StatusCode(); status != http.StatusOK {
		return u, statusError(a, status)
	}
	in := reader{resp: a, maxTokens: r.MaxTokens, after: r.Resume, sink: sink}
	err = in.run()
	if ctx.Err() != nil {
		in.usage.Finish = finishCancelled
	}
	return in.usage, err
}

// statusError returns the error of a response with another status than 200. It
// includes up to 512 bytes of the body.
func statusError(a *httpc.Response, status int) error {
	b := make([]byte, 512)
	n, _ := a.Body.Read(b)
	return &engine.Error{Sent: true, Status: status, Err: fmt.Errorf("chat: status %d: %s", status, bytes.TrimSpace(b[:n]))}
}

func sendError(err error) error {
	var e *httpc.Error
	return &engine.Error{Sent: !errors.As(err, &e) || e.Sent, Err: err}
}
