package proxy

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	tally "github.com/uber-go/tally/v4"

	"github.com/slaterock/slaterock/internal/fake/broken"
	"github.com/slaterock/slaterock/internal/front/fleet"
)

// brokenCase is a route, with a whole response of its kind.
type brokenCase struct {
	path, whole, body string
	elsewhere         bool // another upstream may run the request
}

var brokenCases = map[string]brokenCase{
	"safe":     {"/safe/", ok, "good", true},
	"unsafe":   {"/unsafe/", ok, "good", false},
	"open":     {"/open/", ok, "good", false}, // one attempt
	"chunked":  {"/unsafe/", chunkedOK, "good", false},
	"stream":   {"/stream/", completeStream, text12, false},
	"resume":   {"/resume/", completeStream, text12, false},
	"kept":     {"/keep/", completeStream, text12, false},
	"kept too": {"/both/", completeStream, text12, false},
}

const chunkedOK = "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n"

// Guards against a response with a broken status line, or bytes behind one, that reach a caller.
func TestBrokenStatus(t *testing.T) { testBroken(t, broken.Statuses) }

// Guards against a response with a blank or a control byte in the name of a field, which reaches a caller without that line, or with a body that is not its own.
func TestBrokenNames(t *testing.T) { testBroken(t, broken.Names) }

// Guards against a response with a control byte in the value of a field, or in its reason, that reaches a caller.
func TestBrokenValues(t *testing.T) { testBroken(t, broken.Values) }

// Guards against a response with a broken name behind its last chunk that passes for a whole one, and against a stream that stops there although another upstream may go on.
func TestBrokenTrailers(t *testing.T) {
	cases := map[string]struct {
		path, first, second string
		status              int
		body                string
		aborted             bool
	}{
		"safe":   {"/safe/", chunkedOK, ok, http.StatusOK, "good", false},
		"unsafe": {"/unsafe/", chunkedOK, ok, http.StatusBadGateway, "", false},
		"stream": {"/stream/", completeStream, completeStream, http.StatusOK, text12, true},
		"kept":   {"/keep/", completeStream, completeStream, http.StatusOK, text12, true},
		"resume": {"/resume/", completeStream, chunked + end, http.StatusOK, text12, false},
	}
	for name, c := range cases {
		for what, response := range broken.Trailers(c.first) {
			for _, first := range []string{response, inPieces(response)} {
				t.Run(name+", "+what, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						is := is.NewRelaxed(t)
						env := newTestEnv([]string{first, c.second}, []string{c.second})
						env.setLoad("up2", 2) // so that up1 is tried first
						scope := tally.NewTestScope("", nil)
						env.e.Scope = scope
						rec, aborted := env.do(t.Context(), c.path, map[string]string{"Program": "p", "Budget": "9000", "Wait": "8s"}, "in")
						is.Equal(rec.Code, c.status)
						is.Equal(aborted, c.aborted)
						is.True(c.body == "" || rec.Body.String() == c.body)
						_, counted := scope.Snapshot().Counters()["responses_broken+part=trailer"]
						is.True(counted)
						env.close()
					})
				})
			}
		}
	}
}

// testBroken has an upstream send broken responses to all kinds of requests, and another one whole ones.
func testBroken(t *testing.T, responses func(whole string) broken.Responses) {
	t.Helper()
	for kind, c := range brokenCases {
		scripts := map[string][]string{}
		for what, response := range responses(c.whole) {
			scripts[what] = []string{response}
			scripts[what+", closed"] = []string{response + "CLOSE"}
			scripts[what+", in pieces"] = []string{inPieces(response)}
			scripts[what+", after another's"] = []string{late(ok) + response}
			scripts[what+", used connection"] = []string{c.whole, response}
		}
		for what, response := range responses(full) { // tells nothing about the run
			scripts[what+", refusal"] = []string{response}
		}
		for what, response := range responses(late(ok)) { // another's
			scripts[what+", another's"] = []string{response + c.whole}
		}
		for what, script := range scripts {
			t.Run(kind+", "+what, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { c.run(t, script) })
			})
		}
	}
}

