package server

import (
	"encoding/json"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/result"
)

// openBody is the request body that opens a program.
type openBody struct {
	Program  string `json:"program"`
	Agent    string `json:"agent"`
	Parent   string `json:"parent"`
	Priority int    `json:"priority"`
	Budget   int64  `json:"budget_tokens"`
}

// open opens a program.
func (s *Server) open(x *exchange) {
	var b openBody
	if err := json.Unmarshal(x.body, &b); err != nil {
		x.badRequest("the body is not a JSON object: %v", err)
		return
	}
	if problem := checkOpen(b); problem != "" {
		x.badRequest("%s", problem)
		return
	}
	x.assignID(b.Program, 0)
	if !s.requireRunner(x) {
		return
	}
	r := s.Runner.Open(s.base, call.Open{
		Account:  x.account,
		Program:  b.Program,
		Agent:    b.Agent,
		Parent:   b.Parent,
		Priority: b.Priority,
		Budget:   b.Budget,
	})
	x.answerProgram(b.Program, r)
}

// program ends a program or returns its history. The last path segment is the
// action; everything before it is the program's id, which may contain slashes.
func (s *Server) program(x *exchange) {
	rest := strings.TrimPrefix(x.path, pathPrograms+"/")
	cut := strings.LastIndexByte(rest, '/')
	if cut < 0 {
		x.notFound()
		return
	}
	id, verb := unescape(rest[:cut]), rest[cut+1:]
	if problem := checkProgram(id); problem != "" {
		x.badRequest("%s", problem)
		return
	}
	x.assignID(id, 0)
	if !s.requireRunner(x) {
		return
	}
	switch string(x.Method()) + " " + verb {
	case "GET history":
		s.history(x, id)
	case "POST finish":
		s.end(x, id, call.Finish)
	case "POST cancel":
		s.end(x, id, call.Cancel)
	default:
		x.notFound()
	}
}

func (s *Server) history(x *exchange, id string) {
	h, r := s.Runner.History(s.base, x.accountFilter(), id)
	if !r.OK() {
		x.answerError(r)
		return
	}
	x.json(fasthttp.StatusOK, h)
}

func (s *Server) end(x *exchange, id string, kind call.EndKind) {
	x.answerProgram(id, s.Runner.End(s.base, call.End{Account: x.account, Program: id, Kind: kind}))
}

// request answers with the history entry of one request.
func (s *Server) request(x *exchange) {
	if !s.requireRunner(x) {
		return
	}
	id := unescape(strings.TrimPrefix(x.path, pathRequests))
	h, r := s.Runner.Request(s.base, x.accountFilter(), id)
	if !r.OK() {
		x.answerError(r)
		return
	}
	x.json(fasthttp.StatusOK, h)
}

// answerProgram answers with the result's body, or with the program's id if the
// Runner returned no body.
func (x *exchange) answerProgram(program string, r result.Result) {
	switch {
	case !r.OK():
		x.answerError(r)
	case len(r.Body) > 0:
		x.raw(fasthttp.StatusOK, jsonType, r.Body)
	default:
		x.json(fasthttp.StatusOK, struct {
			Program string `json:"program"`
		}{program})
	}
}

// requireRunner reports whether there is a Runner, and refuses the request if not.
func (s *Server) requireRunner(x *exchange) bool {
	if s.Runner == nil {
		x.answerError(result.Refuse(result.CodeNotOwner, "this daemon is starting").WithRetryAfter(retryAfter))
	}
	return s.Runner != nil
}

func checkOpen(b openBody) (problem string) {
	switch problem := checkProgram(b.Program); {
	case b.Program == "":
		return "the field program is missing"
	case problem != "":
		return problem
	case b.Parent != "" && !call.ChildOf(b.Program, b.Parent):
		return "the id of a sub-agent must be its parent's id, a slash and a name"
	case b.Parent == "" && call.Root(b.Program) != b.Program:
		return "an id with a slash needs the field parent"
	case b.Budget < 0:
		return "budget_tokens is negative"
	}
	return ""
}
