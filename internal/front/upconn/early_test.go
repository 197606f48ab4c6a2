package upconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/plat/duplex"
)

// resetConn has sent a part of a response, and each write finds it reset.
type resetConn struct {
	net.Conn
	response io.Reader
}

func (c resetConn) Read(p []byte) (int, error)  { return c.response.Read(p) }
func (resetConn) Write([]byte) (int, error)     { return 0, syscall.ECONNRESET }
func (resetConn) SetDeadline(t time.Time) error { return nil }
func (resetConn) Close() error                  { return nil }

// Guards against a part of a response that passes for the whole one when it ends before the write of a long request has begun.
func TestEndBeforeTheWriteBegins(t *testing.T) {
	const rounds = 200
	is := is.New(t)
	pool := Pool{Dial: func(context.Context, string) (net.Conn, error) {
		return resetConn{response: strings.NewReader("HTTP/1.1 200 OK\r\n\r\npart")}, nil
	}}
	for range rounds {
		c, err := pool.Get(t.Context(), "up", "up")
		is.NoErr(err)
		is.NoErr(c.Send(Request{Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, inlineBody+1)}))
		resp, err := c.Receive(http.MethodPost)
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		is.Equal(string(body), "part")
		is.True(errors.Is(err, duplex.ErrReset))
		is.True(!c.Written())
	}
}
