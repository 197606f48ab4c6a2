package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// pipeListener is a net.Listener whose connections are pipes.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, errors.New("closed")
	}
}

func (l *pipeListener) Close() error   { return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Request smuggling: a caller sends bytes that two HTTP parsers would split into requests
// at different offsets. An upstream must never get a request that no caller sent as one,
// nor a body that is longer or shorter than the one sent.
func TestSmuggling(t *testing.T) {
	const inner = "POST /unsafe/inner HTTP/1.1\r\nHost: h\r\nId: inner\r\nContent-Length: 0\r\n\r\n"
	cases := map[string]struct {
		head, body string
		status     string // of the first response
		got        string // body at the upstream; "-" where nothing may arrive
	}{
		"plain":                        {"Content-Length: 4\r\n", "body", "200", "body"},
		"chunked":                      {"Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", "200", "body"},
		"two lengths":                  {"Content-Length: 4\r\nContent-Length: 5\r\n", "body" + inner, "400", "-"},
		"a negative length":            {"Content-Length: -1\r\n", inner, "400", "-"},
		"a length with a plus":         {"Content-Length: +4\r\n", "body", "400", "-"},
		"a list of lengths":            {"Content-Length: 4, 4\r\n", "body", "400", "-"},
		"an unknown transfer encoding": {"Transfer-Encoding: xchunked\r\n", "4\r\nbody\r\n0\r\n\r\n", "501", "-"},
		"two transfer encodings":       {"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", "4\r\nbody\r\n0\r\n\r\n", "501", "-"},
		"a space before the colon":     {"Content-Length : 4\r\n", "body", "400", "-"},
		"a folded header is one value": {"X: a\r\n Content-Length: 4\r\n", "body", "200", ""},
		"a spoilt chunk size":          {"Transfer-Encoding: chunked\r\n", "4x\r\nbody\r\n0\r\n\r\n", "400", "-"},
		"a huge chunk size":            {"Transfer-Encoding: chunked\r\n", "fffffffffffffffff\r\nbody\r\n0\r\n\r\n", "400", "-"},
		"a chunk without its end":      {"Transfer-Encoding: chunked\r\n", "4\r\nbodyXX0\r\n\r\n", "400", "-"},
		"a request inside the body":    {fmt.Sprintf("Content-Length: %d\r\n", len(inner)), inner, "200", inner},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv([]string{ok})
				l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
				srv := &http.Server{Handler: env.e, ReadHeaderTimeout: time.Second, IdleTimeout: time.Second}
				go func() { _ = srv.Serve(l) }()
				near, far := net.Pipe()
				l.conns <- far
				go func() {
					_, _ = io.WriteString(near, "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nId: r1\r\n"+c.head+"\r\n"+c.body)
				}()
				resp, err := http.ReadResponse(bufio.NewReader(near), nil)
				is.NoErr(err)
				defer func() { _ = resp.Body.Close() }()
				is.True(strings.HasPrefix(resp.Status, c.status))
				time.Sleep(2 * time.Second)
				reqs := env.upstreams["up1"].requests()
				if c.got == "-" {
					is.Equal(len(reqs), 0)
				} else {
					is.Equal(len(reqs), 1)
					is.Equal(reqs[0].body, c.got)
				}
				_ = near.Close()
				close(l.done)
				is.NoErr(srv.Shutdown(context.Background()))
				env.close()
			})
		})
	}
}

// Guards against a response without end that a caller gets as a success, or that keeps a safe call from another upstream.
func TestHeaderWithoutEnd(t *testing.T) {
	endless := "HTTP/1.1 200 " + strings.Repeat("x", 200<<10)
	cases := map[string]struct {
		path   string
		status int
		sends  int
	}{
		"safe":   {"/safe/", 200, 2},
		"unsafe": {"/unsafe/", 502, 1},
		"stream": {"/stream/", 502, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv([]string{endless}, []string{ok})
				env.setLoad("up2", 1) // so that up1 is tried first
				log := logTo(env)
				rec, _ := env.do(t.Context(), c.path, map[string]string{"Program": "p"}, "in")
				is.Equal(rec.Code, c.status)
				lines := parseLines(is, log.String())
				is.Equal(len(lines[0].Runs), c.sends)
				is.Equal(lines[0].Runs[0].End, "lost") // the upstream goes on
				is.True(strings.Contains(log.String(), "header of the response is longer than 65536 bytes"))
				env.close()
			})
		})
	}
}

// Guards against long responses that together take all memory of a front, and against short ones that wait for them.
func TestLongResponsesShareMemory(t *testing.T) {
	const size = 9 << 20 // two don't fit at a time
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		half := strings.Repeat("b", size/2)
		long := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: %d\r\n\r\n%sPAUSE%s", size, half, half)
		env := newTestEnv([]string{ok}, []string{ok})
		for _, u := range env.upstreams {
			u.respond = func(h http.Header) (string, bool) {
				if strings.HasPrefix(h.Get("Id"), "long") {
					return long, false
				}
				return ok, false
			}
		}
		began := time.Now()
		codes := make([]int, 4)
		took := make([]time.Duration, 4)
		var calls sync.WaitGroup
		for i := range codes {
			calls.Go(func() {
				rec, _ := env.do(t.Context(), "/open/", map[string]string{"Id": fmt.Sprint("long", i)}, "in")
				codes[i], took[i] = rec.Code, time.Since(began)
			})
		}
		synctest.Wait()
		rec, _ := env.do(t.Context(), "/unsafe/", map[string]string{"Id": "short"}, "in")
		is.Equal(rec.Code, 200)
		is.Equal(time.Since(began), time.Duration(0)) // it waits for none
		calls.Wait()
		slices.Sort(took)
		for i := range codes {
			is.Equal(codes[i], 200)
			is.Equal(took[i], time.Duration(i+1)*100*time.Millisecond) // one at a time
		}
		env.close()
	})
}

// Guards against a body without end that a caller gets as a success, or that takes more than its bound.
func TestBodyWithoutEnd(t *testing.T) {
	cases := map[string]string{
		"chunks":          "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("100000\r\n"+strings.Repeat("b", 1<<20)+"\r\n", 18),
		"until it closes": "HTTP/1.1 200 OK\r\nId: ID\r\nConnection: close\r\n\r\n" + strings.Repeat("b", 18<<20) + "CLOSE",
		"long length":     "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 99999999\r\n\r\n" + strings.Repeat("b", 18<<20),
		"chunk extension": "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("x", 1<<20),
		"trailer":         "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\nA: " + strings.Repeat("x", 1<<20),
		"an event":        chunked + "100000\r\ndata: " + strings.Repeat("b", 2<<20),
	}
	for name, response := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				path := map[bool]string{true: "/stream/", false: "/unsafe/"}[name == "an event"]
				env := newTestEnv([]string{response})
				rec, aborted := env.do(t.Context(), path, map[string]string{"Program": "p"}, "in")
				is.True(rec.Code == 502 || aborted)
				is.NoErr(env.e.Memory.Take(t.Context(), env.e.Memory.Limit())) // all was returned
				env.close()
			})
		})
	}
}
