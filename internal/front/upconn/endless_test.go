package upconn

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// endless are heads of a response that never end: what is sent first, and then again and again.
var endless = map[string]struct{ first, again string }{
	"status line":  {"HTTP/1.1 200 ", "x"},
	"one header":   {"HTTP/1.1 200 OK\r\nA: ", "x"},
	"many headers": {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	"no response":  {"", "\x16\x03\x01"},
	"1xx":          {"", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
}

// Guards against a head without end that takes all memory of the front, and outlives its deadline.
func TestHeadWithoutEnd(t *testing.T) {
	const most = 4 << 20 // bytes that a front may allocate for it
	for name, c := range endless {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			near, far := net.Pipe()
			conn := newConn(near, "u", "a")
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			go func() {
				_, _ = io.WriteString(far, c.first)
				block := bytes.Repeat([]byte(c.again), 64<<10/len(c.again))
				for range 1000 { // 64 MB
					if _, err := far.Write(block); err != nil {
						return
					}
				}
				_ = far.Close()
			}()
			_, err := conn.Receive(http.MethodGet) //nolint:bodyclose // there is none
			conn.Close()
			runtime.ReadMemStats(&after)
			is.True(errors.Is(err, ErrHeadTooLong))
			is.True(after.TotalAlloc-before.TotalAlloc < most)
		})
	}
}

// Guards against a head that comes a byte at a time, and holds its connection beyond the deadline.
func TestHeadThatComesSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		near, far := net.Pipe()
		conn := newConn(near, "u", "a")
		began := time.Now()
		is.NoErr(conn.Deadline(began.Add(2 * time.Second)))
		var sender sync.WaitGroup
		sender.Go(func() {
			for {
				if _, err := far.Write([]byte("x")); err != nil {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
		_, err := conn.Receive(http.MethodGet) //nolint:bodyclose // there is none
		is.True(err != nil)
		is.Equal(time.Since(began), 2*time.Second)
		conn.Close()
		sender.Wait()
	})
}

// Guards against a bound on heads that cuts a long head, or a body behind one, which are innocent.
func TestLongHeadAndBody(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	conn := newConn(near, "u", "a")
	defer conn.Close()
	body := strings.Repeat("b", 3<<20)
	go func() {
		for range 2 {
			_, _ = io.WriteString(far, "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nA: "+strings.Repeat("x", 30<<10)+"\r\nContent-Length: 3145728\r\n\r\n"+body)
		}
	}()
	for range 2 { // the bound is that of each head
		resp, err := conn.Receive(http.MethodGet)
		is.NoErr(err)
		got, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(len(got), len(body))
	}
}
