package httpc

import (
	"net/http"
	"regexp"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/slaterock/slaterock/internal/fake/broken"
)

// Guards against bytes of a faulty upstream that make a daemon fail, or pass for a response that they are not.
func FuzzDo(f *testing.F) {
	for _, whole := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"} {
		f.Add([]byte(whole))
		f.Add([]byte("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + whole))
		for _, list := range []broken.Responses{broken.Statuses(whole), broken.Names(whole), broken.Values(whole)} {
			for _, response := range list {
				f.Add([]byte(response))
			}
		}
	}
	statusLines := regexp.MustCompile(`^HTTP/1\.[0-9] [1-5][0-9][0-9][ \r\n]`)
	name := regexp.MustCompile("^[!#$%&'*+\\-.^_`|~0-9A-Za-z]+$")
	f.Fuzz(func(t *testing.T, data []byte) {
		is := is.New(t)
		var req fasthttp.Request
		var resp fasthttp.Response
		err := Endpoint{Address: "a", MaxBody: 1 << 10, Connect: broken.Connect(string(data))}.Do(t.Context(), &req, &resp)
		if err != nil {
			return
		}
		is.True(statusLines.Match(data))
		is.True(resp.StatusCode() >= http.StatusOK && resp.StatusCode() <= 599)
		is.True(len(resp.Body()) <= 1<<10)
		for key := range resp.Header.All() {
			is.True(name.Match(key))
		}
	})
}
