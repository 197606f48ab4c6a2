package proxy

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

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
