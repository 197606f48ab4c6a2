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

	codeOverloaded = 1 // of a jsonrpc2.Error: rejected before it ran
	codeFailed     = 2 // of a jsonrpc2.Error: returned by the method
)

type (
	// Raw is bytes that are attached to the message instead of encoded in JSON.
	// As the params of Invoke they reach the Handler as its params. A Handler may
	// return a Raw, which Invoke stores in a *Raw.
	Raw []byte

	// request holds the parameters of all methods. The body of a call and
	// parameters of type Raw are attached.
	request struct {
		Open  *call.Open      `json:"open,omitempty"`
		Call  *call.Call      `json:"call,omitempty"`
		End   *call.End       `json:"end,omitempty"`
		Query *query          `json:"query,omitempty"`
		Name  string          `json:"name,omitempty"` // of a registered method
		Value json.RawMessage `json:"value,omitempty"`

		attachment []byte
	}

	query struct {
		Account string `json:"account,omitempty"`
		Name    string `json:"name"`
	}

	// response holds the outcome of a runner's method. The body of the result is
	// attached.
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

// splitResult returns the response without the result's body, and the body.
func splitResult(r result.Result, h *hist.History) (out response, body []byte) {
	body = r.Body
	r.Body = nil
	return response{Result: r, History: h}, body
}
