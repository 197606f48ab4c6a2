package upconn

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"testing"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/fake/broken"
)

// Guards against bytes of a faulty upstream that make a front fail, are read beyond the bounds of header and body, or lose a part on the way to the caller.
func FuzzReceive(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nA: b\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.0 200\r\n\r\nrest", "\x16\x03\x01", "HTTP/1.1 200 OK\r\nContent-Length: 9999999999999999999\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=b\r\nx\r\nfffffffffffffff\r\n",
	} {
		f.Add([]byte(seed))
	}
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"
	for _, list := range []broken.Responses{broken.Statuses(whole), broken.Names(whole), broken.Values(whole), broken.Trailers("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n")} {
		for _, response := range list {
			f.Add([]byte(response))
		}
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
			is.True(resp.StatusCode >= 200 && resp.StatusCode <= 599)
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			is.Equal(passedOn(t, resp.Header), resp.Header)
			if err == nil {
				is.Equal(passedOn(t, resp.Trailer), resp.Trailer)
			}
		}
		c.Close()
		<-sent
	})
}

// passedOn returns what is left of a header once it was written, which leaves out names that are none, and read.
func passedOn(t *testing.T, h http.Header) http.Header {
	t.Helper()
	if h == nil {
		return nil
	}
	is := is.New(t)
	var b bytes.Buffer
	is.NoErr(h.Write(&b))
	b.WriteString("\r\n")
	out, err := textproto.NewReader(bufio.NewReader(&b)).ReadMIMEHeader()
	is.NoErr(err)
	return http.Header(out)
}
