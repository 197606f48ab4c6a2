package server

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/valyala/fasthttp"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/edge/chat"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/result"
)

const (
	maxProgramID      = 200 // bytes of a program's id
	singleCallPrefix  = "once-"
	singleCallIDBytes = 12
	retryAfter        = time.Second
	maxCallsKey       = "max_calls"
)

type (
	// flight is a call under way, seen from the goroutine that answers. Its
	// events come in order, the last is ended.
	inflightCall struct {
		ctx    context.Context //nolint:containedctx // ends the call when its caller is gone
		cancel context.CancelFunc
		events chan event
	}

	event interface{ event() }

	// piece is a part of the answer's text.
	piece struct{ text string }

	// ended is the committed outcome.
	ended struct{ result result.Result }
)

func (piece) event() {}
func (ended) event() {}

// chat runs a chat completion.
func (s *Server) chat(x *exchange) {
	x.telemetry.path = pathChat
	c, problem := x.call(call.Model)
	if problem != "" {
		x.badRequest("%s", problem)
		return
	}
	req, err := chat.Parse(c.Body)
	if err != nil {
		x.badRequest("%v", err)
		return
	}
	if req.Model == "" {
		req.Model = onlyModel(s.config())
	}
	c.Model, c.MaxTokens = req.Model, req.MaxTokens
	singleCall := c.Program == ""
	if singleCall {
		c.Program = newSingleCallID()
	}
	s.setCall(x, &c)
	f, ok := s.launch(c, singleCall)
	if !ok {
		x.refuseOverloaded()
		return
	}
	answer := chat.Answer{ID: c.Request, Model: req.Model, Created: x.start.Unix(), Usage: req.Usage}
	if req.Stream {
		x.telemetry.path = pathStream
		s.stream(x, f, answer)
		return
	}
	r := f.outcome()
	if !r.OK() {
		x.refuse(r)
		return
	}
	x.outcome = r
	x.raw(fasthttp.StatusOK, jsonType, answer.Completion(r))
}

// service runs a call to a plain service. It needs a program and a number,
// because without them a repeat could not be told from a new call, and a call
// that may not be repeated would run twice.
func (s *Server) service(x *exchange) {
	x.telemetry.path = pathService
	c, problem := x.call(call.Service)
	if problem == "" && c.Program == "" {
		problem = "a call to a service needs the header " + HeaderProgram
	}
	if problem != "" {
		x.badRequest("%s", problem)
		return
	}
	name, rest, _ := strings.Cut(strings.TrimPrefix(x.path, pathServices), "/")
	c.Service, c.Path = unescape(name), "/"+rest
	if query := x.URI().QueryString(); len(query) > 0 {
		c.Path += "?" + string(query)
	}
	s.setCall(x, &c)
	f, ok := s.launch(c, false)
	if !ok {
		x.refuseOverloaded()
		return
	}
	r := f.outcome()
	if !r.OK() {
		x.refuse(r)
		return
	}
	x.outcome = r
	x.raw(orDefault(r.Status, fasthttp.StatusOK), r.ContentType, r.Body)
}

// call reads what all kinds of calls have in common. The body is copied,
// because the library uses its memory again once the request is answered.
func (x *exchange) call(kind call.Kind) (c call.Call, problem string) {
	c = call.Call{
		Account:     x.account,
		Program:     string(x.Request.Header.Peek(HeaderProgram)),
		Kind:        kind,
		Method:      string(x.Method()),
		ContentType: string(x.Request.Header.ContentType()),
		Body:        append([]byte(nil), x.Request.Body()...),
	}
	number := string(x.Request.Header.Peek(HeaderCall))
	if c.Program == "" && number == "" {
		return c, ""
	}
	if problem = checkProgram(c.Program); problem != "" {
		return c, problem
	}
	if number == "" {
		return c, "the header " + HeaderCall + " is missing: number the calls of a program 0, 1, 2 ..."
	}
	n, err := strconv.Atoi(number)
	if err != nil || n < 0 {
		return c, "the header " + HeaderCall + " is not a number from 0 upwards"
	}
	c.Number = n
	return c, ""
}

// begin names the request after its program and call.
func (s *Server) setCall(x *exchange, c *call.Call) {
	x.assignID(c.Program, c.Number)
	x.Response.Header.Set(HeaderProgram, c.Program)
	x.telemetry.Kind, x.telemetry.Program, x.telemetry.Call = c.Kind, c.Program, c.Number
	c.Request = x.id.String()
	c.TraceParent = x.telemetry.span.Traceparent()
}

