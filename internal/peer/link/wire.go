package link

import (
	"encoding/json"
	"unicode/utf8"

	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/result"
)

const (
	methodOpen    = "runner.open"
	methodCall    = "runner.call"
	methodEnd     = "runner.end"
	methodHistory = "runner.history"
	methodRequest = "runner.request"

	methodInvoke = "link.invoke"

	codeOverloaded = 1 // of a jsonrpc2.Error: refused before it ran
	codeFailed     = 2 // of a jsonrpc2.Error: the method's own error
)

type (
	// request wraps what is asked.
	request struct {
		Open  *call.Open `json:"open,omitempty"`
		Call  *call.Call `json:"call,omitempty"`
		Text  string     `json:"text,omitempty"` // the call's body, if it is UTF-8
		End   *call.End  `json:"end,omitempty"`
		Query *query     `json:"query,omitempty"`

		invoke invocation
	}

	// invocation asks for a method of the table.
	invocation struct {
		Name   string          `json:"name"`
		Params json.RawMessage `json:"params,omitempty"`
	}

	query struct {
		Account string `json:"account,omitempty"`
		Name    string `json:"name"`
	}

	// response carries an outcome. A body goes as a string where it is UTF-8:
	// as bytes, JSON would make it a third longer.
	response struct {
		Result  result.Result `json:"result"`
		Text    string        `json:"text,omitempty"`
		History *hist.History `json:"history,omitempty"`
	}
)

func packCall(c call.Call) request {
	r := request{}
	c.Body, r.Text = pack(c.Body)
	r.Call = &c
	return r
}

func (r request) call() call.Call {
	c := *r.Call
	c.Body = unpack(c.Body, r.Text)
	return c
}

func packResult(r result.Result) response {
	p := response{Result: r}
	p.Result.Body, p.Text = pack(r.Body)
	return p
}

func (r response) result() result.Result {
	res := r.Result
	res.Body = unpack(res.Body, r.Text)
	return res
}

func pack(body []byte) (data []byte, text string) {
	if utf8.Valid(body) {
		return nil, string(body)
	}
	return body, ""
}

func unpack(data []byte, text string) []byte {
	if text != "" {
		return []byte(text)
	}
	return data
}
