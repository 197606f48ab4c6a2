package frontd

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/conf/route"
	"github.com/slaterock/slaterock/internal/fake/memnet"
	"github.com/slaterock/slaterock/internal/front/fleet"
)

// The operator changes the idle time while callers are connected; one that reuses its connection within the new time must not find it closed after the old one.
func TestIdleTimeFollowsTheConfiguration(t *testing.T) {
	cases := map[string]struct {
		at     time.Duration // when the idle time changes
		to     time.Duration
		closed time.Duration // how long after the response the connection is closed
	}{
		"it stays":                      {time.Second, 6 * time.Second, 6 * time.Second},
		"longer, before the request":    {0, 12 * time.Second, 12 * time.Second},
		"longer, while it is idle":      {5 * time.Second, 12 * time.Second, 12 * time.Second},
		"shorter, before the request":   {0, 2 * time.Second, 2 * time.Second},
		"the default, while it is idle": {time.Second, 0, idleTimeout},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := newDaemon()
				set := func(version int64, idle time.Duration) {
					table := route.New(version, nil, nil, route.Limits{IdleTime: idle})
					d.fleet.Update(time.Now(), fleet.Snapshot{Revision: uint64(version) + 10, Table: table})
				}
				set(2, 6*time.Second)
				srv := d.callersServer()
				srv.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
				var n memnet.Net
				ln := n.Listen("callers")
				go func() { _ = srv.Serve(ln) }()
				defer func() { _ = srv.Close() }()
				conn, err := n.Connect(t.Context(), "callers")
				is.NoErr(err)
				defer func() { _ = conn.Close() }()
				if tc.at == 0 {
					set(3, tc.to)
				}
				ask(t, conn)
				answered := time.Now()
				if tc.at > 0 {
					time.AfterFunc(tc.at, func() { set(3, tc.to) })
				}
				_, err = conn.Read(make([]byte, 1))
				is.Equal(err, io.EOF)
				is.Equal(time.Since(answered), tc.closed)
			})
		})
	}
}

// ask sends a request and reads the whole response.
func ask(t *testing.T, conn net.Conn) {
	t.Helper()
	go func() { _, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
}
