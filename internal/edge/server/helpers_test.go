package server

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/edge/locate"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/prog/runner"
)

const (
	accountKey  = "key-of-mafuta"
	operatorKey = "key-of-operator"
)

type (
	// fake is a Runner with a scripted Call. It sends the arguments of the other
	// methods to channels.
	fake struct {
		call           func(ctx context.Context, c call.Call, sink runner.Sink) result.Result
		opens          chan call.Open
		ends           chan call.End
		accountFilters chan string
	}

	response struct {
		status int
		header http.Header
		body   string
	}

	testServer struct {
		*Server
		t          *testing.T
		client     *http.Client
		fake       *fake
		heartbeats chan time.Time
		closed     chan struct{} // closed with the listener
	}

	// closeNotifier is a listener whose Close also closes a channel.
	closeNotifier struct {
		*fasthttputil.InmemoryListener
		closed chan struct{}
	}
)

func (f *fake) Open(_ context.Context, o call.Open) result.Result {
	f.opens <- o
	return result.Result{Code: result.CodeOK, Ran: result.Yes}
}

func (f *fake) Call(ctx context.Context, c call.Call, sink runner.Sink) result.Result {
	return f.call(ctx, c, sink)
}

func (f *fake) End(_ context.Context, e call.End) result.Result {
	f.ends <- e
	return result.Result{Code: result.CodeOK, Ran: result.Yes}
}

func (f *fake) History(_ context.Context, account, program string) (hist.History, result.Result) {
	f.accountFilters <- account
	if account != "mafuta" && account != "" {
		return hist.History{}, result.Refuse(result.CodeNotFound, "no program %s", program)
	}
	return hist.History{Program: program, Account: "mafuta"}, result.Result{Code: result.CodeOK}
}

func (f *fake) Request(ctx context.Context, account, request string) (hist.History, result.Result) {
	return f.History(ctx, account, request)
}

func accounts(key string) (name string, isOperator, ok bool) {
	switch key {
	case accountKey:
		return "mafuta", false, true
	case "key-of-kexanh":
		return "kexanh", false, true
	case operatorKey:
		return "ops", true, true
	}
	return "", false, false
}

func (d closeNotifier) Close() error {
	close(d.closed)
	return d.InmemoryListener.Close()
}

// start runs a server on an in-memory listener.
func start(t *testing.T, limits file.Limits) *testServer {
	t.Helper()
	return startWith(t, limits, func(*Server) {})
}

func startWith(t *testing.T, limits file.Limits, change func(*Server)) *testServer {
	t.Helper()
	t.Parallel() // fasthttp takes 0.1 s to shut down
	f := &fake{opens: make(chan call.Open, 1), ends: make(chan call.End, 1), accountFilters: make(chan string, 1)}
	st := &testServer{t: t, fake: f, heartbeats: make(chan time.Time), closed: make(chan struct{})}
	st.Server = &Server{
		Runner:  f,
		Account: accounts,
		Config:  func() file.File { return file.File{Limits: limits} },
		Entries: func(program string) locate.Answer {
			return locate.Answer{Entries: []locate.Entry{{Address: "127.0.0.1:1", FailureDomain: program}}, TTLSeconds: 5}
		},
		ticker: func(time.Duration) (<-chan time.Time, func()) { return st.heartbeats, func() {} },
	}
	change(st.Server)
	ln := closeNotifier{InmemoryListener: fasthttputil.NewInmemoryListener(), closed: st.closed}
	served := make(chan error, 1)
	go func() { served <- st.Serve(ln) }()
	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return ln.Dial() }}
	st.client = &http.Client{Transport: transport}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		if err := st.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return st
}

// do sends a request and returns the response with its body unread.
func (st *testServer) do(method, path, key, body string, headers map[string]string) *http.Response {
	st.t.Helper()
	req, err := http.NewRequest(method, "http://slaterock"+path, strings.NewReader(body))
	if err != nil {
		st.t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	res, err := st.client.Do(req)
	if err != nil {
		st.t.Fatal(err)
	}
	return res
}

// send sends a request and returns the complete response.
func (st *testServer) send(method, path, key, body string, headers map[string]string) response {
	st.t.Helper()
	res := st.do(method, path, key, body, headers)
	defer func() { _ = res.Body.Close() }()
	return response{status: res.StatusCode, header: res.Header, body: readBody(st.t, res)}
}

func readBody(t *testing.T, res *http.Response) string {
	t.Helper()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func respondWith(body string, pieces ...string) func(context.Context, call.Call, runner.Sink) result.Result {
	return func(_ context.Context, _ call.Call, sink runner.Sink) result.Result {
		for _, p := range pieces {
			if err := sink(p); err != nil {
				return result.Failed(result.CodeCancelled, result.Yes, "caller gone")
			}
		}
		return result.Result{Code: result.CodeOK, Ran: result.Yes, Body: []byte(body), Finish: "stop", Prompt: 3, Output: 2}
	}
}

const (
	plainBody  = `{"model":"small","messages":[{"role":"user","content":"hi"}],"max_tokens":9}`
	streamBody = `{"messages":[{"role":"user","content":"hi"}],"stream":true,"stream_options":{"include_usage":true}}`
)

func callHeaders(program, number string) map[string]string {
	return map[string]string{HeaderProgram: program, HeaderCall: number}
}

// joinDeltas returns the concatenated text of a stream's chunks.
func joinDeltas(t *testing.T, body string) string {
	t.Helper()
	var b strings.Builder
	for line := range strings.Lines(body) {
		_, rest, found := strings.Cut(line, `"delta":{"content":"`)
		if found {
			piece, _, _ := strings.Cut(rest, `"`)
			b.WriteString(piece)
		}
	}
	return b.String()
}
