package conns

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/fake/memnet"
	"github.com/slaterock/slaterock/internal/front/memory"
)

const (
	bodyLimit   = 1 << 20
	bodyTimeout = 10 * time.Second
)

// site is an HTTP server whose handler reads bodies, and answers 200, or 418 with the error.
type site struct {
	t      *testing.T
	net    memnet.Net
	budget memory.Budget
	srv    *http.Server
}

func newSite(t *testing.T, vm int64) *site {
	s := &site{t: t, budget: memory.Budget{VM: vm}}
	s.srv = &http.Server{Handler: http.HandlerFunc(s.handle), ReadHeaderTimeout: time.Minute}
	Configure(s.srv)
	ln := (&Server{Budget: &s.budget, Kind: memory.Callers}).Listen(s.net.Listen("callers"))
	go func() { _ = s.srv.Serve(ln) }()
	return s
}

func (s *site) handle(w http.ResponseWriter, r *http.Request) {
	c, done := Of(r.Context(), &s.budget)
	defer done()
	if !c.Begin(r.ContentLength) || r.URL.Path == "/refused" {
		c.Refuse()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ctx, stop := context.WithTimeout(r.Context(), bodyTimeout)
	defer stop()
	body, err := c.ReadBody(ctx, r.Body, r.ContentLength, bodyLimit)
	if err != nil {
		c.Refuse()
		w.WriteHeader(http.StatusTeapot)
		for _, known := range []error{ErrBodyTimeout, ErrBodyTooLong, memory.ErrShed, memory.ErrNone} {
			if errors.Is(err, known) {
				_, _ = io.WriteString(w, known.Error())
			}
		}
		return
	}
	_, _ = fmt.Fprintf(w, "%d bytes", len(body))
}

// send sends the text on a new connection, and returns what is answered and after how long.
func (s *site) send(text string) (answer string, took time.Duration) {
	conn, err := s.net.Connect(s.t.Context(), "callers")
	if err != nil {
		return err.Error(), 0
	}
	return exchange(conn, text)
}

func exchange(conn net.Conn, text string) (answer string, took time.Duration) {
	began := time.Now()
	defer func() { _ = conn.Close() }()
	go func() { _, _ = io.WriteString(conn, text) }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "closed", time.Since(began)
	}
	body, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return fmt.Sprint(resp.StatusCode, " ", string(body)), time.Since(began)
}

// close ends the server; nothing may be held then.
func (s *site) close() {
	is := is.New(s.t)
	_ = s.srv.Close()
	time.Sleep(time.Second) // the HTTP server waits before it closes some connections
	for _, k := range memory.Kinds() {
		used, _ := s.budget.Used(k)
		is.Equal(used, int64(0))
	}
}

func post(path, header, body string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + header + "\r\n\r\n" + body
}

func withLength(path string, n int, body string) string {
	return post(path, fmt.Sprintf("Content-Length: %d", n), body)
}

func chunked(body string) string { return post("/", "Transfer-Encoding: chunked", body) }

func chunk(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("b", n)) }

