package trace

import (
	"net"
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
	go broken.Serve(ln, response)
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
