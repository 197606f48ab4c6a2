package proxy

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// late is a response as a faulty upstream sends it once more, where the response to a later request is due.
func late(response string) string { return strings.ReplaceAll(response, "ID", "r0") }

// Guards against responses to earlier requests that decide about a later one: an unsafe request that runs
// twice, or whose caller is told that it has not run.
func TestLateExtraResponses(t *testing.T) {
	const noID = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	extras := map[string]string{
		"refusal":          late(full),
		"refusals, two":    late(full) + late(full),
		"another instance": late(wrongInstance),
		"failure":          late(upstream500),
		"success":          late(ok),
		"stream":           late(completeStream),
		"refusal, success": late(full) + late(ok),
	}
	cases := map[string]struct {
		path, response string // of the upstream to the present request
		status         int
		ran            string
		sends          [2]int // of the present request
	}{
		"unsafe, own success":       {"/unsafe/", ok, 200, "", [2]int{1, 0}},
		"unsafe, own refusal":       {"/unsafe/", full, 200, "", [2]int{1, 1}},
		"unsafe, own failure":       {"/unsafe/", upstream500, 500, "", [2]int{1, 0}},
		"unsafe, closed":            {"/unsafe/", closing, 502, "unknown", [2]int{1, 0}},
		"unsafe, silent":            {"/unsafe/", silent, 504, "unknown", [2]int{1, 0}},
		"unsafe, truncated":         {"/unsafe/", truncated, 502, "unknown", [2]int{1, 0}},
		"unsafe, refusal of nobody": {"/unsafe/", noID, 502, "unknown", [2]int{1, 0}},
		"unsafe, only extra ones":   {"/unsafe/", strings.Repeat(late(full), maxForeign+1), 502, "unknown", [2]int{1, 0}},
		"safe, own success":         {"/safe/", ok, 200, "", [2]int{1, 0}},
		"safe, own refusal":         {"/safe/", full, 200, "", [2]int{1, 1}},
		"safe, closed":              {"/safe/", closing, 200, "", [2]int{1, 1}},
		"safe, silent":              {"/safe/", silent, 200, "", [2]int{1, 1}},
		"stream, own success":       {"/stream/", completeStream, 200, "", [2]int{1, 0}},
		"stream, own refusal":       {"/stream/", full, 200, "", [2]int{1, 1}},
		"stream, closed":            {"/stream/", closing, 502, "unknown", [2]int{1, 0}},
	}
	for extra, before := range extras {
		for name, c := range cases {
			t.Run(name+", after "+extra, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					first, second := ok, ok
					if c.path == "/stream/" {
						first, second = completeStream, completeStream
					}
					env := newTestEnv([]string{first, before + c.response}, []string{second})
					env.setLoad("up2", 2) // so that up1 is tried first
					rec, _ := env.do(t.Context(), c.path, map[string]string{"Id": "r0"}, "")
					is.Equal(rec.Code, 200)
					began := time.Now()
					rec, _ = env.do(t.Context(), c.path, map[string]string{"Id": "r1"}, "")
					is.Equal(rec.Code, c.status)
					is.Equal(rec.Header().Get("Again"), "") // not told to come back
					is.True(c.ran == "" || strings.Contains(rec.Body.String(), `"ran":"`+c.ran+`"`))
					is.Equal([2]int{len(env.upstreams["up1"].requests()) - 1, len(env.upstreams["up2"].requests())}, c.sends)
					is.True(time.Since(began) <= 2*time.Second)
					is.True(c.path != "/safe/" || time.Since(began) <= ownResponseWait)
					env.close()
				})
			})
		}
	}
}

// Guards against a run in progress that is given up because a response to another request came before its own.
func TestOwnResponseLongAfterExtraOne(t *testing.T) {
	const later = "PAUSEPAUSEPAUSEPAUSEPAUSEPAUSEPAUSE" // 700 ms, longer than ownResponseWait
	cases := map[string]struct {
		path, first, second string // responses of both upstreams
		body                string
		sends               [2]int
		took                time.Duration
	}{
		"unsafe":              {"/unsafe/", late(full) + later + ok, ok, "good", [2]int{1, 0}, 700 * time.Millisecond},
		"stream":              {"/stream/", late(full) + later + completeStream, completeStream, text12, [2]int{1, 0}, 700 * time.Millisecond},
		"stream, three tries": {"/tries/", late(full) + later + completeStream, completeStream, text12, [2]int{1, 0}, 700 * time.Millisecond},
		"safe":                {"/safe/", late(full) + later + ok, ok, "good", [2]int{1, 1}, ownResponseWait},
		"safe, its last try":  {"/safe/", full, late(full) + later + ok, "good", [2]int{1, 1}, 700 * time.Millisecond},
		"safe, a slow body":   {"/safe/", late(full) + strings.Replace(ok, "good", later+"good", 1), ok, "good", [2]int{1, 0}, 700 * time.Millisecond},
		"safe, after success": {"/safe/", late(ok) + later + ok, ok, "good", [2]int{1, 1}, ownResponseWait},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv([]string{c.first}, []string{c.second})
				env.setLoad("up2", 2) // so that up1 is tried first
				began := time.Now()
				rec, aborted := env.do(t.Context(), c.path, nil, "")
				is.True(!aborted)
				is.Equal(rec.Code, 200)
				is.Equal(rec.Body.String(), c.body)
				is.Equal(time.Since(began), c.took)
				is.Equal([2]int{len(env.upstreams["up1"].requests()), len(env.upstreams["up2"].requests())}, c.sends)
				env.close()
			})
		})
	}
}

