package server

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/prog/runner"
)

func TestPlainChat(t *testing.T) {
	is := is.New(t)
	st := start(t, file.Limits{})
	var got call.Call
	st.fake.call = func(ctx context.Context, c call.Call, sink runner.Sink) result.Result {
		got = c
		return respondWith("karibu", "kari", "bu")(ctx, c, sink)
	}
	res := st.send("POST", "/v1/chat/completions", accountKey, plainBody, callHeaders("round-7", "4"))
	body := res.body
	is.Equal(res.status, 200)
	is.True(strings.Contains(body, `"content":"karibu"`))
	is.True(strings.Contains(body, `"finish_reason":"stop"`))
	is.True(strings.Contains(body, `"total_tokens":5`))
	is.Equal(string(got.Body), plainBody) // unchanged
	is.Equal(got.Account, "mafuta")
	is.Equal(got.Number, 4)
	is.Equal(got.MaxTokens, 9)
	is.Equal(got.Model, "small")
	is.Equal(res.header.Get(HeaderRequest), got.Request)
	is.True(strings.Contains(got.Request, "-4-"))
}

func TestStreamChat(t *testing.T) {
	tests := map[string]struct {
		pieces []string // before the outcome
	}{
		"as it comes":            {pieces: []string{"kari", "bu"}},
		"recorded, replayed":     {},
		"joined after its start": {pieces: []string{"ka"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			st := start(t, file.Limits{})
			st.fake.call = respondWith("karibu", tt.pieces...)
			res := st.send("POST", "/v1/chat/completions", accountKey, streamBody, callHeaders("round-7", "0"))
			body := res.body
			is.Equal(res.header.Get("Content-Type"), "text/event-stream")
			is.Equal(joinDeltas(t, body), "karibu")
			is.True(strings.HasSuffix(body, "data: [DONE]\n\n"))
			is.True(strings.Contains(body, `"choices":[],"usage":{"prompt_tokens":3`))
			is.Equal(strings.Count(body, `"role":"assistant"`), 1)
		})
	}
}

// The engine fails in the middle of an answer, or the recorded answer differs from
// what was sent. If the stream ended with the usual marker, the caller would take
// the partial text for the complete answer.
func TestFailedStreamHasNoEndMarker(t *testing.T) {
	tests := map[string]struct {
		outcome result.Result
		code    string
	}{
		"failed":        {outcome: result.Failed(result.CodeUpstreamFailed, result.Yes, "engine gone"), code: "upstream_failed"},
		"other wording": {outcome: result.Result{Code: result.CodeOK, Body: []byte("jambo")}, code: "upstream_failed"},
		"shorter":       {outcome: result.Result{Code: result.CodeOK, Body: []byte("k")}, code: "upstream_failed"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			st := start(t, file.Limits{})
			st.fake.call = func(_ context.Context, _ call.Call, sink runner.Sink) result.Result {
				is.NoErr(sink("kari"))
				return tt.outcome
			}
			body := st.send("POST", "/v1/chat/completions", accountKey, streamBody, callHeaders("round-7", "0")).body
			is.True(strings.Contains(body, "event: error\ndata: {\"error\":{\"code\":\""+tt.code))
			is.True(!strings.Contains(body, "[DONE]"))
			is.True(!strings.Contains(body, `"finish_reason":"`))
		})
	}
}

// A caller disconnects in the middle of a long answer. Unless the server notices,
// the engine keeps generating an answer that no client reads.
func TestCallerDisconnects(t *testing.T) {
	is := is.New(t)
	st := start(t, file.Limits{})
	cancelled := make(chan error, 1)
	st.fake.call = func(ctx context.Context, _ call.Call, sink runner.Sink) result.Result {
		is.NoErr(sink("kari"))
		<-ctx.Done()
		cancelled <- ctx.Err()
		return result.Failed(result.CodeCancelled, result.Yes, "caller gone")
	}
	res := st.do("POST", "/v1/chat/completions", accountKey, streamBody, callHeaders("round-7", "0"))
	defer func() { _ = res.Body.Close() }()
	buf := make([]byte, 10)
	_, err := io.ReadFull(res.Body, buf)
	is.NoErr(err)
	is.NoErr(res.Body.Close())
	for {
		select {
		case st.heartbeats <- time.Time{}: // heartbeats go out until one can't be written
		case err := <-cancelled:
			is.True(errors.Is(err, context.Canceled))
			return
		}
	}
}

