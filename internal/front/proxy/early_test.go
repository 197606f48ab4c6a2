package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	tally "github.com/uber-go/tally/v4"

	"github.com/slaterock/slaterock/internal/conf/route"
	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/fake/early"
	"github.com/slaterock/slaterock/internal/front/fleet"
)

const (
	eventA   = "id:1\ndata:a\n\n"
	eventB   = "id:2\ndata:b\n\n"
	longest  = 8 << 20 // body of a request that no kernel takes whole
	partBody = "part"
)

// earlyCase is a route, with the body of a response that is sent before the request was read.
type earlyCase struct {
	path, body string
	stream     bool
	elsewhere  bool // another upstream may run the request
}

var (
	earlyCases = map[string]earlyCase{
		"safe":   {"/safe/", partBody, false, true},
		"unsafe": {"/unsafe/", partBody, false, false},
		"long":   {"/unsafe/", strings.Repeat(partBody, 30<<10), false, false},
		"open":   {"/open/", partBody, false, false},
		"stream": {"/stream/", eventA, true, false},
		"tries":  {"/tries/", eventA, true, false},
		"kept":   {"/keep/", eventA, true, false},
	}
	// earlyHeads are those of responses whose body ends with the connection.
	earlyHeads = map[string]string{
		"no length":         "HTTP/1.1 200 OK\r\nId: ID\r\n\r\n",
		"HTTP/1.0":          "HTTP/1.0 200 OK\r\nId: ID\r\n\r\n",
		"connection: close": "HTTP/1.1 200 OK\r\nId: ID\r\nConnection: close\r\n\r\n",
		"after a 103":       "HTTP/1.1 103 Early\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nId: ID\r\n\r\n",
		"404":               "HTTP/1.1 404 None\r\nId: ID\r\n\r\n",
		"500":               "HTTP/1.1 500 Broken\r\nId: ID\r\n\r\n",
	}
	earlySizes = map[string]int{"short": 1 << 10, "1 MiB": 1 << 20, "8 MiB": longest}
)

// newEarlyEnv returns a front before upstreams that respond early, over TCP. The first one is tried first.
func newEarlyEnv(t *testing.T, answers ...[]early.Answer) (env *testEnv, ups []*early.Upstream) {
	t.Helper()
	env = newTestEnv(make([][]string, len(answers))...)
	addresses := map[string]string{}
	for i, list := range answers {
		u := &early.Upstream{IDField: "Id", Answers: list}
		address, err := u.Listen(t.Context())
		is.New(t).NoErr(err)
		addresses[fmt.Sprint("up", i+1)] = address
		ups = append(ups, u)
	}
	v := env.e.Fleet.View()
	list := v.Listed.List()
	for i := range list {
		list[i].Address = addresses[list[i].ID]
	}
	table := route.New(2, routes, []route.Service{{Name: "s", EventTokens: 3}}, route.Limits{BodyBytes: 2 * longest})
	env.e.Fleet.Update(time.Now(), fleet.Snapshot{Revision: v.Revision + 1, Table: table, Upstreams: list})
	env.e.Pool.Dial = nil
	if len(answers) > 1 {
		env.setLoad("up2", 2)
	}
	return env, ups
}

func closeEarly(env *testEnv, ups []*early.Upstream) {
	env.close()
	for _, u := range ups {
		u.Close()
	}
}

// storesTurn reports whether a turn was stored.
func (env *testEnv) storesTurn() bool {
	return slices.ContainsFunc(env.rec.stored(), func(r index.Record) bool { return r.Turn != nil })
}

// Guards against a part of a response that passes for the whole one, or enters a history, when its upstream resets the connection
// while the request is being written.
func TestEarlyResponseThatIsReset(t *testing.T) {
	ends := map[string]early.Answer{
		"at once":              {End: early.Reset},
		"after a part":         {End: early.Reset, ReadFirst: 100 << 10},
		"closed, then at once": {End: early.CloseAndReset},
		"closed, after a part": {End: early.CloseAndReset, ReadFirst: 100 << 10},
		"after 1000 bytes":     {End: early.Reset, ReadFirst: 1000},
	}
	for kind, c := range earlyCases {
		for what, head := range earlyHeads {
			for size, n := range earlySizes {
				for when, answer := range ends {
					if int64(n) <= answer.ReadFirst || answer.End == early.CloseAndReset && n < longest {
						continue // not reset while it is written
					}
					answer.Response = head + c.body
					t.Run(strings.Join([]string{kind, what, size, when}, ", "), func(t *testing.T) { c.cut(t, answer, n) })
				}
			}
		}
	}
}

