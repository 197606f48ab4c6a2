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
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/plat/line"
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

	maxEvent  = 1 << 20 // bytes of one server-sent event
	finishCut = "cancelled"
)

type (
	// Client implements engine.Engine.
	Client struct {
		Line line.Line
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

var (
	prefixData = []byte("data:")
	done       = []byte("[DONE]")

	// ErrCut reports an answer that ended before its end was told.
	ErrCut = errors.New("chat: answer was cut off")
)

// Chat implements engine.Engine.
func (c *Client) Chat(ctx context.Context, r engine.Request, sink func(engine.Delta) error) (u engine.Usage, err error) {
	body, err := withFields(r)
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
	a, err := c.Line.Open(ctx, &req)
	if err != nil {
		return u, failed(err)
	}
	defer a.Close()
	if status := a.Header.StatusCode(); status != http.StatusOK {
		return u, refused(a, status)
	}
	u, err = receive(a, r.MaxTokens, sink)
	if ctx.Err() != nil {
		u.Finish = finishCut
	}
	return u, err
}

// receive reads the events up to the end mark. An answer without one was cut
// off, however whole it looks: the caller of this package must not take it for
// the engine's whole answer.
func receive(a *line.Answer, limit int, sink func(engine.Delta) error) (u engine.Usage, err error) {
	s := bufio.NewScanner(a.Body)
	s.Buffer(nil, maxEvent)
	for s.Scan() {
		data, ok := bytes.CutPrefix(s.Bytes(), prefixData)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, done) {
			return u, nil
		}
		if err := take(data, &u, limit, sink); err != nil {
			return u, &engine.Error{Sent: true, Status: http.StatusOK, Err: err}
		}
	}
	err = s.Err()
	if err == nil {
		err = ErrCut
	}
	return u, &engine.Error{Sent: true, Status: http.StatusOK, Err: a.Cause(err)}
}

func take(data []byte, u *engine.Usage, limit int, sink func(engine.Delta) error) error {
	var c Chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("chat: event is not JSON: %w", err)
	}
	if c.Usage != nil {
		u.Prompt, u.Cached, u.Output = c.Usage.Prompt, c.Usage.Details.Cached, c.Usage.Completion
	}
	if len(c.Choices) == 0 {
		return nil
	}
	choice := c.Choices[0]
	if choice.Finish != nil {
		u.Finish = *choice.Finish
	}
	if choice.Delta.Content == "" {
		return nil
	}
	tokens := choice.Delta.Tokens
	if tokens == 0 {
		tokens = engine.Tokens(len(choice.Delta.Content))
	}
	u.Output += tokens
	if limit > 0 && choice.Delta.Tokens > 0 && u.Output > limit {
		return fmt.Errorf("chat: engine sent %d tokens, limit %d", u.Output, limit)
	}
	return sink(engine.Delta{Text: choice.Delta.Content, Tokens: tokens})
}

// refused reads the body of an answer that is no stream.
func refused(a *line.Answer, status int) error {
	b := make([]byte, 512)
	n, _ := a.Body.Read(b)
	return &engine.Error{Sent: true, Status: status, Err: fmt.Errorf("chat: status %d: %s", status, bytes.TrimSpace(b[:n]))}
}

func failed(err error) error {
	var e *line.Error
	return &engine.Error{Sent: !errors.As(err, &e) || e.Sent, Err: err}
}
