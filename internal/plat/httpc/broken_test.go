package httpc_test

import (
	"context"
	"io"
	"net"
	"strconv"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/slaterock/slaterock/internal/plat/httpc"
)

// Guards against a response without a body that ends the process of its reader.
func TestNoBody(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 204 No Content", "HTTP/1.1 304 Not Modified\r\nContent-Length: 4", "HTTP/1.1 200 OK\r\nContent-Length: 0"} {
		for name, read := range readers {
			t.Run(name+", "+head, func(t *testing.T) {
				is := is.New(t)
				status, body, err := receive(t, read, head+"\r\n\r\n")
				is.NoErr(err)
				is.Equal(strconv.Itoa(status), head[9:12])
				is.Equal(body, "")
			})
		}
	}
}

type reader func(ctx context.Context, e httpc.Endpoint, req *fasthttp.Request) (status int, body []byte, err error)

// readers are both ways to read a response.
var readers = map[string]reader{
	"at once": func(ctx context.Context, e httpc.Endpoint, req *fasthttp.Request) (int, []byte, error) {
		var resp fasthttp.Response
		err := e.Do(ctx, req, &resp)
		return resp.StatusCode(), resp.Body(), err
	},
	"as it arrives": func(ctx context.Context, e httpc.Endpoint, req *fasthttp.Request) (int, []byte, error) {
		resp, err := e.Open(ctx, req)
		if err != nil {
			return 0, nil, err
		}
		defer resp.Close()
		body, err := io.ReadAll(resp.Body)
		return resp.Header.StatusCode(), body, resp.Cause(err)
	},
}

// receive has a server answer a request with these bytes, and close the connection.
func receive(t *testing.T, read reader, response string) (status int, body string, err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		e := httpc.Endpoint{Address: "peer", Connect: func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				defer func() { _ = far.Close() }()
				_, _ = far.Read(make([]byte, 4<<10))
				_, _ = io.WriteString(far, response)
			}()
			return near, nil
		}}
		var req fasthttp.Request
		var got []byte
		status, got, err = read(t.Context(), e, &req)
		if err == nil {
			body = string(got)
		}
	})
	return status, body, err
}