// cut sends a request with a body of n bytes, whose response is cut.
func (c earlyCase) cut(t *testing.T, answer early.Answer, n int) {
	is := is.NewRelaxed(t)
	whole := strings.Replace(ok, "good", "else", 1)
	env, ups := newEarlyEnv(t, []early.Answer{answer}, []early.Answer{{Response: whole, End: early.ReadOn}})
	defer closeEarly(env, ups)
	rec, aborted := env.do(t.Context(), c.path, map[string]string{"Program": "p", "Budget": "9000", "Wait": "20s"}, strings.Repeat("x", n))
	streams := c.stream && strings.Contains(answer.Response, " 200 ")
	switch {
	case c.elsewhere:
		is.Equal(rec.Code, http.StatusOK)
		is.Equal(rec.Body.String(), "else")
	case streams && aborted: // its beginning was passed on
		is.Equal(rec.Code, http.StatusOK)
	default:
		is.Equal(rec.Code, http.StatusBadGateway)
		is.True(strings.Contains(rec.Body.String(), `"ran":"unknown"`))
	}
	is.Equal(rec.Header().Get("Again"), "") // not told to come back
	is.Equal(ups[0].Answered(), 1)
	is.Equal(ups[1].Answered() > 0, c.elsewhere)
	is.True(!env.storesTurn())
	is.True(env.e.Picker.Avoids(time.Now(), "up1"))
}

// Guards against a stream that ends, or is stored without its end, when a part of it was taken for the whole, although it may go on.
func TestEarlyStreamGoesOn(t *testing.T) {
	for _, path := range []string{"/resume/", "/both/"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			env, ups := newEarlyEnv(t, []early.Answer{
				{Response: streamHead + "\r\n" + eventA, End: early.Reset}, {Response: streamHead + "\r\n" + eventB, End: early.ReadThenClose},
			})
			defer closeEarly(env, ups)
			rec, aborted := env.do(t.Context(), path, map[string]string{"Program": "p", "Budget": "9000", "Wait": "20s"}, strings.Repeat("x", longest))
			is.True(!aborted)
			is.Equal(rec.Code, http.StatusOK)
			is.Equal(rec.Body.String(), text12)
			is.Equal(ups[0].Answered(), 2)
			is.Equal(env.storesTurn(), path == "/both/")
		})
	}
}

// Guards against "not run" where it is not known, and a request that is not sent on where it is, when a refusal is cut.
func TestEarlyRefusalThatIsReset(t *testing.T) {
	const refused, failed = "HTTP/1.1 503 Full\r\nId: ID\r\nNot-Run: 1\r\n\r\npart", "HTTP/1.1 503 Full\r\nId: ID\r\n\r\npart"
	cases := map[string]struct {
		path, response string
		status         int
	}{
		"unsafe, not run":      {"/unsafe/", refused, http.StatusOK},
		"unsafe, may have run": {"/unsafe/", failed, http.StatusBadGateway},
		"safe, not run":        {"/safe/", refused, http.StatusOK},
		"safe, may have run":   {"/safe/", failed, http.StatusOK},
		"open, not run":        {"/open/", refused, http.StatusOK},
		"open, may have run":   {"/open/", failed, http.StatusBadGateway},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			env, ups := newEarlyEnv(t, []early.Answer{{Response: c.response, End: early.Reset}}, []early.Answer{{Response: ok, End: early.ReadOn}})
			defer closeEarly(env, ups)
			rec, _ := env.do(t.Context(), c.path, map[string]string{"Wait": "20s"}, strings.Repeat("x", longest))
			is.Equal(rec.Code, c.status)
			is.Equal(strings.Contains(rec.Body.String(), `"ran":"unknown"`), c.status != http.StatusOK)
		})
	}
}

