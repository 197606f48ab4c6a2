package frontd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/conf/route"
	"github.com/slaterock/slaterock/internal/fake/memnet"
	"github.com/slaterock/slaterock/internal/front/fleet"
)

const (
	oldHead = 16 << 10
	newHead = 32 << 10
)

// Guards against fronts that refuse heads which a newer configuration allows, on new connections and on those of before,
// and against a request that is cut as its connection gets the new limits.
func TestHeadLimitsFollowTheConfiguration(t *testing.T) {
	cases := map[string]struct {
		before, after int           // the limits; 0 for the default
		head          int           // bytes
		kept          bool          // the connection is from before the change
		takes         time.Duration // a request on it that is under way then; 0 for none
		status        int           // 0 if the connection is closed
	}{
		"raised":                       {oldHead, newHead, 24 << 10, false, 0, http.StatusOK},
		"raised, kept connection":      {oldHead, newHead, 1 << 10, true, 0, 0},
		"raised, request under way":    {oldHead, newHead, 1 << 10, true, time.Second, http.StatusOK},
		"raised, beyond it":            {oldHead, newHead, 40 << 10, false, 0, http.StatusRequestHeaderFieldsTooLarge},
		"lowered":                      {newHead, oldHead, 24 << 10, false, 0, http.StatusRequestHeaderFieldsTooLarge},
		"from the default":             {0, newHead, 24 << 10, false, 0, http.StatusOK},
		"not changed":                  {newHead, newHead, 24 << 10, false, 0, http.StatusOK},
		"not changed, kept connection": {newHead, newHead, 24 << 10, true, 0, http.StatusOK},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := newDaemon()
				set := func(version int64, bytes int) {
					table := route.New(version, nil, nil, route.Limits{HeaderBytes: bytes})
					d.fleet.Update(time.Now(), fleet.Snapshot{Revision: uint64(version) + 10, Table: table})
				}
				set(2, c.before)
				srv := d.callersServer()
				srv.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(c.takes) })
				var n memnet.Net
				ln := n.Listen("callers")
				go func() { _ = srv.Serve(ln) }()
				defer func() { _ = srv.Close() }()
				conn, err := n.Connect(t.Context(), "callers")
				is.NoErr(err)
				defer func() { _ = conn.Close() }()
				if c.kept && c.takes == 0 {
					ask(t, conn)
				}
				time.AfterFunc(c.takes/2, func() {
					set(3, c.after)
					srv.Update()
				})
				if c.takes == 0 {
					time.Sleep(2 * retiredIdle)
				}
				if !c.kept {
					conn, err = n.Connect(t.Context(), "callers")
					is.NoErr(err)
					defer func() { _ = conn.Close() }()
				}
				is.Equal(askWith(conn, c.head), c.status)
				if c.takes > 0 {
					time.Sleep(2 * retiredIdle)
					is.Equal(askWith(conn, c.head), 0) // closed after its response
				}
			})
		})
	}
}

// askWith sends a request with a head of so many bytes, and returns the status of the response, 0 for none.
func askWith(conn net.Conn, head int) int {
	go func() {
		_, _ = fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: h\r\nA: %s\r\n\r\n", strings.Repeat("a", head))
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}
