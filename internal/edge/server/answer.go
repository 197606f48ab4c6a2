package server

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/slaterock/slaterock/internal/edge/reqid"
	"github.com/slaterock/slaterock/internal/prog/result"
)

type (
	// errorBody is the body of every error response.
	errorBody struct {
		Error errorFields `json:"error"`
	}

	errorFields struct {
		Code       result.Code `json:"code"`
		Message    string      `json:"message"`
		Ran        result.Ran  `json:"ran"`
		RetryAfter float64     `json:"retry_after,omitempty"` // seconds
	}
)

// answerError answers with the error r, a refusal or a failure, and keeps it as the
// outcome for telemetry.
func (x *exchange) answerError(r result.Result) {
	status := r.Status
	if status == 0 {
		status = fasthttp.StatusInternalServerError
	}
	if r.RetryAfter > 0 {
		x.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	x.outcome = r
	x.raw(status, jsonType, encodeError(r))
}

func (x *exchange) notFound() {
	x.answerError(result.Refuse(result.CodeNotFound, "no such resource: %s %s", x.Method(), x.path))
}

func (x *exchange) badRequest(format string, args ...any) {
	x.answerError(result.Refuse(result.CodeBadRequest, format, args...))
}

func (x *exchange) text(s string) {
	x.raw(fasthttp.StatusOK, textType, []byte(s))
}

func (x *exchange) json(status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		x.answerError(result.Failed(result.CodeUnknown, result.Unknown, "the answer can't be encoded"))
		return
	}
	x.raw(status, jsonType, append(data, '\n'))
}

func (x *exchange) raw(status int, contentType string, body []byte) {
	x.Response.SetStatusCode(status)
	x.Response.Header.SetContentType(contentType)
	x.Response.SetBodyRaw(body)
}

func encodeError(r result.Result) []byte {
	fields := errorFields{Code: r.Code, Message: r.Message, Ran: r.Ran, RetryAfter: r.RetryAfter.Seconds()}
	data, _ := json.Marshal(errorBody{Error: fields}) // can't fail for these field types
	return data
}

// refuseMalformed answers a request that could not be read or parsed; nothing
// ran.
func refuseMalformed(ctx *fasthttp.RequestCtx, err error) {
	if c, ok := ctx.Conn().(*conn); ok {
		c.lingerOnClose = true
	}
	x := &exchange{RequestCtx: ctx, start: time.Now()}
	x.Response.Header.Set(HeaderRequest, reqid.New("", 0).String())
	r := result.Refuse(result.CodeBadRequest, "the request can't be read")
	var small *fasthttp.ErrSmallBuffer
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		r = tooLong
		r.Status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &small):
		r = result.Refuse(result.CodeBadRequest, "the headers are too large")
		r.Status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		r = result.Refuse(result.CodeTimeout, "the request did not arrive in time")
		r.Status = fasthttp.StatusRequestTimeout
	}
	x.answerError(r)
}
