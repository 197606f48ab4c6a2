package server

import (
	"context"
	"net"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/slaterock/slaterock/internal/front/conns"
	"github.com/slaterock/slaterock/internal/front/memory"
	"github.com/slaterock/slaterock/internal/prog/result"
)

// prefetched is the length up to which the HTTP server has read a body of stated length with its head, in bytes.
const prefetched = 8 << 10

// tooLong refuses a request for the length of its body.
var tooLong = result.Refuse(result.CodeBadRequest, "the body is larger than max_body")

// noteState has a connection return what its request took once that is over.
func noteState(c net.Conn, state fasthttp.ConnState) {
	if c, ok := c.(*conn); ok && state == fasthttp.StateIdle {
		if counted, ok := c.Conn.(*conns.Conn); ok {
			counted.Idle()
		}
	}
}

// connOf returns the connection of the request; done must be called once the request is over.
func (s *Server) connOf(ctx *fasthttp.RequestCtx) (c *conns.Conn, done func()) {
	if c, ok := ctx.Conn().(*conn); ok {
		if counted, ok := c.Conn.(*conns.Conn); ok {
			return counted, func() {}
		}
	}
	return conns.Of(ctx, s.Clients)
}

// bodyLength returns the length of the request's body, negative if it is not stated.
func (x *exchange) bodyLength() int64 {
	if x.RequestBodyStream() == nil {
		return 0
	}
	return int64(x.Request.Header.ContentLength())
}

// bodyLimit returns the size limit of the request's body, of the configuration in force, so that a new limit applies to the next
// request. Configurations sent by operators have a limit of their own: with many accounts they are larger than
// callers' bodies may be.
func (s *Server) bodyLimit(x *exchange) int64 {
	if x.operator && strings.HasPrefix(x.path, pathConfig) {
		return maxConfig
	}
	return int64(lowerLimit(s.config().Limits.MaxBody, s.MaxBody, DefaultMaxBody))
}

// readBody reads the body of a caller that is known, once there is room for it. It returns false if it has answered with an
// error instead.
func (s *Server) readBody(x *exchange) bool {
	ctx, stop := context.WithTimeout(s.base, orDefault(s.ReadTimeout, DefaultReadTimeout))
	defer stop()
	var err error
	x.body, err = x.conn.ReadBody(ctx, x.RequestBodyStream(), x.bodyLength(), s.bodyLimit(x))
	switch {
	case err == nil:
		return true
	case errors.Is(err, conns.ErrBodyTooLong):
		x.refuseTooLong()
	case errors.Is(err, conns.ErrBodyTimeout):
		x.refuse(fasthttp.StatusRequestTimeout, result.Refuse(result.CodeTimeout, "the request did not arrive in time"))
	case errors.IsAny(err, memory.ErrShed, memory.ErrNone):
		x.refuseNoRoom()
	default:
		x.badRequest("the request can't be read")
	}
	return false
}

// refuse answers with the refusal under a status of its own.
func (x *exchange) refuse(status int, r result.Result) {
	r.Status = status
	x.answerError(r)
}

func (x *exchange) refuseTooLong() { x.refuse(fasthttp.StatusRequestEntityTooLarge, tooLong) }

// refuseNoRoom refuses a request that has not run since callers hold all the memory that they may.
func (x *exchange) refuseNoRoom() {
	x.answerError(result.Refuse(result.CodeOverloaded, "callers hold all the memory that they may at this daemon").WithRetryAfter(retryAfter))
}

// dropBody closes the connection after the response if bytes of the body may follow that were not read: they are no
// request.
func (x *exchange) dropBody() {
	if unread := x.conn.Refuse(); !unread || x.bodyLength() >= 0 && x.bodyLength() <= prefetched {
		return
	}
	x.SetConnectionClose()
	if c, ok := x.Conn().(*conn); ok {
		c.lingerOnClose = true
	}
}
