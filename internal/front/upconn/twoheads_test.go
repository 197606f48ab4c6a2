package upconn

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against a header that was cut and is taken for one with the response behind it, and against innocent fields that look alike.
func TestCutHeaderBeforeAnother(t *testing.T) {
	const rest = "\r\nContent-Length: 0\r\n\r\n"
	cases := map[string]struct {
		first string // line or lines
		cut   bool
	}{
		"in the reason":           {"HTTP/1.1 503 ServHTTP/1.1 200 OK", true},
		"in the reason, no other": {"HTTP/1.1 503 HTTP/1.0 200", true},
		"in a field":              {"HTTP/1.1 503 Full\r\nA: 1HTTP/1.1 200 OK", true},
		"at a field's end":        {"HTTP/1.1 503 Full\r\nA: 1\rHTTP/1.1 200 OK", true},
		"whole":                   {"HTTP/1.1 503 Full\r\nA: 1", false},
		"a relay's field":         {"HTTP/1.1 200 OK\r\nVia: HTTP/1.1 203.0.113.5, HTTP/1.1 relay", false},
		"a version":               {"HTTP/1.1 505 HTTP/1.1 or HTTP/1.0 only", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			near, far := net.Pipe()
			defer func() { _ = far.Close() }()
			go func() { _, _ = io.WriteString(far, c.first+rest) }()
			conn := newConn(near, "u", "a")
			defer conn.Close()
			_, err := conn.Receive(http.MethodGet) //nolint:bodyclose // it is empty
			is.Equal(err != nil, c.cut)
		})
	}
}
