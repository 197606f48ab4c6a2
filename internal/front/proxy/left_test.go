package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// halfPipe is a pipe of which the far end may stop sending and still receive, as over TCP.
type halfPipe struct {
	net.Conn
	in *io.PipeReader
}

func (p halfPipe) Read(b []byte) (int, error) { return p.in.Read(b) }

func (p halfPipe) SetReadDeadline(time.Time) error { return nil }

// Guards against an empty success for a caller that has closed its side of the connection for sending.
func TestCallerStopsSending(t *testing.T) {
	cases := map[string]struct {
		path, response string
		closesIn       time.Duration // after the request
		status         int           // 0 for a closed connection
		sends          int
	}{
		"safe, while it runs":     {"/safe/", "PAUSE" + ok, 50 * time.Millisecond, 0, 1},
		"unsafe, while it runs":   {"/unsafe/", "PAUSE" + ok, 50 * time.Millisecond, 200, 1},
		"unsafe, then refused":    {"/unsafe/", "PAUSE" + full, 50 * time.Millisecond, 0, 1},
		"stream, before an event": {"/stream/", "PAUSE" + completeStream, 50 * time.Millisecond, 0, 1},
		"stream, after an event":  {"/stream/", chunked + event1 + "PAUSE" + event2 + end, 50 * time.Millisecond, -1, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv([]string{c.response})
				l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
				srv := &http.Server{Handler: env.e, ReadHeaderTimeout: time.Second, IdleTimeout: time.Second}
				go func() { _ = srv.Serve(l) }()
				near, far := net.Pipe()
				in, out := io.Pipe()
				l.conns <- halfPipe{far, in}
				go func() {
					_, _ = io.WriteString(out, "POST "+c.path+" HTTP/1.1\r\nHost: h\r\nId: r1\r\nContent-Length: 2\r\n\r\nin")
					time.Sleep(c.closesIn)
					_ = out.Close()
				}()
				resp, err := http.ReadResponse(bufio.NewReader(near), nil)
				status := 0
				if err == nil {
					status = resp.StatusCode
					if _, err = io.ReadAll(resp.Body); err != nil {
						status = -1 // broken off
					}
					_ = resp.Body.Close()
				}
				is.Equal(status, c.status)
				is.Equal(len(env.upstreams["up1"].requests()), c.sends)
				_ = near.Close()
				close(l.done)
				is.NoErr(srv.Shutdown(context.Background()))
				env.close()
			})
		})
	}
}
