package httpc_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/slaterock/slaterock/internal/fake/broken"
	"github.com/slaterock/slaterock/internal/plat/head"
	"github.com/slaterock/slaterock/internal/plat/httpc"
)

const (
	plainOK   = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"
	chunkedOK = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n"
)

// Guards against a broken response that passes for a whole one, or for one with the status 200 or the body of another.
func TestBrokenResponses(t *testing.T) {
	for _, whole := range []string{plainOK, chunkedOK} {
		for kind, list := range map[string]broken.Responses{"status": broken.Statuses(whole), "name": broken.Names(whole), "value": broken.Values(whole)} {
			for what, response := range list {
				for name, read := range readers {
					t.Run(name+", "+kind+", "+what, func(t *testing.T) {
						is := is.New(t)
						_, body, err := receive(t, read, response)
						is.Equal(body, "") // of no response
						var failed *httpc.Error
						is.True(errors.As(err, &failed) && failed.Sent) // it may have run
						var part *head.Error
						is.True(errors.As(err, &part)) // told apart from a connection that failed
					})
				}
			}
		}
	}
}

// Guards against a response with a broken name behind its last chunk that passes for a whole one.
func TestBrokenTrailers(t *testing.T) {
	for what, response := range broken.Trailers(chunkedOK) {
		for name, read := range readers {
			t.Run(name+", "+what, func(t *testing.T) {
				is := is.New(t)
				_, _, err := receive(t, read, response)
				var part *head.Error
				is.True(errors.As(err, &part) && part.Part == head.Trailer)
			})
		}
	}
}

// Guards against an informational response that passes for the one behind it.
func TestInformationalResponses(t *testing.T) {
	for what, c := range map[string]struct {
		before string
		whole  bool
	}{
		"none": {"", true}, "100": {"HTTP/1.1 100 Continue\r\n\r\n", true}, "103": {"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", true},
		"several": {strings.Repeat("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n", 4), true}, "no end": {strings.Repeat("HTTP/1.1 103 A\r\n\r\n", 1000), false},
	} {
		for name, read := range readers {
			t.Run(name+", "+what, func(t *testing.T) {
				is := is.New(t)
				status, body, err := receive(t, read, c.before+plainOK)
				is.Equal(err == nil, c.whole)
				if c.whole {
					is.Equal(status, http.StatusOK)
					is.Equal(body, "good")
				}
			})
		}
	}
}

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

// receive reads these bytes as a response.
func receive(t *testing.T, read reader, response string) (status int, body string, err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		e := httpc.Endpoint{Address: "peer", Connect: broken.Connect(response)}
		var req fasthttp.Request
		var got []byte
		status, got, err = read(t.Context(), e, &req)
		if err == nil {
			body = string(got)
		}
	})
	return status, body, err
}
