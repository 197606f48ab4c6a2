package upconn

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against bytes of a faulty upstream that make a front fail, or are read beyond the bounds of header and body.
func FuzzReceive(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nA: b\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.0 200\r\n\r\nrest", "\x16\x03\x01", "HTTP/1.1 200 OK\r\nContent-Length: 9999999999999999999\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=b\r\nx\r\nfffffffffffffff\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		const limit = 1 << 10
		is := is.New(t)
		near, far := net.Pipe()
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			_, _ = far.Write(data)
			_ = far.Close()
		}()
		c := newConn(near, "u", "a")
		resp, err := c.Receive(http.MethodGet)
		if err == nil {
			body, err := ReadAll(resp.Body, 0, limit)
			is.True(err != nil || len(body) <= limit)
			is.True(resp.StatusCode >= 200)
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		c.Close()
		<-sent
	})
}
