// Package chat is the client of model engines that speak the usual chat
// completions protocol with server-sent events.
//
// A completion is a POST to /v1/chat/completions with "stream" set. The
// caller's own body is passed on byte for byte, but for the fields that
// slaterock decides: model, max_tokens, stream, user (the program) and
// priority. Resuming uses the events' ids and the Last-Event-ID header. Load
// reports, cache events, orders and held programs have no published form; they
// are small JSON documents below /engine/.
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
	// PathChat takes completions.
	PathChat = "/v1/chat/completions"
	// PathLoad answers with an engine.Load.
	PathLoad = "/engine/load"
	// PathEvents answers with a list of engine.Event; query after.
	PathEvents = "/engine/events"
	// PathOrder takes an engine.Order.
	PathOrder = "/engine/order"
	// PathHeld answers with a list of programs.
	PathHeld = "/engine/held"

	// HeaderRequest carries our request's name.
	HeaderRequest = "X-Request-Id"
	// HeaderResume carries the number of the last piece received.
	HeaderResume = "Last-Event-ID"
	// HeaderTrace is the W3C trace context.
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

	// Message is a piece of the assistant's message. Tokens is an extension:
	// how many tokens the piece has; without it they are estimated.
	Message struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content,omitempty"`
		Tokens  int    `json:"tokens,omitempty"`
	}

	// ChunkUsage is the usage in the protocol's own form.
	ChunkUsage struct {
		Prompt     int           `json:"prompt_tokens"`
		Completion int           `json:"completion_tokens"`
		Total      int           `json:"total_tokens"`
		Details    PromptDetails `json:"prompt_tokens_details"`
	}

	// PromptDetails tells what part of the prompt was cached.
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

// refused reads the body of an answer that is no stream.
func statusError(a *httpc.Response, status int) error {
	b := make([]byte, 512)
	n, _ := a.Body.Read(b)
	return &engine.Error{Sent: true, Status: status, Err: fmt.Errorf("chat: status %d: %s", status, bytes.TrimSpace(b[:n]))}
}

func sendError(err error) error {
	var e *httpc.Error
	return &engine.Error{Sent: !errors.As(err, &e) || e.Sent, Err: err}
}
