package trip

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/fake/broken"
	"github.com/slaterock/slaterock/internal/plat/head"
)

const (
	plain   = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"
	chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n"
)

// server sends raw bytes as responses, in the order in which requests come, over whatever connections.
type server struct {
	net.Listener
	responses []string
	requests  atomic.Int64
	opened    atomic.Int64
	conns     sync.WaitGroup // that are open
}

func serve(t *testing.T, responses ...string) *server {
	t.Helper()
	var lc net.ListenConfig
	ln, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := &server{Listener: ln, responses: responses}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			s.opened.Add(1)
			s.conns.Go(func() { s.answer(nc) })
		}
	}()
	return s
}

// answer answers until the other end closes the connection.
func (s *server) answer(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		n := s.requests.Add(1)
		_, _ = io.WriteString(nc, s.responses[min(int(n), len(s.responses))-1])
	}
}

// do sends a request, and returns the body of the response.
func (s *server) do(t *testing.T, c *http.Client, method string) (body string, err error) {
	t.Helper()
	in := ""
	if method == http.MethodPost {
		in = "in"
	}
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+s.Addr().String(), strings.NewReader(in))
	is.New(t).NoErr(err)
	resp, err := c.Do(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

// Guards against a broken response that passes for a whole one, and a connection that is used after it.
func TestBrokenResponses(t *testing.T) {
	for _, whole := range []string{plain, chunked} {
		for kind, list := range map[string]broken.Responses{"status": broken.Statuses(whole), "name": broken.Names(whole), "value": broken.Values(whole)} {
			for what, response := range list {
				for _, used := range []bool{false, true} {
					t.Run(map[bool]string{true: "used connection, "}[used]+kind+", "+what, func(t *testing.T) {
						is := is.New(t)
						script := []string{response, whole}
						if used {
							script = []string{whole, response, whole}
						}
						s := serve(t, script...)
						told := 0
						transport := &Transport{Broken: func(*head.Error) { told++ }}
						c := &http.Client{Transport: transport}
						if used {
							_, err := s.do(t, c, http.MethodPost)
							is.NoErr(err)
						}
						_, err := s.do(t, c, http.MethodPost)
						var part *head.Error
						is.True(errors.As(err, &part))
						is.Equal(told, 1)
						body, err := s.do(t, c, http.MethodPost)
						is.NoErr(err)
						is.Equal(body, "good")
						is.Equal(s.opened.Load(), int64(2))
						transport.CloseIdleConnections()
						_ = s.Close()
						s.conns.Wait() // none is left open
					})
				}
			}
		}
	}
}

// Guards against a response with a broken name behind its last chunk that passes for a whole one.
func TestBrokenTrailers(t *testing.T) {
	for what, response := range broken.Trailers(chunked) {
		t.Run(what, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, response)
			var part head.Part
			transport := &Transport{Broken: func(err *head.Error) { part = err.Part }}
			_, err := s.do(t, &http.Client{Transport: transport}, http.MethodPost)
			is.True(err != nil)
			is.Equal(part, head.Trailer)
			transport.CloseIdleConnections()
			_ = s.Close()
			s.conns.Wait()
		})
	}
}

// Guards against whole responses that are refused, over a connection that carries several, and a read that is not sent again.
func TestWholeResponses(t *testing.T) {
	const early = "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
	is := is.New(t)
	s := serve(t, plain, chunked, early+plain, early+chunked, "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n", plain)
	transport := &Transport{}
	c := &http.Client{Transport: transport}
	for range 5 {
		body, err := s.do(t, c, http.MethodGet)
		is.NoErr(err)
		is.Equal(body, "good")
	}
	is.Equal(s.opened.Load(), int64(2))
	is.Equal(s.requests.Load(), int64(6)) // the last one twice
	transport.CloseIdleConnections()
	_ = s.Close()
	s.conns.Wait()
}
