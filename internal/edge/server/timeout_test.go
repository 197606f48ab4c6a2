package server

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/slaterock/slaterock/internal/fake/memnet"
)

// poolLinger is how long fasthttp's worker pool outlives its server.
const poolLinger = 11 * time.Second

// TestMain makes fasthttp start the goroutine that updates its cached date outside
// all synctest bubbles, because that goroutine never ends.
func TestMain(m *testing.M) {
	var h fasthttp.ResponseHeader
	_ = h.Header()
	os.Exit(m.Run())
}

// Broken or malicious callers connect and send nothing, or send very slowly. Each
// occupies a connection; unless the server closes them, it runs out of connections
// for other callers.
func TestSlowCallersAreDisconnected(t *testing.T) {
	const head = "POST /v1/programs HTTP/1.1\r\nHost: s\r\nAuthorization: Bearer " + accountKey + "\r\n"
	tests := map[string]struct {
		send    []string // one piece every second
		status  int      // of the answer
		timeout time.Duration
	}{
		"says nothing":       {nil, 408, DefaultReadTimeout},
		"stops in the head":  {[]string{head}, 408, DefaultReadTimeout},
		"stops in the body":  {[]string{head + "Content-Length: 10\r\n\r\n{"}, 408, DefaultReadTimeout},
		"trickles":           {strings.Split(head+strings.Repeat("X: y\r\n", 100), ""), 408, DefaultReadTimeout},
		"idle after request": {[]string{"GET /healthz HTTP/1.1\r\nHost: s\r\n\r\n"}, 200, DefaultIdleTimeout},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var n memnet.Net
				s := &Server{Account: accounts, Runner: &fake{}}
				done := make(chan error, 1)
				ln := n.Listen("s")
				go func() { done <- s.Serve(ln) }()
				c, err := n.Connect(t.Context(), "s")
				is.NoErr(err)
				began := time.Now()
				go sendSlowly(c, tt.send)
				r := bufio.NewReader(c)
				res, err := http.ReadResponse(r, nil)
				is.NoErr(err)
				is.Equal(res.StatusCode, tt.status)
				_, err = io.Copy(io.Discard, res.Body)
				is.NoErr(err)
				is.NoErr(res.Body.Close())
				_, err = r.ReadByte()
				is.True(err != nil) // closed by the server
				is.True(time.Since(began) <= tt.timeout+time.Second)
				is.NoErr(s.Shutdown(t.Context()))
				is.NoErr(<-done)
				<-time.After(poolLinger)
			})
		})
	}
}

func sendSlowly(c net.Conn, pieces []string) {
	for _, p := range pieces {
		if _, err := c.Write([]byte(p)); err != nil {
			return
		}
		<-time.After(time.Second)
	}
}