// A caller disconnects, and fasthttp reuses its buffers for other requests while
// the call's end is being recorded. If the call referred to the buffer instead of
// a copy, one caller's prompt would get into another's history.
func TestBodyIsCopied(t *testing.T) {
	is := is.New(t)
	st := start(t, file.Limits{})
	cancelled, proceed, recorded := make(chan struct{}), make(chan struct{}), make(chan string, 1)
	st.fake.call = func(ctx context.Context, c call.Call, sink runner.Sink) result.Result {
		if c.Program != "p" {
			return respondWith("karibu")(ctx, c, sink)
		}
		is.NoErr(sink("kari"))
		<-ctx.Done()
		close(cancelled)
		<-proceed
		recorded <- string(c.Body)
		return result.Failed(result.CodeCancelled, result.Yes, "caller gone")
	}
	res := st.do("POST", "/v1/chat/completions", accountKey, streamBody, callHeaders("p", "0"))
	is.NoErr(res.Body.Close())
	otherBody := strings.ReplaceAll(streamBody, "hi", "yo")
	for connected := true; connected; {
		select {
		case st.heartbeats <- time.Time{}: // heartbeats go out until one can't be written
		case <-cancelled:
			connected = false
		}
	}
	for range 20 {
		st.send("POST", "/v1/chat/completions", accountKey, otherBody, callHeaders("q", "0"))
	}
	close(proceed)
	is.Equal(<-recorded, streamBody)
}

// A call is queued for long. Without heartbeats an intermediary may drop the idle
// connection.
func TestHeartbeatWhileWaiting(t *testing.T) {
	is := is.New(t)
	st := start(t, file.Limits{})
	proceed := make(chan struct{})
	st.fake.call = func(ctx context.Context, c call.Call, sink runner.Sink) result.Result {
		<-proceed
		return respondWith("karibu")(ctx, c, sink)
	}
	go func() {
		st.heartbeats <- time.Time{}
		st.heartbeats <- time.Time{}
		close(proceed)
	}()
	body := st.send("POST", "/v1/chat/completions", accountKey, streamBody, callHeaders("round-7", "0")).body
	is.Equal(strings.Count(body, ": waiting\n\n"), 2)
	is.Equal(joinDeltas(t, body), "karibu")
}

func TestCallWithoutProgram(t *testing.T) {
	is := is.New(t)
	st := start(t, file.Limits{})
	st.fake.call = respondWith("karibu")
	res := st.send("POST", "/v1/chat/completions", accountKey, plainBody, nil)
	is.Equal(res.status, 200)
	opened, ended := <-st.fake.opens, <-st.fake.ends
	is.Equal(opened.Account, "mafuta")
	is.Equal(opened.Program, res.header.Get(HeaderProgram))
	is.Equal(ended, call.End{Account: "mafuta", Program: opened.Program, Kind: call.Finish})
}

func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		method, path, key, body string
		headers                 map[string]string
		status                  int
		code                    string
	}{
		"no key":             {"POST", "/v1/chat/completions", "", plainBody, nil, 401, "unauthorized"},
		"wrong key":          {"GET", "/v1/status", "nope", "", nil, 401, "unauthorized"},
		"no call number":     {"POST", "/v1/chat/completions", accountKey, plainBody, map[string]string{HeaderProgram: "p"}, 400, "bad_request"},
		"no program":         {"POST", "/v1/chat/completions", accountKey, plainBody, map[string]string{HeaderCall: "0"}, 400, "bad_request"},
		"negative number":    {"POST", "/v1/chat/completions", accountKey, plainBody, callHeaders("p", "-1"), 400, "bad_request"},
		"no JSON":            {"POST", "/v1/chat/completions", accountKey, "{", callHeaders("p", "0"), 400, "bad_request"},
		"service, no number": {"POST", "/v1/services/receipts/issue", accountKey, "{}", nil, 400, "bad_request"},
		"body too large":     {"POST", "/v1/chat/completions", accountKey, strings.Repeat("x", 2000), callHeaders("p", "0"), 413, "bad_request"},
		"headers too large":  {"GET", "/v1/entries", accountKey, "", map[string]string{"X": strings.Repeat("x", 20<<10)}, 431, "bad_request"},
		"other's history":    {"GET", "/v1/programs/p/history", "key-of-kexanh", "", nil, 404, "not_found"},
		"other's request":    {"GET", "/v1/requests/r", "key-of-kexanh", "", nil, 404, "not_found"},
		"operator only":      {"GET", "/v1/status", accountKey, "", nil, 404, "not_found"},
		"open, no program":   {"POST", "/v1/programs", accountKey, "{}", nil, 400, "bad_request"},
		"open, foreign id":   {"POST", "/v1/programs", accountKey, `{"program":"a/b","parent":"c"}`, nil, 400, "bad_request"},
		"unknown path":       {"GET", "/v2/x", accountKey, "", nil, 404, "not_found"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			st := start(t, file.Limits{MaxBody: 1000})
			res := st.send(tt.method, tt.path, tt.key, tt.body, tt.headers)
			body := res.body
			is.Equal(res.status, tt.status)
			is.True(strings.Contains(body, `"code":"`+tt.code+`"`))
			is.True(strings.Contains(body, `"ran":"no"`))
			is.True(res.header.Get(HeaderRequest) != "")
		})
	}
}