// inPieces has a response come in pieces that end anywhere in its lines.
func inPieces(response string) string {
	const size = 19
	var b strings.Builder
	for piece := range slices.Chunk([]byte(response), size) {
		b.Write(piece)
		b.WriteString("PAUSE")
	}
	return strings.TrimSuffix(b.String(), "PAUSE")
}

// run sends a request, as the last one of the script of its upstream.
func (c brokenCase) run(t *testing.T, script []string) {
	is := is.NewRelaxed(t)
	env := newTestEnv(script, []string{c.whole})
	env.setLoad("up2", 2) // so that up1 is tried first
	header := map[string]string{"Program": "p", "Budget": "9000", "Id": "r00"}
	for range len(script) - 1 {
		rec, _ := env.do(t.Context(), c.path, header, "in")
		is.Equal(rec.Code, http.StatusOK)
	}
	header["Id"] = "r1"
	rec, aborted := env.do(t.Context(), c.path, header, "in")
	is.True(!aborted)
	want, sends := http.StatusBadGateway, 0
	if c.elsewhere {
		want, sends = http.StatusOK, 1
		is.Equal(rec.Body.String(), c.body)
	} else {
		is.True(strings.Contains(rec.Body.String(), `"ran":"unknown"`))
	}
	is.Equal(rec.Code, want)
	is.Equal(rec.Header().Get("Again"), "") // not told to come back
	is.Equal(len(env.upstreams["up1"].requests()), len(script))
	is.Equal(len(env.upstreams["up2"].requests()), sends)
	env.close() // waits until its connections are closed
}

// Guards against broken responses that nobody finds in the log of a request, or in the metrics, and that don't count for their upstream.
func TestBrokenResponseIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv([]string{"HTTP/1.1 000 None\r\nId: ID\r\nContent-Length: 4\r\n\r\ngood"}, []string{ok})
		env.setLoad("up2", 2) // so that up1 is tried first
		var log strings.Builder
		env.e.Log = zerolog.New(&log)
		scope := tally.NewTestScope("", nil)
		env.e.Scope = scope
		rec, _ := env.do(t.Context(), "/unsafe/", nil, "")
		is.Equal(rec.Code, http.StatusBadGateway)
		is.True(strings.Contains(log.String(), `"request":"r1"`))
		is.True(strings.Contains(log.String(), `"upstream":"up1"`))
		is.True(strings.Contains(log.String(), `"cause":"head of the response is broken: status 000"`))
		is.Equal(scope.Snapshot().Counters()["responses_broken+part=status"].Value(), int64(1))
		is.True(env.e.Picker.Avoids(time.Now(), "up1"))
		env.close()
	})
}

// Guards against a service that serves nobody for a while, since one response of each of its upstreams was broken.
func TestBrokenResponsesOfAllUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		script := []string{strings.Replace(ok, "200", "000", 1), ok}
		env := newTestEnv(script, script)
		rec, _ := env.do(t.Context(), "/safe/", nil, "")
		is.Equal(rec.Code, http.StatusBadGateway)
		for _, path := range []string{"/safe/", "/unsafe/"} {
			rec, _ = env.do(t.Context(), path, map[string]string{"Id": "r2"}, "")
			is.Equal(rec.Code, http.StatusOK)
		}
		env.close()
	})
}

// Guards against a start that an upstream states in a broken response, and that decides where a stream goes on.
func TestBrokenStatementOfAStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv([]string{completeStream})
		env.changeUpstreams(func(up *fleet.Upstream) { up.Born = 17 })
		env.upstreams["up1"].startStatus = "000"
		env.upstreams["up1"].born = 18
		var log strings.Builder
		env.e.Log = zerolog.New(&log)
		scope := tally.NewTestScope("", nil)
		env.e.Scope = scope
		rec, _ := env.do(t.Context(), "/resume/", nil, "")
		is.Equal(rec.Code, http.StatusOK)
		is.True(strings.Contains(log.String(), `"error":"ask for the start of the upstream: head of the response is broken: status 000","request":"r1","upstream":"up1"`))
		is.Equal(scope.Snapshot().Counters()["responses_broken+part=status"].Value(), int64(1))
		env.close()
	})
}
