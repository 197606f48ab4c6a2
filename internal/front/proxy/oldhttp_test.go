package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/front/conns"
	"github.com/slaterock/slaterock/internal/front/memory"
)

// Guards against a stream that breaks off and looks whole to a caller of HTTP/1.0, for whom it ends with its connection.
func TestBrokenStreamToHTTP10(t *testing.T) {
	cases := map[string]struct {
		path, response string
		body           string
		stop           bool // the front closes its connections once the first event has arrived
		whole          bool
	}{
		"whole":             {"/stream/", completeStream, text12, false, true},
		"whole, kept":       {"/keep/", completeStream, text12, false, true},
		"broken off":        {"/stream/", chunked + event1 + closing, eventA, false, false},
		"broken off, kept":  {"/keep/", chunked + event1 + closing, eventA, false, false},
		"in an event":       {"/stream/", chunked + event1 + partialEvent + closing, eventA, false, false},
		"before all events": {"/stream/", chunked + closing, "", false, false},
		"front stops":       {"/stream/", chunked + event1 + silent, eventA, true, false},
		"no stream":         {"/unsafe/", ok, "good", false, true},
		"no stream, failed": {"/stream/", upstream500, "bad", false, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv([]string{c.response})
			srv := &http.Server{Handler: env.e}
			conns.Configure(srv)
			var lc net.ListenConfig
			ln, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
			is.NoErr(err)
			counted := &conns.Server{Budget: env.e.Memory, Kind: memory.Callers}
			go func() { _ = srv.Serve(counted.Listen(ln)) }()
			defer func() {
				_ = srv.Close()
				env.close()
			}()

			var d net.Dialer
			nc, err := d.DialContext(t.Context(), "tcp", ln.Addr().String())
			is.NoErr(err)
			defer func() { _ = nc.Close() }()
			_, err = io.WriteString(nc, "POST "+c.path+" HTTP/1.0\r\nHost: h\r\nId: r1\r\nWait: 20s\r\nProgram: p\r\nBudget: 9000\r\nContent-Length: 2\r\n\r\nin")
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
			if !c.whole && c.body == "" {
				is.True(err != nil) // the head of a stream goes out with its first event
				return
			}
			is.NoErr(err)
			defer func() { _ = resp.Body.Close() }()
			var body strings.Builder
			if c.stop {
				_, err = io.CopyN(&body, resp.Body, int64(len(c.body)))
				is.NoErr(err)
				_ = srv.Close()
			}
			_, err = io.Copy(&body, resp.Body)
			is.Equal(err == nil, c.whole)
			is.Equal(body.String(), c.body)
		})
	}
}