// launch starts the call, or reports that too many are under way.
func (s *Server) launch(c call.Call, singleCall bool) (f *inflightCall, ok bool) {
	s.resizePool()
	f = &inflightCall{events: make(chan event)}
	f.ctx, f.cancel = context.WithCancel(s.base)
	s.calls.Add(1)
	err := s.pool.Submit(func() {
		defer s.calls.Done()
		defer s.addInFlight(-1)
		s.addInFlight(1)
		s.run(f, c, singleCall)
	})
	if err != nil {
		s.calls.Done()
		f.cancel()
	}
	return f, err == nil
}

// tune puts the configured bound on calls in force.
func (s *Server) resizePool() {
	if n := lower(s.config().Limits.MaxCalls, s.MaxCalls, DefaultMaxCalls); n != s.pool.Cap() {
		s.pool.Tune(n)
	}
}

func (s *Server) run(f *inflightCall, c call.Call, singleCall bool) {
	if s.Runner == nil {
		f.end(result.Refuse(result.CodeNotOwner, "this daemon is starting").WithRetryAfter(retryAfter))
		return
	}
	if !singleCall {
		f.end(s.Runner.Call(f.ctx, c, f.sink))
		return
	}
	opened := s.Runner.Open(f.ctx, call.Open{Account: c.Account, Program: c.Program})
	if !opened.OK() {
		f.end(opened)
		return
	}
	r := s.Runner.Call(f.ctx, c, f.sink)
	f.end(r)
	s.endSingleCall(c, r)
}

// endOnce ends the program that was opened for one call. The caller has its
// answer by then and does not wait; a program that can't be ended now expires.
func (s *Server) endSingleCall(c call.Call, r result.Result) {
	ctx, cancel := context.WithTimeout(s.base, endTimeout)
	defer cancel()
	kind := call.Finish
	if !r.OK() {
		kind = call.Cancel
	}
	s.Runner.End(ctx, call.End{Account: c.Account, Program: c.Program, Kind: kind})
}

func (f *inflightCall) sink(text string) error {
	return f.send(piece{text})
}

// end hands over the outcome. Where nobody waits for it any more it is in the
// history all the same.
func (f *inflightCall) end(r result.Result) {
	_ = f.send(ended{r})
}

// send hands an event to the goroutine that answers, which may be gone.
func (f *inflightCall) send(e event) error {
	select {
	case f.events <- e:
		return nil
	case <-f.ctx.Done():
		return f.ctx.Err()
	}
}

// outcome waits for the end of the call and leaves its pieces aside: the
// result has the whole answer.
func (f *inflightCall) outcome() result.Result {
	defer f.cancel()
	for {
		select {
		case e := <-f.events:
			if e, ok := e.(ended); ok {
				return e.result
			}
		case <-f.ctx.Done():
			return stoppedResult()
		}
	}
}

// cutOff is told to a caller whose call was still under way when the time for
// a graceful stop was over.
func stoppedResult() result.Result {
	return result.Failed(result.CodeUnknown, result.Unknown, "the daemon stopped; repeat the call with the same number")
}

// callerGone is logged for a stream that its caller left. What becomes of the
// call is in the history.
func disconnectedResult() result.Result {
	return result.Failed(result.CodeCancelled, result.Unknown, "the caller is gone")
}

func (x *exchange) refuseOverloaded() {
	r := result.Refuse(result.CodeOverloaded, "this daemon has as many calls under way as %s allows", maxCallsKey)
	x.refuse(r.WithRetryAfter(retryAfter))
}

func checkProgram(id string) (problem string) {
	switch {
	case id == "":
		return "the header " + HeaderProgram + " is missing"
	case len(id) > maxProgramID:
		return "the program's id is longer than " + strconv.Itoa(maxProgramID) + " bytes"
	case strings.HasPrefix(id, "/") || strings.HasSuffix(id, "/") || strings.Contains(id, "//"):
		return "the program's id has an empty part"
	case strings.ContainsFunc(id, func(r rune) bool { return !unicode.IsPrint(r) || r == ' ' }):
		return "the program's id has a character that is not printable"
	}
	return ""
}

func newSingleCallID() string {
	var b [singleCallIDBytes]byte
	_, _ = rand.Read(b[:]) // never fails, by its contract
	return singleCallPrefix + hex.EncodeToString(b[:])
}

// onlyModel is the one model that is declared, so that an answer can name it
// where its request did not; empty if there are several.
func onlyModel(f file.File) string {
	if len(f.Models) != 1 {
		return ""
	}
	for name := range f.Models {
		return name
	}
	return ""
}
