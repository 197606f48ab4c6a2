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
	maxProgramID      = 200 // bytes
	singleCallPrefix  = "once-"
	singleCallIDBytes = 12
	retryAfter        = time.Second
	maxCallsKey       = "max_calls"
)

type (
	// inflightCall connects a call that runs in the pool to the goroutine that
	// writes the response. Events arrive in order; the last one is ended.
	inflightCall struct {
		ctx    context.Context //nolint:containedctx // cancelled when a stream's caller disconnects or the server stops
		cancel context.CancelFunc
		events chan event
	}

	event interface{ event() }

	// piece is a fragment of the answer's text.
	piece struct{ text string }

	// ended carries the outcome of the call. If it is OK, it is committed.
	ended struct{ result result.Result }
)

func (piece) event() {}
func (ended) event() {}

// chat answers a chat completion request, as one object or as a stream.
func (s *Server) chat(x *exchange) {
	x.telemetry.path = tagPathChat
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
	s.identifyCall(x, &c)
	f, ok := s.launch(c, singleCall)
	if !ok {
		x.refuseOverloaded()
		return
	}
	answer := chat.Answer{ID: c.Request, Model: req.Model, Created: x.start.Unix(), Usage: req.Usage}
	if req.Stream {
		x.telemetry.path = tagPathStream
		s.stream(x, f, answer)
		return
	}
	r := f.outcome()
	if !r.OK() {
		x.answerError(r)
		return
	}
	x.outcome = r
	x.raw(fasthttp.StatusOK, jsonType, answer.Completion(r))
}

// service runs a call to a plain service. It requires a program and a call
// number: without them a retry could not be distinguished from a new call, and a
// non-idempotent call would run twice.
func (s *Server) service(x *exchange) {
	x.telemetry.path = tagPathService
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
	s.identifyCall(x, &c)
	f, ok := s.launch(c, false)
	if !ok {
		x.refuseOverloaded()
		return
	}
	r := f.outcome()
	if !r.OK() {
		x.answerError(r)
		return
	}
	x.outcome = r
	x.raw(orDefault(r.Status, fasthttp.StatusOK), r.ContentType, r.Body)
}

// call reads the headers and body that all kinds of calls share.
func (x *exchange) call(kind call.Kind) (c call.Call, problem string) {
	c = call.Call{
		Account:     x.account,
		Program:     string(x.Request.Header.Peek(HeaderProgram)),
		Kind:        kind,
		Method:      string(x.Method()),
		ContentType: string(x.Request.Header.ContentType()),
		Body:        x.body,
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

// identifyCall gives the call its request id and trace parent, and puts the request
// id and program into the response headers and telemetry.
func (s *Server) identifyCall(x *exchange, c *call.Call) {
	x.assignID(c.Program, c.Number)
	x.Response.Header.Set(HeaderProgram, c.Program)
	x.telemetry.Kind, x.telemetry.Program, x.telemetry.Call = c.Kind, c.Program, c.Number
	c.Request = x.id.String()
	c.TraceParent = x.telemetry.span.Traceparent()
}

// launch starts the call in the pool; ok is false if the pool is full.
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

// resizePool applies the configured limit of concurrent calls.
func (s *Server) resizePool() {
	if n := lowerLimit(s.config().Limits.MaxCalls, s.MaxCalls, DefaultMaxCalls); n != s.pool.Cap() {
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

// endSingleCall ends the program that was opened for a single call. It runs after
// the outcome was sent, so the caller does not wait for it. A program that can't
// be ended now expires later.
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

// end sends the outcome. If the receiving goroutine has stopped, the outcome is
// dropped here; if the call ran, its history holds it.
func (f *inflightCall) end(r result.Result) {
	_ = f.send(ended{r})
}

// send passes an event to the goroutine that writes the response. It fails once
// the call's context is cancelled.
func (f *inflightCall) send(e event) error {
	select {
	case f.events <- e:
		return nil
	case <-f.ctx.Done():
		return f.ctx.Err()
	}
}

// outcome waits for the end of the call and discards its pieces: the result
// holds the whole answer.
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

// stoppedResult is the answer to a call that was still in flight when the grace
// period of Shutdown ended.
func stoppedResult() result.Result {
	return result.Failed(result.CodeUnknown, result.Unknown, "the daemon stopped; repeat the call with the same number")
}

// disconnectedResult is the outcome in telemetry of a stream whose caller
// disconnected. The outcome of the call itself is in the history.
func disconnectedResult() result.Result {
	return result.Failed(result.CodeCancelled, result.Unknown, "the caller is gone")
}

func (x *exchange) refuseOverloaded() {
	r := result.Refuse(result.CodeOverloaded, "this daemon has as many calls under way as %s allows", maxCallsKey)
	x.answerError(r.WithRetryAfter(retryAfter))
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
	_, _ = rand.Read(b[:]) // crypto/rand documents that Read never fails
	return singleCallPrefix + hex.EncodeToString(b[:])
}

// onlyModel returns the model's name if exactly one is configured, so that the
// answer to a request without a model can name it; otherwise it is empty.
func onlyModel(f file.File) string {
	if len(f.Models) != 1 {
		return ""
	}
	for name := range f.Models {
		return name
	}
	return ""
}
