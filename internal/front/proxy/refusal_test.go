package proxy

import (
	"bufio"
	"context"
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

// Guards against an upstream's status that a caller takes for a promise that its request has not run.
func TestStatusOfUpstreamThatPromises(t *testing.T) {
	budget := map[string]string{"Program": "p", "Budget": "90"}
	cases := map[string]struct {
		path     string
		header   map[string]string
		statuses []int // that promise it
		others   []int // passed on
	}{
		"safe":              {"/safe/", nil, []int{408, 421, 429, 503}, []int{401, 402, 404, 410, 500, 502, 504}},
		"unsafe":            {"/unsafe/", nil, []int{408, 421, 429, 503}, []int{401, 402, 404, 410, 500, 502, 504}},
		"stream, no budget": {"/stream/", nil, []int{408, 421, 429, 503}, []int{401, 402, 404, 410, 500, 502, 504}},
		"turn":              {"/stream/", budget, []int{402, 408, 421, 429, 503}, []int{401, 404, 410, 500, 502, 504}},
		"stored turn":       {"/keep/", budget, []int{402, 408, 421, 429, 503}, []int{401, 404, 410, 500, 502, 504}},
	}
	for name, c := range cases {
		for _, status := range slices.Concat(c.statuses, c.others) {
			t.Run(fmt.Sprint(name, " ", status), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					answer := fmt.Sprintf("HTTP/1.1 %d Own\r\nId: ID\r\nAgain: 1\r\nContent-Length: 3\r\n\r\nown", status)
					env := newTestEnv([]string{answer}, []string{answer})
					rec, aborted := env.do(t.Context(), c.path, c.header, "in")
					is.True(!aborted)
					if slices.Contains(c.others, status) {
						is.Equal(rec.Code, status)
						is.Equal(rec.Body.String(), "own")
					} else {
						is.Equal(rec.Code, 502)
						is.Equal(rec.Header().Get("Again"), "")
						is.True(strings.Contains(rec.Body.String(), `"ran":"unknown"`))
					}
					is.Equal(len(env.upstreams["up1"].requests())+len(env.upstreams["up2"].requests()), 1)
					env.close()
				})
			})
		}
	}
}

// Guards against a refusal for a request of which an earlier run was lost, and against a refusal that is
// lost because of the one before.
func TestRefusedAfterRun(t *testing.T) {
	const broken = chunked + event1 + closing
	cases := map[string]struct {
		path          string
		first, second []string
		status        int // 0 for a response that is broken off
		ran           string
	}{
		"safe, lost, refused":                {"/safe/", []string{closing}, []string{full}, 502, "unknown"},
		"safe, cut, refused":                 {"/safe/", []string{truncated}, []string{full}, 502, "unknown"},
		"safe, lost, another instance":       {"/safe/", []string{closing}, []string{wrongInstance}, 502, "unknown"},
		"safe, refused, refused":             {"/safe/", []string{full}, []string{full}, 503, "no"},
		"unsafe, refused, refused":           {"/unsafe/", []string{full}, []string{wrongInstance}, 503, "no"},
		"unsafe, refused, lost":              {"/unsafe/", []string{full}, []string{closing}, 502, "unknown"},
		"stream, refused, refused":           {"/stream/", []string{full}, []string{full}, 503, "no"},
		"stream, refused, lost":              {"/stream/", []string{full}, []string{closing}, 502, "unknown"},
		"resumed, broken off, refused":       {"/resume/", []string{broken, full}, []string{full}, 0, ""},
		"resumed, header only, refused":      {"/resume/", []string{chunked + closing, full}, []string{full}, 0, ""},
		"resumed, header only, unreachable":  {"/resume/", []string{chunked + closing, closing}, []string{full}, 0, ""},
		"resumed, lost":                      {"/resume/", []string{closing}, []string{full}, 502, "unknown"},
		"resumed, failure cut short":         {"/resume/", []string{"HTTP/1.1 500 Bad\r\nId: ID\r\nContent-Length: 9\r\n\r\nbadCLOSE", full}, []string{full}, 502, "unknown"},
		"unsafe, refused, own 503, no third": {"/unsafe/", []string{full}, []string{upstream503}, 502, "unknown"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv(c.first, c.second)
				env.setLoad("up2", 2) // so that up1 is tried first
				rec, aborted := env.do(t.Context(), c.path, map[string]string{"Program": "p"}, "in")
				is.Equal(aborted, c.status == 0)
				if !aborted {
					is.Equal(rec.Code, c.status)
					is.Equal(rec.Header().Get("Again") != "", c.ran == "no")
					is.True(strings.Contains(rec.Body.String(), `"ran":"`+c.ran+`"`))
				}
				env.close()
			})
		})
	}
}

// Guards against a request that runs although its caller was refused: the rest of a long body that arrives after the refusal.
func TestRefusedBeforeLongBody(t *testing.T) {
	refusals := map[string]string{"full": full, "another instance": wrongInstance, "with a body": strings.Replace(full, "Length: 0\r\n\r\n", "Length: 4\r\n\r\nfull", 1), "body without end": strings.Replace(full, "Length: 0", "Length: 9", 1)}
	for name, refusal := range refusals {
		for _, path := range []string{"/unsafe/", "/stream/"} {
			t.Run(name+", "+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					body := strings.Repeat("b", 100<<10)
					env := newTestEnv([]string{ok})
					env.allowLongBodies()
					var upstream sync.WaitGroup
					whole := false
					env.e.Pool.Dial = func(context.Context, string) (net.Conn, error) {
						near, far := net.Pipe()
						upstream.Go(func() {
							r, err := http.ReadRequest(bufio.NewReader(far))
							is.NoErr(err)
							_, _ = io.WriteString(far, strings.ReplaceAll(refusal, "ID", "r1"))
							time.Sleep(100 * time.Millisecond) // then it reads on
							_, err = io.Copy(io.Discard, r.Body)
							whole = err == nil
						})
						return near, nil
					}
					rec, aborted := env.do(t.Context(), path, nil, body)
					is.True(!aborted)
					is.Equal(rec.Code, 503)
					is.True(rec.Header().Get("Again") != "")
					is.True(!env.e.Pool.Idle("up1"))
					upstream.Wait()
					is.True(!whole)
					env.close()
				})
			})
		}
	}
}
