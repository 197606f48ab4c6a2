package proxy

import (
	"context"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/conf/route"
	"github.com/slaterock/slaterock/internal/front/fleet"
)

// allowLongBodies lets requests have bodies that are not written at once.
func (env *testEnv) allowLongBodies() {
	v := env.e.Fleet.View()
	table := route.New(v.Table.Version+1, routes, []route.Service{{Name: "s", EventTokens: 3}}, route.Limits{BodyBytes: 1 << 20})
	env.e.Fleet.Update(time.Now(), fleet.Snapshot{Revision: v.Revision + 1, Table: table, Upstreams: v.Listed.List()})
}

// closingConn is a connection to an upstream that ends before anything is written.
type closingConn struct {
	net.Conn
	up *fakeUpstream
}

func (c closingConn) Write(b []byte) (int, error) {
	c.up.end()
	return c.Conn.Write(b)
}

// Guards against a request that has not left, and ends as one that may have run.
func TestConnectionClosedBeforeRequest(t *testing.T) {
	for name, body := range map[string]string{"short body": "in", "long body": strings.Repeat("b", 100<<10)} {
		for _, path := range []string{"/safe/", "/unsafe/", "/stream/"} {
			t.Run(name+", "+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					answer := map[bool]string{true: completeStream, false: ok}[path == "/stream/"]
					env := newTestEnv([]string{answer}, []string{answer})
					env.allowLongBodies()
					env.setLoad("up2", 2) // so that up1 is tried first
					dial := env.e.Pool.Dial
					env.e.Pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
						conn, err := dial(ctx, address)
						if address == "up1" {
							conn = closingConn{conn, env.upstreams["up1"]}
						}
						return conn, err
					}
					rec, aborted := env.do(t.Context(), path, nil, body)
					is.True(!aborted)
					is.Equal(rec.Code, 200)
					is.Equal([2]int{len(env.upstreams["up1"].requests()), len(env.upstreams["up2"].requests())}, [2]int{0, 1})
					env.close()
				})
			})
		}
	}
}

// Guards against a request that is held by the body of its refusal, instead of being sent on.
func TestBodyOfRefusalThatDoesNotEnd(t *testing.T) {
	const head = "HTTP/1.1 503 Full\r\nId: ID\r\nNot-Run: 1\r\n"
	refusals := map[string]string{
		"cut":         head + "Content-Length: 9\r\n\r\nabcCLOSE",
		"half":        head + "Content-Length: 9\r\n\r\nabcHANG",
		"half, later": head + "Content-Length: 9\r\n\r\nabcPAUSEdefghi",
		"chunks":      head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nHANG",
		"no length":   head + "\r\nabcHANG",
		"slow":        head + "\r\n" + strings.Repeat("abcPAUSE", 30),
		"long":        head + "Content-Length: 99999999\r\n\r\n" + strings.Repeat("b", 18<<20),
	}
	for name, refusal := range refusals {
		for _, path := range []string{"/safe/", "/unsafe/", "/stream/"} {
			t.Run(name+", "+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					answer := map[bool]string{true: completeStream, false: ok}[path == "/stream/"]
					env := newTestEnv([]string{refusal}, []string{answer})
					env.setLoad("up2", 2) // so that up1 is tried first
					began := time.Now()
					rec, aborted := env.do(t.Context(), path, nil, "")
					is.True(!aborted)
					is.Equal(rec.Code, 200)
					is.True(time.Since(began) <= 50*time.Millisecond)
					is.True(!env.e.Pool.Idle("up1")) // its next response would not be told from the rest
					env.close()
				})
			})
		}
	}
}
