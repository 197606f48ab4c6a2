package httpc_test

import (
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/slaterock/slaterock/internal/fake/early"
	"github.com/slaterock/slaterock/internal/plat/httpc"
)

// Guards against a part of a response that passes for the whole one when the connection is reset before the request was read.
func TestEarlyResponses(t *testing.T) {
	heads := map[string]string{
		"no length":         "HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.0":          "HTTP/1.0 200 OK\r\n\r\n",
		"connection: close": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
		"500":               "HTTP/1.1 500 Broken\r\n\r\n",
	}
	ends := map[string]struct {
		answer early.Answer
		whole  bool
	}{
		"reset":              {early.Answer{End: early.Reset}, false},
		"reset after a part": {early.Answer{End: early.Reset, ReadFirst: 1000}, false},
		"the rest is read":   {early.Answer{End: early.ReadThenClose}, true},
	}
	for what, head := range heads {
		for when, c := range ends {
			for size, n := range map[string]int{"1 KiB": 1 << 10, "1 MiB": 1 << 20, "8 MiB": 8 << 20} {
				for name, exchange := range exchanges {
					t.Run(name+", "+what+", "+when+", "+size, func(t *testing.T) {
						is := is.New(t)
						c.answer.Response = head + "part"
						u := &early.Upstream{Answers: []early.Answer{c.answer}}
						address, err := u.Listen(t.Context())
						is.NoErr(err)
						defer u.Close()
						var req fasthttp.Request
						req.Header.SetMethod(http.MethodPost)
						req.SetBodyRaw(make([]byte, n))
						body, err := exchange(t, httpc.Endpoint{Address: address}, &req)
						is.Equal(err == nil, c.whole)
						is.True(!c.whole || body == "part")
						var failed *httpc.Error
						is.True(!errors.As(err, &failed) || failed.Sent) // it may have run
					})
				}
			}
		}
	}
}

// exchanges are the ways to read a response.
var exchanges = map[string]func(t *testing.T, e httpc.Endpoint, req *fasthttp.Request) (body string, err error){
	"do": func(t *testing.T, e httpc.Endpoint, req *fasthttp.Request) (string, error) {
		var resp fasthttp.Response
		err := e.Do(t.Context(), req, &resp)
		return string(resp.Body()), err
	},
	"open": func(t *testing.T, e httpc.Endpoint, req *fasthttp.Request) (string, error) {
		resp, err := e.Open(t.Context(), req)
		if err != nil {
			return "", err
		}
		defer resp.Close()
		body, err := io.ReadAll(resp.Body)
		return string(body), err
	},
}