// Guards against whole responses that are refused since their requests were not read first.
func TestEarlyResponseThatIsWhole(t *testing.T) {
	for kind, c := range earlyCases {
		for what, head := range earlyHeads {
			for size, n := range earlySizes {
				t.Run(strings.Join([]string{kind, what, size}, ", "), func(t *testing.T) {
					is := is.NewRelaxed(t)
					env, ups := newEarlyEnv(t, []early.Answer{{Response: head + c.body, End: early.ReadThenClose}})
					defer closeEarly(env, ups)
					rec, aborted := env.do(t.Context(), c.path, map[string]string{"Program": "p", "Budget": "9000", "Wait": "20s"}, strings.Repeat("x", n))
					is.True(!aborted)
					is.True(strings.Contains(head, fmt.Sprintf(" %d ", rec.Code)))
					is.Equal(rec.Body.String(), c.body)
					is.Equal(env.storesTurn(), kind == "kept" && rec.Code == http.StatusOK)
				})
			}
		}
	}
}

// Guards against bytes of another request where an upstream that has responded still awaits the rest of a body.
func TestEarlyResponseOverAConnectionThatStays(t *testing.T) {
	for kind, response := range map[string]string{"length": ok, "chunks": chunkedOK} {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			env, ups := newEarlyEnv(t, []early.Answer{{Response: response, End: early.ReadOn}})
			for i := range 5 {
				rec, _ := env.do(t.Context(), "/unsafe/", map[string]string{"Id": fmt.Sprint("r", i), "Wait": "20s"}, strings.Repeat("x", longest))
				is.Equal(rec.Code, http.StatusOK)
			}
			is.Equal(ups[0].Answered(), 5)
			closeEarly(env, ups)
			for _, received := range ups[0].Received() {
				is.NoErr(checkRequests(received))
			}
		})
	}
}

// checkRequests reports an error unless these are requests whose bodies are as sent, of which the last one may be cut.
func checkRequests(received []byte) error {
	br := bufio.NewReader(bytes.NewReader(received))
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		body, err := io.ReadAll(r.Body)
		if strings.Trim(string(body), "x") != "" {
			return fmt.Errorf("other bytes in the body of request %s", r.Header.Get("Id"))
		}
		if err != nil {
			return nil //nolint:nilerr // cut
		}
	}
}

// Guards against a response that was cut and that nobody finds in the log of its request, or in the metrics.
func TestEarlyResetIsLogged(t *testing.T) {
	cases := map[string]struct {
		path, response string
		end            string
	}{
		"unsafe":           {"/unsafe/", earlyHeads["no length"] + partBody, endLost},
		"stream":           {"/stream/", earlyHeads["no length"] + eventA, endInterrupted},
		"stream, refusal":  {"/stream/", earlyHeads["404"] + partBody, endLost},
		"kept, HTTP/1.0":   {"/keep/", earlyHeads["HTTP/1.0"] + eventA, endInterrupted},
		"length, too long": {"/unsafe/", "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 9\r\n\r\npart", endLost},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			env, ups := newEarlyEnv(t, []early.Answer{{Response: c.response, End: early.Reset}})
			defer closeEarly(env, ups)
			var log strings.Builder
			env.e.Log = zerolog.New(&log)
			scope := tally.NewTestScope("", nil)
			env.e.Scope = scope
			env.do(t.Context(), c.path, map[string]string{"Program": "p", "Budget": "9000", "Wait": "20s"}, strings.Repeat("x", longest))
			is.True(strings.Contains(log.String(), `"request":"r1"`))
			is.True(strings.Contains(log.String(), `"upstream":"up1"`))
			is.True(strings.Contains(log.String(), `"end":"`+c.end+`"`))
			is.True(strings.Contains(log.String(), "connection reset by peer"))
			counted := int64(0)
			for _, during := range []string{"read", "write"} { // whichever call the error went to
				if n, ok := scope.Snapshot().Counters()["responses_reset+during="+during]; ok {
					counted += n.Value()
				}
			}
			is.Equal(counted, int64(1))
		})
	}
}
