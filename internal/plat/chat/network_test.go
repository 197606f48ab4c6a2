package chat_test

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/slaterock/slaterock/internal/fake/memnet"
	"github.com/slaterock/slaterock/internal/fake/model"
	"github.com/slaterock/slaterock/internal/fake/server"
	"github.com/slaterock/slaterock/internal/plat/chat"
	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/plat/httpc"
)

func TestNetwork(t *testing.T) {
	tests := map[string]func(f variant){
		// No process listens at the engine's address. No byte was sent, so the
		// request may safely go to another engine.
		"connection refused": func(f variant) {
			f.server.Close()
			var e *engine.Error
			f.True(errors.As(f.complete(f.ctx, request("r1", "p", "one")).err, &e))
			f.True(!e.Sent)
		},
		// The engine accepts the request and sends nothing. A timeout bounds the
		// wait for the first piece.
		"silent before the first piece": func(f variant) {
			f.fake.SetFault(model.Hang, 0)
			start := time.Now()
			a := f.complete(f.ctx, request("r1", "p", "one"))
			f.True(errors.Is(a.err, httpc.ErrStalled))
			f.Equal(time.Since(start), 30*time.Second)
		},
		// A connection stalls in the middle of an answer without being closed.
		// The idle timeout ends it, and the next request succeeds on a new
		// connection.
		"connection goes silent mid-stream": func(f variant) {
			f.fake.Output = 40
			time.AfterFunc(500*time.Millisecond, f.server.Blackhole)
			r := request("r1", "p", "one")
			a := f.complete(f.ctx, r)
			f.True(errors.Is(a.err, httpc.ErrStalled))
			f.True(len(a.at) > 0)
			f.NoErr(f.complete(f.ctx, r).err)
		},
		// The engine stalls in the middle of an answer with its connection open.
		// The idle timeout bounds the pause between pieces.
		"engine stalls mid-stream": func(f variant) {
			f.fake.SetFault(model.Stall, 0)
			start := time.Now()
			a := f.complete(f.ctx, request("r1", "p", "one"))
			f.True(errors.Is(a.err, httpc.ErrStalled))
			f.Equal(time.Since(start)-a.at[len(a.at)-1], 10*time.Second)
			sleep(time.Second)
			f.isIdle()
		},
		// All connections break at once, as when a machine fails.
		"connections cut mid-stream": func(f variant) {
			f.fake.Output = 40
			time.AfterFunc(500*time.Millisecond, f.server.CloseConns)
			a := f.complete(f.ctx, request("r1", "p", "one"))
			f.True(a.err != nil)
			f.True(!errors.Is(a.err, httpc.ErrStalled))
			f.True(len(a.at) > 0)
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { overNetwork(t, tt) })
	}
}

// parse serves a fixed body as a response and returns the client's result.
func parse(t *testing.T, body string, limit, resume int) (a outcome) {
	synctest.Test(t, func(t *testing.T) {
		var n memnet.Net
		h := server.HTTP{Handler: func(_ context.Context, w *fasthttp.RequestCtx) {
			w.SetContentType("text/event-stream")
			w.SetBodyStream(strings.NewReader(body), -1)
		}}
		h.Start(n.Listen(address))
		defer h.Close()
		c := &chat.Client{Endpoint: httpc.Endpoint{Address: address, Connect: n.Connect}}
		r := request("r1", "p", "one")
		r.MaxTokens, r.Resume = limit, resume
		a.usage, a.err = c.Chat(t.Context(), r, func(d engine.Delta) error {
			a.text += d.Text
			return nil
		})
	})
	return a
}

func TestEvents(t *testing.T) {
	const piece = `data: {"choices":[{"delta":{"content":"ab"}}]}` + "\n\n"
	const end = `data: {"choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\n"
	const usage = `data: {"choices":[],"usage":{"prompt_tokens":5,"completion_tokens":2,"prompt_tokens_details":{"cached_tokens":3}}}` + "\n\n"
	const mark = "data: [DONE]\n\n"
	whole := engine.Usage{Prompt: 5, Cached: 3, Output: 2, Finish: "stop"}
	tests := map[string]struct {
		body   string
		limit  int
		text   string
		usage  engine.Usage
		err    error
		resume int
	}{
		"usage in a last chunk of its own": {piece + piece + end + usage + mark, 0, "abab", whole, nil, 0},
		"comments and other fields":        {": ping\n\nevent: x\nid: 4\n" + piece + end + usage + mark, 0, "ab", whole, nil, 0},
		"no space and carriage returns":    {strings.ReplaceAll(strings.ReplaceAll(piece+end+usage+mark, "data: ", "data:"), "\n", "\r\n"), 0, "ab", whole, nil, 0},
		// The engine's process exits cleanly but too early: the response is
		// complete as HTTP, but without the end mark the answer is not.
		"end mark missing": {piece + piece, 0, "abab", engine.Usage{Output: 2}, chat.ErrTruncated, 0},
		// The engine ignores max_tokens. The answer ends at the limit, so
		// that the program's budget holds.
		"more than the limit":     {piece + piece + piece + end + mark, 2, "abab", engine.Usage{Output: 2, Finish: "length"}, nil, 0},
		"goes on after what came": {"id: 4\n" + piece + end + usage + mark, 0, "ab", whole, nil, 3},
		// The engine handles the resume as a new request. Its pieces would be
		// appended to those that the caller has of the first answer.
		"begins anew":      {"id: 1\n" + piece + end + usage + mark, 0, "", engine.Usage{}, chat.ErrNotResumed, 3},
		"counts no pieces": {piece + end + usage + mark, 0, "", engine.Usage{}, chat.ErrNotResumed, 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := parse(t, tt.body, tt.limit, tt.resume)
			is.True(errors.Is(a.err, tt.err))
			is.Equal(a.text, tt.text)
			is.Equal(a.usage, tt.usage)
		})
	}
}

// A caller limits its answer with the protocol's newer field. Sent together with
// slaterock's own limit it would take precedence at some engines, and the answer
// could exceed the program's budget.
func TestOnlyOneTokenLimitIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var n memnet.Net
		var got map[string]json.RawMessage
		h := server.HTTP{Handler: func(_ context.Context, w *fasthttp.RequestCtx) {
			is.NoErr(json.Unmarshal(w.PostBody(), &got))
			w.SetBodyString("data: [DONE]\n\n")
		}}
		h.Start(n.Listen(address))
		defer h.Close()
		c := &chat.Client{Endpoint: httpc.Endpoint{Address: address, Connect: n.Connect}}
		r := engine.Request{MaxTokens: 7, Body: []byte(`{"messages":[],"max_tokens":900,"max_completion_tokens":900,"seed":5}`)}
		_, err := c.Chat(t.Context(), r, func(engine.Delta) error { return nil })
		is.NoErr(err)
		is.Equal(string(got["max_tokens"]), "7")
		is.Equal(string(got["seed"]), "5")
		_, other := got["max_completion_tokens"]
		is.True(!other)
	})
}
