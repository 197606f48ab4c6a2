package proxy

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// Guards against an upstream that stops in the middle of its answer's head and closes, and whose answer passes for a whole one with an empty or short body.
func TestUpstreamThatStopsInItsHead(t *testing.T) {
	heads := map[string]string{
		"length":          "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\nContent-Length: 4\r\n\r\n",
		"length first":    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nSigned: 1\r\nId: ID\r\n\r\n",
		"empty body":      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nSigned: 1\r\nId: ID\r\n\r\n",
		"chunks":          "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"neither":         "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\nServer: a\r\n\r\n",
		"line feeds only": "HTTP/1.1 200 OK\nId: ID\nSigned: 1\nContent-Length: 4\n\n",
		"after a 103":     "HTTP/1.1 103 Early\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\nContent-Length: 4\r\n\r\n",
		"no content":      "HTTP/1.1 204 None\r\nId: ID\r\nSigned: 1\r\n\r\n",
		"partial":         "HTTP/1.1 206 Part\r\nId: ID\r\nSigned: 1\r\nContent-Length: 4\r\n\r\n",
	}
	for name, head := range heads {
		for _, path := range []string{"/safe/", "/unsafe/", "/stream/", "/resume/", "/keep/"} {
			t.Run(name+", "+path, func(t *testing.T) {
				for n := 1; n < len(head); n++ {
					synctest.Test(t, func(t *testing.T) {
						is := is.NewRelaxed(t)
						env := newTestEnv([]string{head[:n] + "CLOSE"})
						rec, aborted := env.do(t.Context(), path, map[string]string{"Program": "p", "Budget": "9000"}, "in")
						is.True(!isSuccess(rec.Code) || aborted)
						is.True(rec.Code != http.StatusServiceUnavailable || strings.Contains(rec.Body.String(), `"ran":"no"`))
						env.close()
					})
				}
			})
		}
	}
}