// Guards against a body that is taken for whole and is not, and against clients that stop and are waited for longer than their request may take.
func TestBodies(t *testing.T) {
	cases := map[string]struct {
		text   string
		answer string
		within time.Duration
	}{
		"no body":                   {"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "200 0 bytes", 0},
		"short":                     {withLength("/", 5, "short"), "200 5 bytes", 0},
		"the longest":               {withLength("/", bodyLimit, strings.Repeat("b", bodyLimit)), "200 1048576 bytes", 0},
		"too long":                  {withLength("/", bodyLimit+1, ""), "418 " + ErrBodyTooLong.Error(), lingerTime},
		"a byte short":              {withLength("/", 100_000, strings.Repeat("b", 99_999)), "418 " + ErrBodyTimeout.Error(), bodyTimeout + lingerTime},
		"chunks":                    {chunked(chunk(5) + chunk(7) + "0\r\n\r\n"), "200 12 bytes", 0},
		"many chunks":               {chunked(strings.Repeat(chunk(1000), 200) + "0\r\n\r\n"), "200 200000 bytes", 0},
		"chunks of the longest":     {chunked(strings.Repeat(chunk(1<<16), 16) + "0\r\n\r\n"), "200 1048576 bytes", 0},
		"chunks that are too long":  {chunked(strings.Repeat(chunk(1<<16), 17)), "418 " + ErrBodyTooLong.Error(), lingerTime},
		"chunks without an end":     {chunked(strings.Repeat(chunk(1000), 200)), "418 " + ErrBodyTimeout.Error(), bodyTimeout + lingerTime},
		"a chunk that is cut":       {chunked(chunk(1000)[:500]), "418 " + ErrBodyTimeout.Error(), bodyTimeout + lingerTime},
		"refused, the body is cut":  {withLength("/refused", 100_000, "begin"), "503 ", lingerTime},
		"refused, with a long body": {withLength("/refused", 100<<20, ""), "503 ", 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSite(t, 0)
				answer, took := s.send(tc.text)
				is.Equal(answer, tc.answer)
				is.True(took <= tc.within)
				s.close()
			})
		})
	}
}

// Guards against chunked bodies that are refused where the limit on bodies is more than the VM has room for, and against ones that take more.
func TestChunksBelowALargeLimit(t *testing.T) {
	cases := map[string]struct {
		chunks int
		answer string
	}{
		"short enough": {20, "200 20000 bytes"},
		"long":         {200, "200 200000 bytes"},
		"too long":     {600, "418 " + memory.ErrNone.Error()},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSite(t, 2<<20) // 512 KiB for one body
				answer, _ := s.send(chunked(strings.Repeat(chunk(1000), tc.chunks) + "0\r\n\r\n"))
				is.Equal(answer, tc.answer)
				s.close()
			})
		})
	}
}

// Guards against a connection that is closed in the middle of its body, whose request is taken for whole.
func TestCutBody(t *testing.T) {
	for name, text := range map[string]string{
		"with a length": withLength("/", 100_000, strings.Repeat("b", 70_000)),
		"in chunks":     chunked(strings.Repeat(chunk(1000), 70)),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSite(t, 0)
				read := make(chan error, 1)
				s.srv.Handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					c, done := Of(r.Context(), &s.budget)
					defer done()
					c.Begin(r.ContentLength)
					_, err := c.ReadBody(r.Context(), r.Body, r.ContentLength, bodyLimit)
					read <- err
				})
				conn, err := s.net.Connect(t.Context(), "callers")
				is.NoErr(err)
				_, err = io.WriteString(conn, text)
				is.NoErr(err)
				is.NoErr(conn.Close())
				is.True(<-read != nil)
				s.close()
			})
		})
	}
}

// Guards against heads and bodies that stop and take all room, and against one that is told it has not run while it goes on.
func TestClientsThatStopGiveWay(t *testing.T) {
	lines := strings.Repeat("a:v\r\n", 3000)
	cases := map[string]struct {
		stopped string
		most    int // of them at a time
		text    string
		answer  string
	}{
		"heads":  {"GET / HTTP/1.1\r\nHost: h\r\n" + lines, 60, withLength("/", 5, "short"), "200 5 bytes"},
		"bodies": {withLength("/", bodyLimit, strings.Repeat("b", bodyLimit-1)), 6, withLength("/", bodyLimit, strings.Repeat("b", bodyLimit)), "200 1048576 bytes"},
		"chunks": {chunked(strings.Repeat(chunk(1000), 900)), 6, withLength("/", bodyLimit, strings.Repeat("b", bodyLimit)), "200 1048576 bytes"},
		"idle":   {"", 1500, withLength("/", 5, "short"), "200 5 bytes"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSite(t, 48<<20)
				answers := make(chan string, tc.most)
				for range tc.most {
					go func() {
						answer, _ := s.send(tc.stopped)
						answers <- answer
					}()
				}
				time.Sleep(time.Second)
				answer, _ := s.send(tc.text)
				is.Equal(answer, tc.answer)
				gone := <-answers
				is.True(gone == "closed" || gone == "418 "+memory.ErrShed.Error() || gone == "418 "+memory.ErrNone.Error())
				time.Sleep(time.Minute)
				s.close()
			})
		})
	}
}

