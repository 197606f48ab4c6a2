package trip

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/fake/early"
	"github.com/slaterock/slaterock/internal/plat/duplex"
)

// Guards against a part of a response that passes for the whole one when the connection is reset while the request is being written.
func TestEarlyResponses(t *testing.T) {
	const length, rounds = 8 << 20, 5
	heads := map[string]string{
		"no length":         "HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.0":          "HTTP/1.0 200 OK\r\n\r\n",
		"connection: close": "HTTP/1.1 404 None\r\nConnection: close\r\n\r\n",
	}
	ends := map[string]struct {
		answer early.Answer
		whole  bool
	}{
		"reset":              {early.Answer{End: early.Reset}, false},
		"reset after a part": {early.Answer{End: early.Reset, ReadFirst: 100 << 10}, false},
		"closed, then reset": {early.Answer{End: early.CloseAndReset}, false},
		"the rest is read":   {early.Answer{End: early.ReadThenClose}, true},
	}
	for what, head := range heads {
		for when, c := range ends {
			t.Run(what+", "+when, func(t *testing.T) {
				is := is.NewRelaxed(t)
				c.answer.Response = head + "part"
				u := &early.Upstream{Answers: []early.Answer{c.answer}}
				address, err := u.Listen(t.Context())
				is.NoErr(err)
				for range rounds {
					var resets, others atomic.Int64 // told by the reading goroutine, perhaps later
					transport := &Transport{Reset: func(err error) {
						if errors.Is(err, duplex.ErrReset) {
							resets.Add(1)
						} else {
							others.Add(1)
						}
					}}
					body, err := post(t, transport, address, length)
					transport.CloseIdleConnections()
					is.Equal(err == nil, c.whole)
					is.True(!c.whole || body == "part" && resets.Load() == 0)
					is.Equal(others.Load(), int64(0))
				}
				u.Close()
			})
		}
	}
}

// Guards against a part of a response that passes for the whole one when it ends while the transport waits for the next piece of the request, and the rest is
// met by a reset.
func TestEndBetweenTwoWrites(t *testing.T) {
	const first, more = 1000, 64 << 10
	is := is.New(t)
	u := &early.Upstream{Answers: []early.Answer{{Response: "HTTP/1.1 200 OK\r\n\r\npart", ReadFirst: first, End: early.CloseAndReset}}}
	address, err := u.Listen(t.Context())
	is.NoErr(err)
	body, rest := io.Pipe()
	go func() { _, _ = rest.Write(make([]byte, first)) }()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, body)
	is.NoErr(err)
	r.ContentLength = first + more
	transport := &Transport{}
	resp, err := transport.RoundTrip(r)
	is.NoErr(err)
	u.Close() // so that the reset has come
	go func() { _, _ = rest.Write(make([]byte, more)) }()
	text, err := io.ReadAll(resp.Body)
	is.Equal(string(text), "part")
	is.True(errors.Is(err, duplex.ErrReset))
	_ = resp.Body.Close()
	transport.CloseIdleConnections()
}

// post sends a request with a body of so many bytes, and returns the body of the response.
func post(t *testing.T, transport *Transport, address string, length int) (body string, err error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, bytes.NewReader(make([]byte, length)))
	is.New(t).NoErr(err)
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}
