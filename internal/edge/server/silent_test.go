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

// poolLinger is how long the HTTP library's pool outlives its server.
const poolLinger = 11 * time.Second

// TestMain lets the HTTP library start the goroutine that keeps its date, which
// never ends, outside all bubbles.
func TestMain(m *testing.M) {
	var h fasthttp.ResponseHeader
	_ = h.Header()
	os.Exit(m.Run())
}

// Callers connect and then say nothing, or say it very slowly, because they are
// broken or mean harm. Each holds a connection; unless it is cut, callers who
// have something to say find none left.
func TestSilentCallersAreCut(t *testing.T) {
	const head = "POST /v1/programs HTTP/1.1\r\nHost: s\r\nAuthorization: Bearer " + tenant + "\r\n"
	tests := map[string]struct {
		send   []string // one piece every second
		status int      // of the answer
		lasts  time.Duration
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
				go trickle(c, tt.send)
				r := bufio.NewReader(c)
				res, err := http.ReadResponse(r, nil)
				is.NoErr(err)
				is.Equal(res.StatusCode, tt.status)
				_, err = io.Copy(io.Discard, res.Body)
				is.NoErr(err)
				is.NoErr(res.Body.Close())
				_, err = r.ReadByte()
				is.True(err != nil) // cut
				is.True(time.Since(began) <= tt.lasts+time.Second)
				is.NoErr(s.Shutdown(t.Context()))
				is.NoErr(<-done)
				<-time.After(poolLinger)
			})
		})
	}
}

func trickle(c net.Conn, pieces []string) {
	for _, p := range pieces {
		if _, err := c.Write([]byte(p)); err != nil {
			return
		}
		<-time.After(time.Second)
	}
}
