package model

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/slaterock/slaterock/internal/fake/server"
	"github.com/slaterock/slaterock/internal/plat/chat"
	"github.com/slaterock/slaterock/internal/plat/engine"
)

type (
	// chatBody is the part of a request's body that the engine reads.
	chatBody struct {
		Model     string `json:"model"`
		MaxTokens int    `json:"max_tokens"`
		User      string `json:"user"`
		Priority  int    `json:"priority"`
	}
)

// Serve serves the engine on the listener, in the protocol of package chat.
func Serve(ln net.Listener, e *Engine) *server.HTTP {
	h := &server.HTTP{Handler: e.serve}
	h.Start(ln)
	return h
}

func (e *Engine) serve(ctx context.Context, w *fasthttp.RequestCtx) {
	switch string(w.Path()) {
	case chat.PathChat:
		e.serveChat(ctx, w)
	case chat.PathLoad:
		l, err := e.Load(ctx)
		writeJSON(w, l, err)
	case chat.PathEvents:
		after, _ := strconv.ParseUint(string(w.QueryArgs().Peek("after")), 10, 64)
		events, err := e.Events(ctx, after)
		writeJSON(w, events, err)
	case chat.PathHeld:
		held, err := e.Held(ctx)
		writeJSON(w, held, err)
	case chat.PathOrder:
		var o engine.Order
		err := json.Unmarshal(w.PostBody(), &o)
		if err == nil {
			err = e.Order(ctx, o)
		}
		writeJSON(w, struct{}{}, err)
	default:
		w.SetStatusCode(http.StatusNotFound)
	}
}

func (e *Engine) serveChat(ctx context.Context, w *fasthttp.RequestCtx) {
	r, ok := parseRequest(w)
	if !ok {
		w.Error("not a chat request", http.StatusBadRequest)
		return
	}
	s := &stream{deltas: make(chan engine.Delta), id: r.ID, model: r.Model, n: r.Resume}
	go s.run(ctx, e, r)
	err := s.next()
	if err == nil || errors.Is(err, io.EOF) {
		w.SetContentType("text/event-stream")
		w.SetBodyStream(s, -1)
		return
	}
	if status := statusOf(err); status != 0 {
		w.Error(err.Error(), status)
		return
	}
	server.Abort(w)
}

func parseRequest(w *fasthttp.RequestCtx) (r engine.Request, ok bool) {
	var f chatBody
	body := slices.Clone(w.PostBody())
	if json.Unmarshal(body, &f) != nil {
		return r, false
	}
	resume, _ := strconv.Atoi(string(w.Request.Header.Peek(chat.HeaderResume)))
	return engine.Request{
		ID:          string(w.Request.Header.Peek(chat.HeaderRequest)),
		Program:     f.User,
		Model:       f.Model,
		Body:        body,
		Priority:    f.Priority,
		MaxTokens:   f.MaxTokens,
		TraceParent: string(w.Request.Header.Peek(chat.HeaderTrace)),
		Resume:      resume,
	}, true
}

func writeJSON(w *fasthttp.RequestCtx, v any, err error) {
	if err != nil {
		w.Error(err.Error(), max(statusOf(err), http.StatusBadRequest))
		return
	}
	body, _ := json.Marshal(v)
	w.SetContentType("application/json")
	w.SetBody(body)
}

// statusOf returns the HTTP status for the error, 503 for a refused request, or 0
// if the connection is to be closed without a response.
func statusOf(err error) int {
	var e *engine.Error
	if !errors.As(err, &e) {
		return 0
	}
	if !e.Sent {
		return http.StatusServiceUnavailable
	}
	return e.Status
}
