package link

import (
	"encoding/json"

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
	// Raw is bytes that are attached as they are instead of put into JSON. As
	// the params of Invoke they reach the Handler as its params; a Handler may
	// return them, and Invoke stores them in a *Raw.
	Raw []byte

	// request wraps what is asked. The body of a call is attached.
	request struct {
		Open  *call.Open      `json:"open,omitempty"`
		Call  *call.Call      `json:"call,omitempty"`
		End   *call.End       `json:"end,omitempty"`
		Query *query          `json:"query,omitempty"`
		Name  string          `json:"name,omitempty"` // of a method of the table
		Value json.RawMessage `json:"value,omitempty"`

		attachment []byte
	}

	query struct {
		Account string `json:"account,omitempty"`
		Name    string `json:"name"`
	}

	// response carries an outcome. The body of the result is attached.
	response struct {
		Result  result.Result `json:"result"`
		History *hist.History `json:"history,omitempty"`
	}
)

func newCallRequest(c call.Call) request {
	body := c.Body
	c.Body = nil
	return request{Call: &c, attachment: body}
}

func (r request) call() call.Call {
	c := *r.Call
	c.Body = r.attachment
	return c
}

// packResult returns the result without its body, and the body.
func splitResult(r result.Result, h *hist.History) (out response, body []byte) {
	body = r.Body
	r.Body = nil
	return response{Result: r, History: h}, body
}
