package proxy

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// leaveEnd is when the front has answered all requests, from the moment at which it begins to leave.
const leaveEnd = 7 * time.Second

// lateBody is a body that is whole at some time.
type lateBody struct {
	whole time.Time
	rest  io.Reader
}

func (b lateBody) Read(p []byte) (int, error) {
	time.Sleep(time.Until(b.whole))
	return b.rest.Read(p)
}

// Guards against requests that a front takes so late that it ends before their answer, and against ones that are cut
// without one.
func TestRequestsOfALeavingFront(t *testing.T) {
	slow := func(takes time.Duration) string {
		pauses := strings.Repeat("PAUSE", int(takes/(100*time.Millisecond)))
		return pauses + "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nok"
	}
	cases := map[string]struct {
		path   string
		began  time.Duration // when its head comes
		whole  time.Duration // when its body is whole
		wait   time.Duration // of the caller
		usual  time.Duration // that such requests ran lately; 0 for not known
		takes  time.Duration
		status int
		runs   int
	}{
		"in time by its deadline":       {"/unsafe/", 0, time.Second, 5 * time.Second, 0, time.Second, 200, 1},
		"in time as usual":              {"/unsafe/", 0, 3 * time.Second, 20 * time.Second, 3 * time.Second, 3 * time.Second, 200, 1},
		"not known":                     {"/unsafe/", 0, time.Second, 20 * time.Second, 0, time.Second, 503, 0},
		"too late as usual":             {"/unsafe/", time.Second, 4 * time.Second, 20 * time.Second, 3 * time.Second, 3 * time.Second, 503, 0},
		"idempotent, too late":          {"/safe/", time.Second, 6 * time.Second, 20 * time.Second, 3 * time.Second, 3 * time.Second, 503, 0},
		"began before, runs to the end": {"/unsafe/", -time.Second, -time.Second, 20 * time.Second, 0, 12 * time.Second, 504, 1},
		"takes longer than usual":       {"/unsafe/", 0, time.Second, 20 * time.Second, time.Second, 12 * time.Second, 504, 1},
		"turn, too late":                {"/keep/", time.Second, 5 * time.Second, 20 * time.Second, 3 * time.Second, time.Second, 503, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv([]string{slow(c.takes)})
				defer env.close()
				leaves := time.Now().Add(2 * time.Second)
				time.AfterFunc(time.Until(leaves), func() { env.e.Drain(leaves.Add(leaveEnd)) })
				if c.usual > 0 {
					env.e.lasted.Add(time.Now(), strings.Trim(c.path, "/"), c.usual)
				}
				time.Sleep(time.Until(leaves.Add(c.began)))
				r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, c.path, lateBody{leaves.Add(c.whole), strings.NewReader("in")})
				r.Host = "h"
				r.Header.Set("Id", "r1")
				r.Header.Set("Wait", c.wait.String())
				rec := httptest.NewRecorder()
				env.e.ServeHTTP(rec, r)
				is.Equal(rec.Code, c.status)
				is.Equal(len(env.upstreams["up1"].requests()), c.runs)
				is.True(!time.Now().After(leaves.Add(leaveEnd)))
				if c.runs == 0 {
					is.Equal(rec.Header().Get("Connection"), "close")
				}
			})
		})
	}
}