// Guards against an upstream that is avoided, or a connection that is kept, because of a response to another request.
func TestExtraResponseTellsNothingOfItsUpstream(t *testing.T) {
	for name, extra := range map[string]string{"refusal": full, "another instance": wrongInstance, "failure": upstream500} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv([]string{late(extra) + ok, ok}, []string{ok})
				env.setLoad("up2", 1) // so that up1 is tried first
				for _, id := range []string{"r1", "r2"} {
					rec, _ := env.do(t.Context(), "/unsafe/", map[string]string{"Id": id}, "")
					is.Equal(rec.Code, 200)
					is.Equal(env.e.Pool.Idle("up1"), id == "r2")
				}
				is.Equal(len(env.upstreams["up1"].requests()), 2)
				env.close()
			})
		})
	}
}

// Guards against a success that its upstream did not sign and that reaches the caller, and against a failure
// that does not because of it.
func TestUnsignedResponses(t *testing.T) {
	unsigned := func(response string) string { return strings.Replace(response, "\r\n", "\r\nUnsigned: 1\r\n", 1) }
	cases := map[string]struct {
		path, first, second string
		status              int
		body                string
		sends               [2]int
	}{
		"safe":                  {"/safe/", unsigned(ok), ok, 200, "good", [2]int{1, 1}},
		"safe, both":            {"/safe/", unsigned(ok), unsigned(ok), 502, "answer_lost", [2]int{1, 1}},
		"unsafe":                {"/unsafe/", unsigned(ok), ok, 502, `"ran":"unknown"`, [2]int{1, 0}},
		"unsafe, other success": {"/unsafe/", unsigned("HTTP/1.1 204 No Content\r\nId: ID\r\n\r\n"), ok, 502, `"ran":"unknown"`, [2]int{1, 0}},
		"stream":                {"/stream/", unsigned(completeStream), completeStream, 502, `"ran":"unknown"`, [2]int{1, 0}},
		"stored stream":         {"/keep/", unsigned(completeStream), completeStream, 502, `"ran":"unknown"`, [2]int{1, 0}},
		"failure":               {"/unsafe/", unsigned(upstream500), ok, 500, "bad", [2]int{1, 0}},
		"refusal":               {"/unsafe/", unsigned(full), ok, 200, "good", [2]int{1, 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv([]string{c.first}, []string{c.second})
				env.setLoad("up2", 2) // so that up1 is tried first
				rec, aborted := env.do(t.Context(), c.path, nil, "")
				is.True(!aborted)
				is.Equal(rec.Code, c.status)
				is.True(strings.Contains(rec.Body.String(), c.body))
				is.Equal(rec.Header().Get("Again"), "")
				is.Equal([2]int{len(env.upstreams["up1"].requests()), len(env.upstreams["up2"].requests())}, c.sends)
				env.close()
			})
		})
	}
}

// Guards against a second copy of a refusal that is taken for the refusal of the next send of the same
// request to the same upstream, which runs it.
func TestCopyOfRefusalBeforeNextSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv([]string{chunked + event1 + "CLOSE", full + "PAUSE" + full, chunked + event2 + end}, []string{chunked + event2 + end})
		env.setLoad("up2", 2)
		rec, aborted := env.do(t.Context(), "/resume/", map[string]string{"Program": "x"}, "in")
		is.True(!aborted)
		is.Equal(rec.Body.String(), text12)
		is.Equal(len(env.upstreams["up1"].requests()), 3) // the stream, the refusal, and the send that ran
		env.close()
	})
}

// Guards against a late copy of a response to HEAD that has no body, but states the length of one: the next
// request's own response would be read as that body.
func TestLateCopyOfHeadResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		headOnly := strings.TrimSuffix(ok, "good")
		env := newTestEnv([]string{headOnly, late(headOnly) + ok, ok})
		rec, _ := env.doMethod(t.Context(), http.MethodHead, "/safe/", map[string]string{"Id": "r0"}, "")
		is.Equal(rec.Code, 200)
		is.True(!env.e.Pool.Idle("up1"))
		env.close()
	})
}
