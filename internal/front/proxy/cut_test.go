package proxy

import (
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// Guards against a late copy that is cut within its header, and whose status and fields are taken for those of the response behind it.
func TestCutCopyBeforeOwnResponse(t *testing.T) {
	copies := map[string]string{
		"refusal":          late(full),
		"refusal, id last": "HTTP/1.1 503 Full\r\nContent-Length: 4\r\nNot-Run: 1\r\nId: r0\r\n\r\nfull",
		"another instance": late(wrongInstance),
		"failure":          late(upstream500),
		"success":          late(ok),
	}
	cases := map[string]struct {
		path, own string
		status    int // of the own response
	}{
		"unsafe":          {"/unsafe/", ok, 200},
		"unsafe, failure": {"/unsafe/", upstream500, 500},
		"stream":          {"/stream/", completeStream, 200},
	}
	for copied, before := range copies {
		for name, c := range cases {
			t.Run(name+", after "+copied, func(t *testing.T) {
				for n := 1; n < len(before); n++ {
					synctest.Test(t, func(t *testing.T) { checkOwnStatus(t, c.path, before[:n], c.own, c.status) })
				}
			})
		}
	}
}

// checkOwnStatus sends two requests over one connection. The response to the second one is own, with cut before
// it. The caller must get its status, or one that leaves open whether the request ran.
func checkOwnStatus(t *testing.T, path, cut, own string, status int) {
	is := is.NewRelaxed(t)
	first, second := ok, ok
	if path == "/stream/" {
		first, second = completeStream, completeStream
	}
	env := newTestEnv([]string{first, cut + own}, []string{second})
	env.setLoad("up2", 2) // so that up1 is tried first
	rec, _ := env.do(t.Context(), path, map[string]string{"Id": "r0"}, "")
	is.Equal(rec.Code, 200)
	rec, _ = env.do(t.Context(), path, map[string]string{"Id": "r1"}, "")
	t.Logf("%q: status %d", cut, rec.Code)
	is.True(rec.Code == status || rec.Code == 502 || rec.Code == 504)
	is.True(rec.Code == status || strings.Contains(rec.Body.String(), `"ran":"unknown"`))
	is.Equal([2]int{len(env.upstreams["up1"].requests()), len(env.upstreams["up2"].requests())}, [2]int{2, 0})
	env.close()
}
