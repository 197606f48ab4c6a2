package upconn

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// bodies are lengths of request bodies: written before the response is read, or in the background.
var bodies = map[string]int{"none": 0, "short": inlineBody, "long": inlineBody + 1, "very long": 16 << 20}

// Guards against a send that counts as unwritten although bytes of it left, or as written although none did.
func TestSentTellsWhetherBytesLeft(t *testing.T) {
	cases := map[string]struct {
		before func(c *Conn, far net.Conn) // what happens before the send
		reads  int                         // bytes that the upstream reads before the connection is interrupted
		sent   bool
	}{
		"deadline passed": {before: func(c *Conn, _ net.Conn) { _ = c.Deadline(time.Unix(1, 0)) }},
		"interrupted":     {before: func(c *Conn, _ net.Conn) { c.Interrupt() }},
		"closed here":     {before: func(c *Conn, _ net.Conn) { c.Close() }},
		"closed there":    {before: func(_ *Conn, far net.Conn) { _ = far.Close() }},
		"nothing read":    {},
		"one byte read":   {reads: 1, sent: true},
		"part read":       {reads: 50, sent: true},
	}
	for name, c := range cases {
		for size, n := range bodies {
			t.Run(name+", body "+size, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					near, far := net.Pipe()
					conn := newConn(near, "u", "a")
					if c.before != nil {
						c.before(conn, far)
					}
					var upstream sync.WaitGroup
					upstream.Go(func() {
						_, _ = io.ReadFull(far, make([]byte, c.reads))
						time.Sleep(time.Second)
						conn.Interrupt()
					})
					err := conn.Send(Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"A": {strings.Repeat("a", 100)}}, Body: make([]byte, n)})
					if err == nil {
						_, err = conn.Receive(http.MethodPost) //nolint:bodyclose // there is none
					}
					is.True(err != nil)
					conn.Close()
					is.True(!conn.Written())
					is.Equal(conn.Sent(), c.sent)
					is.True(!conn.Written())
					upstream.Wait()
					_ = far.Close()
				})
			})
		}
	}
}

// Guards against the same over TCP, where the system takes bytes that the upstream has not read yet.
func TestSentOverTCP(t *testing.T) {
	for size, n := range bodies {
		t.Run("body "+size, func(t *testing.T) {
			for i := range 16 {
				is := is.New(t)
				conn, far, _ := connPair(t)
				started := make(chan struct{})
				var interrupter sync.WaitGroup
				interrupter.Go(func() {
					<-started
					switch i % 4 {
					case 0:
						conn.Interrupt()
					case 1:
						_ = far.(*net.TCPConn).SetLinger(0) // a reset
						_ = far.Close()
					case 2:
						conn.Close()
					}
				})
				if i%8 < 4 {
					close(started)
				}
				err := conn.Send(Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, n)})
				if i%8 >= 4 {
					close(started)
				}
				interrupter.Wait()
				conn.Close()
				sent := conn.Sent()
				got, _ := io.ReadAll(far)
				is.True(sent || len(got) == 0)
				is.True(sent || err != nil || n > inlineBody)
			}
		})
	}
}

// Guards against the rest of a long body that is taken for a request, or for a part of the next one, after the
// upstream has answered before it read the body; and against a request that is completed after its answer.
func TestAnswerBeforeLongBody(t *testing.T) {
	for size, n := range bodies {
		t.Run(size, func(t *testing.T) {
			is := is.New(t)
			conn, far, p := connPair(t)
			body := bytes.Repeat([]byte("b"), n)
			send := func(target string) {
				is.NoErr(conn.Send(Request{Method: http.MethodPost, Target: target, Host: "h", Header: http.Header{}, Body: body}))
			}
			send("/first")
			in := bufio.NewReader(far)
			first, err := http.ReadRequest(in)
			is.NoErr(err)
			_, err = io.WriteString(far, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n")
			is.NoErr(err)
			_, err = conn.Receive(http.MethodPost) //nolint:bodyclose // it is empty
			is.NoErr(err)
			p.Put(conn, time.Minute)
			kept := p.Idle(conn.address)
			if kept {
				send("/second")
			}
			got, err := io.ReadAll(first.Body)
			is.True(bytes.HasPrefix(body, got))
			is.True(err == nil || !kept)
			is.True(err != nil || n <= 64<<10) // nothing writes the rest
			second, err := http.ReadRequest(in)
			is.Equal(err == nil, kept)
			is.True(!kept || second.URL.Path == "/second")
			is.True(kept || n > inlineBody)
		})
	}
}