// More calls arrive than a daemon may have in flight. A queued call would be
// delayed; a refused one can be sent to another daemon at once.
func TestTooManyCalls(t *testing.T) {
	is := is.New(t)
	st := start(t, file.Limits{MaxCalls: 1})
	proceed := make(chan struct{})
	st.fake.call = func(ctx context.Context, c call.Call, sink runner.Sink) result.Result {
		is.NoErr(sink("kari"))
		<-proceed
		return respondWith("karibu")(ctx, c, sink)
	}
	first := st.do("POST", "/v1/chat/completions", accountKey, streamBody, callHeaders("p", "0"))
	defer func() { _ = first.Body.Close() }()
	second := st.send("POST", "/v1/chat/completions", accountKey, plainBody, callHeaders("q", "0"))
	is.Equal(second.status, 429)
	is.Equal(second.header.Get("Retry-After"), "1")
	is.True(strings.Contains(second.body, `"ran":"no"`))
	close(proceed)
	is.Equal(joinDeltas(t, readBody(t, first)), "karibu")
}

func TestService(t *testing.T) {
	is := is.New(t)
	st := start(t, file.Limits{})
	var got call.Call
	st.fake.call = func(_ context.Context, c call.Call, _ runner.Sink) result.Result {
		got = c
		return result.Result{Code: result.CodeOK, Ran: result.Yes, Status: 201, ContentType: "text/csv", Body: []byte("a,b")}
	}
	res := st.send("POST", "/v1/services/receipts/issue/now?copy=2", accountKey, "kg=4", callHeaders("round-7", "1"))
	is.Equal(res.body, "a,b")
	is.Equal(res.status, 201)
	is.Equal(res.header.Get("Content-Type"), "text/csv")
	is.Equal(got.Service, "receipts")
	is.Equal(got.Path, "/issue/now?copy=2")
	is.Equal(got.Kind, call.Service)
}

func TestProgramPaths(t *testing.T) {
	is := is.New(t)
	st := start(t, file.Limits{})
	is.Equal(st.send("POST", "/v1/programs", accountKey, `{"program":"a/b","parent":"a","budget_tokens":5}`, nil).status, 200)
	is.Equal(<-st.fake.opens, call.Open{Account: "mafuta", Program: "a/b", Parent: "a", Budget: 5})
	is.Equal(st.send("POST", "/v1/programs/a%2Fb/finish", accountKey, "", nil).status, 200)
	is.Equal(<-st.fake.ends, call.End{Account: "mafuta", Program: "a/b", Kind: call.Finish})
	is.Equal(st.send("POST", "/v1/programs/a/b/cancel", accountKey, "", nil).status, 200)
	is.Equal(<-st.fake.ends, call.End{Account: "mafuta", Program: "a/b", Kind: call.Cancel})
	history := st.send("GET", "/v1/programs/a/b/history", operatorKey, "", nil)
	is.True(strings.Contains(history.body, `"program":"a/b"`))
	is.Equal(<-st.fake.accountFilters, "") // the operator may read all accounts
}
