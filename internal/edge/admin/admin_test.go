package admin

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/conf/apply"
	"github.com/slaterock/slaterock/internal/conf/check"
	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/conf/head"
	"github.com/slaterock/slaterock/internal/edge/client"
	"github.com/slaterock/slaterock/internal/edge/report"
	"github.com/slaterock/slaterock/internal/edge/server"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/prog/runner"
)

const key = "ops.secret"

// fakeRunner is a Runner with the history of one program.
type fakeRunner struct{ runner.Runner }

func (fakeRunner) History(_ context.Context, _, program string) (hist.History, result.Result) {
	if program != "round-7/receipts" {
		return hist.History{}, result.Refuse(result.CodeNotFound, "no program %s", program)
	}
	h := hist.History{Program: program, Account: "mafuta", Calls: []hist.Call{{Request: "r-1", Kind: call.Model, Target: "chat"}}}
	return h, result.Result{Code: result.CodeOK}
}

func (p fakeRunner) Request(ctx context.Context, account, _ string) (hist.History, result.Result) {
	return p.History(ctx, account, "round-7/receipts")
}

// start runs a daemon's HTTP server and returns an Admin for it and its output.
func start(t *testing.T, change func(*server.Server)) (Admin, *strings.Builder) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := &server.Server{
		Runner:  fakeRunner{},
		Account: func(k string) (string, bool, bool) { return "ops", true, k == key },
	}
	change(s)
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	t.Cleanup(func() {
		is.New(t).NoErr(s.Shutdown(context.Background()))
		is.New(t).NoErr(<-done)
	})
	out := &strings.Builder{}
	return Admin{Client: client.Client{Address: ln.Addr().String(), Key: key}, Out: out}, out
}

func TestTextOutput(t *testing.T) {
	drained := make(chan struct{}, 1)
	change := func(s *server.Server) {
		s.Status = func(context.Context) any { return report.Status{Daemon: "vm1", Shards: 1} }
		s.Drain = func() { drained <- struct{}{} }
		s.Text = func() ([]byte, uint64) { return []byte("[system]\n"), 7 }
	}
	tests := map[string]struct {
		do   func(context.Context, Admin) error
		want string
	}{
		"status":  {func(ctx context.Context, a Admin) error { return a.Status(ctx) }, "shard 0 has no owner"},
		"history": {func(ctx context.Context, a Admin) error { return a.History(ctx, "round-7/receipts") }, "program round-7/receipts of mafuta"},
		"request": {func(ctx context.Context, a Admin) error { return a.Request(ctx, "r-1") }, "request        r-1"},
		"drain":   {func(ctx context.Context, a Admin) error { return a.Drain(ctx) }, "drains"},
		"config":  {func(ctx context.Context, a Admin) error { return a.Show(ctx) }, "# version 7; apply a change of it with --from 7\n[system]"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, out := start(t, change)
			is.NoErr(tt.do(t.Context(), a))
			is.True(strings.Contains(out.String(), tt.want))
		})
	}
	is.New(t).Equal(len(drained), 1)
}

func TestJSON(t *testing.T) {
	is := is.New(t)
	a, out := start(t, func(*server.Server) {})
	a.JSON = true
	is.NoErr(a.Request(t.Context(), "r-1"))
	var h hist.History
	is.NoErr(json.Unmarshal([]byte(out.String()), &h))
	is.Equal(h.Calls[0].Request, "r-1")
}

func TestFailures(t *testing.T) {
	tests := map[string]struct {
		key     string
		program string
		want    string
	}{
		"no such program": {key, "round-8", "not_found: no program round-8"},
		"wrong key":       {"ops.wrong", "round-7/receipts", "give it with --key or SLATEROCK_KEY"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, out := start(t, func(*server.Server) {})
			a.Client.Key = tt.key
			err := a.History(t.Context(), tt.program)
			is.True(err != nil && strings.Contains(err.Error(), tt.want))
			is.Equal(out.String(), "")
		})
	}
	a := Admin{Client: client.Client{Address: "127.0.0.1:1"}}
	is.New(t).True(a.Status(t.Context()) != nil) // connection refused
}

// Two operators apply at once, a file has errors, or the store stops answering. The
// output must say which version is in force and what to do next.
func TestApply(t *testing.T) {
	at := time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	fault := check.Error{File: "configuration", Line: 3, Section: "system", Key: "shards", Message: "is missing"}
	tests := map[string]struct {
		out  apply.Outcome
		err  error
		want string
		ok   bool
	}{
		"in force":    {apply.Outcome{Head: head.Head{Version: 8}}, nil, "applied: version 8 is in force", true},
		"unchanged":   {apply.Outcome{Head: head.Head{Version: 8, By: "eve"}, Unchanged: true}, nil, "version 8 has this text already: applied by eve", true},
		"conflict":    {apply.Outcome{}, &apply.ConflictError{Base: 7, Found: 8, By: "eve", At: at}, "you read version 7, and version 8 is in force, applied by eve", false},
		"faults":      {apply.Outcome{}, file.Errors{fault}, "system.ini:3: [system] shards: is missing", false},
		"store down":  {apply.Outcome{}, &apply.NotAppliedError{Base: 7}, "the version in force is the one before", false},
		"lost answer": {apply.Outcome{}, &apply.UnknownError{Version: 8, Nonce: "n"}, "it is not known whether version 8 was taken", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "system.ini")
			is.NoErr(os.WriteFile(path, []byte("[system]\n"), 0o600))
			a, out := start(t, func(s *server.Server) {
				s.Apply = func(_ context.Context, text []byte, from uint64) server.Applied {
					is.Equal(string(text), "[system]\n")
					is.Equal(from, uint64(7))
					return server.NewApplied(from, tt.out, tt.err)
				}
			})
			err := a.Apply(t.Context(), path, "7")
			is.Equal(err == nil, tt.ok)
			is.True(tt.ok || errors.Is(err, ErrNotConfirmed))
			is.True(strings.Contains(out.String(), tt.want))
		})
	}
}
