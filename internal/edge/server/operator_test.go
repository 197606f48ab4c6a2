package server

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/conf/apply"
	"github.com/slaterock/slaterock/internal/conf/check"
	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/conf/head"
	"github.com/slaterock/slaterock/internal/prog/result"
)

// Two operators apply at the same time, or the store fails half-way. Each must be
// told which version is in force, or one overwrites the other's change unknowingly.
func TestApply(t *testing.T) {
	at := time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	tests := map[string]struct {
		from   string
		out    apply.Outcome
		err    error
		status int
		want   Applied
	}{
		"in force": {
			"4",
			apply.Outcome{Head: head.Head{Version: 5, By: "ops", At: at}},
			nil,
			200,
			Applied{Version: 5, By: "ops", At: at, Ran: result.Yes},
		},
		"another was first": {
			"4",
			apply.Outcome{},
			&apply.ConflictError{Base: 4, Found: 5, By: "other", At: at},
			409,
			Applied{Version: 5, Conflict: true, Base: 4, By: "other", At: at, Ran: result.No},
		},
		"faults": {
			"4",
			apply.Outcome{},
			file.Errors{check.Error{File: "configuration", Line: 3, Key: "shards", Message: "is missing"}},
			400,
			Applied{Base: 4, Faults: file.Errors{{File: "configuration", Line: 3, Key: "shards", Message: "is missing"}}, Ran: result.No},
		},
		"store down": {"4", apply.Outcome{}, &apply.NotAppliedError{Base: 4}, 503, Applied{Base: 4, Ran: result.No}},
		"nobody can tell": {
			"4",
			apply.Outcome{},
			&apply.UnknownError{Version: 5, Nonce: "n"},
			503,
			Applied{Base: 4, Ran: result.Unknown},
		},
		"from any": {"newest", apply.Outcome{Head: head.Head{Version: 9}}, nil, 200, Applied{Version: 9, Ran: result.Yes}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var got []byte
			st := startWith(t, file.Limits{}, func(s *Server) {
				s.Apply = func(_ context.Context, text []byte, from uint64) Applied {
					got = text
					is.True(from == 4 || from == apply.Newest)
					return NewApplied(from, tt.out, tt.err)
				}
			})
			res := st.send("POST", "/v1/config?from="+tt.from, operatorKey, "[system]", nil)
			is.Equal(res.status, tt.status)
			var a Applied
			is.NoErr(json.Unmarshal([]byte(res.body), &a))
			is.Equal(a.Message != "", tt.err != nil)
			a.Message = ""
			is.Equal(a, tt.want)
			is.Equal(string(got), "[system]")
		})
	}
}

// With many accounts the configuration is larger than callers' bodies may be. The
// operator must be able to apply it; all others keep the usual limit.
func TestLargeConfiguration(t *testing.T) {
	tests := map[string]struct {
		key    string
		status int
	}{
		"operator":  {operatorKey, 200},
		"account":   {accountKey, 413},
		"nobody":    {"", 413},
		"wrong key": {"nope", 413},
	}
	text := strings.Repeat("# a line of a configuration\n", 1000)
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			st := startWith(t, file.Limits{MaxBody: 1000}, func(s *Server) {
				s.Apply = func(_ context.Context, got []byte, from uint64) Applied {
					is.Equal(string(got), text)
					return NewApplied(from, apply.Outcome{Head: head.Head{Version: 5}}, nil)
				}
			})
			is.Equal(st.send("POST", "/v1/config?from=4", tt.key, text, nil).status, tt.status)
		})
	}
}

func TestOperatorPaths(t *testing.T) {
	drained := make(chan struct{}, 1)
	change := func(s *Server) {
		s.Status = func(context.Context) any { return map[string]int{"shards": 8} }
		s.Drain = func() { drained <- struct{}{} }
		s.Text = func() ([]byte, uint64) { return []byte("[system]"), 7 }
		s.Apply = func(context.Context, []byte, uint64) Applied { return Applied{} }
	}
	tests := map[string]struct {
		method, path string
		status       int
		body         string
	}{
		"status":       {"GET", "/v1/status", 200, `{"shards":8}`},
		"config":       {"GET", "/v1/config", 200, `{"version":7,"text":"[system]"}`},
		"drain":        {"POST", "/v1/drain", 202, `{"draining":true}`},
		"apply, bare":  {"POST", "/v1/config", 400, "bad_request"},
		"apply, wrong": {"POST", "/v1/config?from=-1", 400, "bad_request"},
		"wrong method": {"POST", "/v1/status", 404, "not_found"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			st := startWith(t, file.Limits{}, change)
			res := st.send(tt.method, tt.path, operatorKey, "", nil)
			is.Equal(res.status, tt.status)
			is.True(strings.Contains(res.body, tt.body))
			other := st.send(tt.method, tt.path, accountKey, "", nil)
			is.Equal(other.status, 404) // does not exist for other accounts
		})
	}
	t.Cleanup(func() { is.New(t).Equal(len(drained), 1) }) // after all subtests
}

func TestProbes(t *testing.T) {
	tests := map[string]struct {
		change func(*Server)
		path   string
		status int
	}{
		"alive":            {func(*Server) {}, "/healthz", 200},
		"alive, starting":  {func(s *Server) { s.Runner = nil }, "/healthz", 200},
		"ready":            {func(*Server) {}, "/readyz", 200},
		"starting":         {func(s *Server) { s.Runner = nil }, "/readyz", 503},
		"no configuration": {func(s *Server) { s.Ready = func() error { return errors.New("no configuration") } }, "/readyz", 503},
		"draining":         {func(s *Server) { s.StartDraining() }, "/readyz", 503},
		"no metrics":       {func(*Server) {}, "/metrics", 404},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			st := startWith(t, file.Limits{}, tt.change)
			is.New(t).Equal(st.send("GET", tt.path, "", "", nil).status, tt.status)
		})
	}
}
