package frontd

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slaterock/slaterock/internal/conf/route"
	"github.com/slaterock/slaterock/internal/fake/memnet"
	"github.com/slaterock/slaterock/internal/front/fleet"
)

// Guards against a request that arrives as its connection has been idle for long enough, is served, and gets no response.
func TestRequestAtTheEndOfIdleTime(t *testing.T) {
	served, lost := 0, 0
	for range 500 {
		synctest.Test(t, func(t *testing.T) {
			d := newDaemon()
			d.fleet.Update(time.Now(), fleet.Snapshot{Revision: 12, Table: route.New(2, nil, nil, route.Limits{IdleTime: 6 * time.Second})})
			srv := d.callersServer()
			var ran atomic.Int64
			srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				ran.Add(1)
				time.Sleep(time.Millisecond)
				w.WriteHeader(http.StatusNoContent)
			})
			var n memnet.Net
			ln := n.Listen("callers")
			go func() { _ = srv.Serve(ln) }()
			defer func() { _ = srv.Close() }()
			conn, err := n.Connect(t.Context(), "callers")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			ask(t, conn)
			time.Sleep(6 * time.Second)
			_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			b, _ := io.ReadAll(io.LimitReader(conn, 10))
			time.Sleep(time.Second) // until the handler has ended
			if ran.Load() == 2 {
				served++
				if !strings.HasPrefix(string(b), "HTTP/1.1 2") {
					lost++
				}
			}
		})
	}
	t.Logf("%d served, %d of them without a response", served, lost)
	if lost > 0 {
		t.Errorf("%d of %d requests were served without a response", lost, served)
	}
}