// Guards against requests that are sent ahead on one connection, whose heads are not counted.
func TestRequestsSentAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, 0)
		conn, err := s.net.Connect(t.Context(), "callers")
		is.NoErr(err)
		go func() { _, _ = io.WriteString(conn, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 50)) }()
		r := bufio.NewReader(conn)
		for range 50 {
			resp, err := http.ReadResponse(r, nil)
			is.NoErr(err)
			_, err = io.Copy(io.Discard, resp.Body)
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
		}
		_ = conn.Close()
		s.close()
	})
}

// Guards against other daemons that have to give way to connections which have not proved who they are.
func TestProvenPeersStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var n memnet.Net
		b := &memory.Budget{Descriptors: 12} // four for peers
		ln := (&Server{Budget: b, Kind: memory.Peers}).Listen(n.Listen("peers"))
		accepted := make(chan net.Conn, 1)
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				select {
				case accepted <- c: // the first
				default:
					go func() { // closed once its client has to give way, or leaves
						_, _ = io.Copy(io.Discard, c)
						_ = c.Close()
					}()
				}
			}
		}()
		var clients []net.Conn
		connect := func() net.Conn {
			c, err := n.Connect(t.Context(), "peers")
			is.NoErr(err)
			clients = append(clients, c)
			return c
		}
		daemon := connect()
		first := <-accepted
		Trust(first)
		accepted <- first // takes the only place
		for range 20 {
			time.Sleep(time.Second)
			connect()
		}
		go func() { _, _ = daemon.Write([]byte("frame")) }()
		got := make([]byte, 5)
		_, err := io.ReadFull(first, got)
		is.NoErr(err)
		synctest.Wait()
		used, limit := b.Used(memory.Peers)
		is.Equal(used, limit)
		_ = ln.Close()
		_ = first.Close()
		for _, c := range clients {
			_ = c.Close()
		}
	})
}

// Guards against a client that stops and is told that its request is wrong, which it does not send again: a reader of chunks hides the error of the connection.
func TestHiddenErrors(t *testing.T) {
	cases := map[string]struct {
		room int64 // that another client asks for meanwhile
		want error
	}{
		"time is over":     {0, ErrBodyTimeout},
		"it had to go":     {bodyLimit, memory.ErrShed},
		"a broken request": {-1, io.ErrUnexpectedEOF},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := &memory.Budget{VM: 8 << 20}
				c, done := Of(t.Context(), b)
				defer done()
				other, otherDone := Of(t.Context(), b)
				defer otherDone()
				ctx, stop := context.WithTimeout(t.Context(), bodyTimeout)
				defer stop()
				is.True(c.Begin(bodyLimit))
				read := make(chan error, 1)
				pr, pw := io.Pipe()
				go func() {
					_, err := c.ReadBody(ctx, pr, bodyLimit, bodyLimit)
					read <- err
				}()
				time.Sleep(time.Second)
				if tc.room > 0 {
					go func() { _, _ = other.ReadBody(ctx, strings.NewReader(""), tc.room, bodyLimit) }()
					time.Sleep(time.Second)
				}
				if tc.room == 0 {
					time.Sleep(bodyTimeout)
				}
				_ = pw.CloseWithError(io.ErrUnexpectedEOF)
				is.True(errors.Is(<-read, tc.want))
			})
		})
	}
}
