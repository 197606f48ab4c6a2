package trace

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/fake/broken"
)

// collector answers each request with these bytes, over connections that stay open.
func collector(t *testing.T, response string) (address string) {
	t.Helper()
	var lc net.ListenConfig
	ln, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = nc.Close() }()
				br := bufio.NewReader(nc)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(nc, response)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// Guards against spans that are lost without a word, since a broken answer of the collector says that it has them.
func TestBrokenAnswersOfTheCollector(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for what, c := range map[string]struct {
		response string
		lost     bool
	}{
		"whole":               {whole, false},
		"status 000":          {broken.Statuses(whole)["HTTP/1.1 000"], true},
		"status 999":          {broken.Statuses(whole)["HTTP/1.1 999"], true},
		"101 before it":       {broken.Statuses(whole)["101 that nobody asked"], true},
		"blank in a name":     {broken.Names(whole)["blank inside"], true},
		"blank in the length": {broken.Names("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")["Content-Length, blank before the colon"], true},
	} {
		t.Run(what, func(t *testing.T) {
			is := is.New(t)
			var mu sync.Mutex
			lost := 0
			tr, err := Open(t.Context(), Settings{Daemon: "vm1", Endpoint: collector(t, c.response), OnError: func(error) {
				mu.Lock()
				defer mu.Unlock()
				lost++
			}})
			is.NoErr(err)
			_, span := tr.Start(t.Context(), Edge, "")
			span.End(nil)
			_ = tr.Close(t.Context()) // flushes
			mu.Lock()
			defer mu.Unlock()
			is.Equal(lost > 0, c.lost)
		})
	}
}
