package proxy

import (
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/slaterock/slaterock/internal/front/fleet"
)

// loggedRequest is what a test reads from the line of a request.
type loggedRequest struct {
	Request string `json:"request"`
	Key     string `json:"request_key"`
	Runs    []struct {
		Upstream, Version, End, Next string
		Born                         int64
		Status                       int
		Reused                       *bool // nil if no connection was established
		NotRunHeader                 bool  `json:"not_run_header"`
		UnreadBytes                  int   `json:"unread_bytes"`
	} `json:"runs"`
}

func logTo(env *testEnv) *strings.Builder {
	var log strings.Builder
	env.e.Log = zerolog.New(&log)
	return &log
}

func parseLines(is *is.I, log string) (lines []loggedRequest) {
	for line := range strings.Lines(log) {
		var l loggedRequest
		is.NoErr(json.Unmarshal([]byte(line), &l))
		if l.Request != "" {
			lines = append(lines, l)
		}
	}
	return lines
}

// Guards against a request of which nobody can tell which process of an upstream it ended, and why it was sent on.
func TestEachSendIsLogged(t *testing.T) {
	cases := map[string]struct {
		path          string
		first, second []string
		ends, next    []string
	}{
		"safe, lost":            {"/safe/", []string{closing}, []string{ok}, []string{"lost", "answered"}, []string{nextRepeat, ""}},
		"safe, lost twice":      {"/safe/", []string{closing}, []string{closing}, []string{"lost", "lost"}, []string{nextRepeat, nextAttempts}},
		"safe, refused":         {"/safe/", []string{full}, []string{ok}, []string{"full", "answered"}, []string{nextNotRun, ""}},
		"safe, own failure":     {"/safe/", []string{upstream500}, []string{ok}, []string{"answered_500"}, []string{""}},
		"unsafe, lost":          {"/unsafe/", []string{closing}, []string{ok}, []string{"lost"}, []string{nextNotAllowed}},
		"unsafe, silent":        {"/short/", []string{silent}, []string{ok}, []string{"canceled"}, []string{nextOver}},
		"stream, interrupted":   {"/stream/", []string{chunked + event1 + "CLOSE"}, []string{ok}, []string{"interrupted"}, []string{nextNotAllowed}},
		"stream, resumed there": {"/resume/", []string{chunked + event1 + "CLOSE", chunked + event2 + end}, []string{ok}, []string{"interrupted", "answered"}, []string{nextResume, ""}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv(c.first, c.second)
				defer env.close()
				env.setLoad("up2", 1) // so that up1 is tried first
				env.changeUpstreams(func(u *fleet.Upstream) { u.Born = 17 })
				log := logTo(env)
				env.do(t.Context(), c.path, map[string]string{"Program": "p"}, "in")
				env.do(t.Context(), c.path, map[string]string{"Program": "p", "Id": "r2"}, "in")
				lines := parseLines(is, log.String())
				is.Equal(len(lines), 2)
				is.Equal(lines[0].Key, lines[1].Key) // one request of the caller
				is.Equal(len(lines[0].Runs), len(c.ends))
				for i, r := range lines[0].Runs {
					is.Equal([2]string{r.End, r.Next}, [2]string{c.ends[i], c.next[i]})
					is.Equal(r.Version, "v1")
					is.Equal(r.Born, int64(17))
				}
			})
		})
	}
}

// Guards against attempts of different requests that are taken for one request.
func TestKeyOfARequest(t *testing.T) {
	base := map[string]string{"Id": "a", "Program": "p", "Previous": "t"}
	cases := map[string]struct {
		path, body string
		header     map[string]string
		same       bool
	}{
		"another attempt":  {"/safe/x", "in", map[string]string{"Id": "b"}, true},
		"resumed":          {"/safe/x", "in", map[string]string{"Id": "b", "Last": "3"}, true},
		"less time":        {"/safe/x", "in", map[string]string{"Id": "b", "Finish": "1s"}, true},
		"another path":     {"/safe/y", "in", nil, false},
		"another body":     {"/safe/x", "on", nil, false},
		"another program":  {"/safe/x", "in", map[string]string{"Program": "q"}, false},
		"another previous": {"/safe/x", "in", map[string]string{"Previous": "u"}, false},
		"shifted fields":   {"/safe/x", "in", map[string]string{"Program": "pt", "Previous": ""}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv([]string{ok})
				defer env.close()
				log := logTo(env)
				env.do(t.Context(), "/safe/x", base, "in")
				header := map[string]string{}
				for name, value := range base {
					header[name] = value
				}
				for name, value := range c.header {
					header[name] = value
				}
				env.do(t.Context(), c.path, header, c.body)
				lines := parseLines(is, log.String())
				is.Equal(lines[0].Key == lines[1].Key, c.same)
			})
		})
	}
}

// Guards against a false refusal of which the log cannot tell what it rested on.
func TestRefusalIsLoggedWithWhatItRestsOn(t *testing.T) {
	cases := map[string]struct {
		response       string // to the request, after one that was answered on the same connection
		refuse         bool   // connections
		status, unread int
		header         bool
	}{
		"stated":               {response: full, status: 503, header: true},
		"by its status":        {response: wrongInstance, status: 421},
		"with more behind it":  {response: full + "more", status: 503, header: true, unread: 4},
		"with a body":          {response: strings.Replace(full, "Length: 0\r\n\r\n", "Length: 4\r\n\r\nfull", 1), status: 503, header: true},
		"without a connection": {refuse: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv([]string{ok, c.response})
				defer env.close()
				env.upstreams["up1"].refuse = c.refuse
				log := logTo(env)
				env.do(t.Context(), "/unsafe/", map[string]string{"Id": "r1"}, "in")
				rec, _ := env.do(t.Context(), "/unsafe/", map[string]string{"Id": "r2"}, "in")
				is.Equal(rec.Code, 503)
				lines := parseLines(is, log.String())
				run := lines[len(lines)-1].Runs[0]
				is.Equal(run.Reused != nil && *run.Reused, !c.refuse)
				is.Equal(run.Status, c.status)
				is.Equal(run.NotRunHeader, c.header)
				is.Equal(run.UnreadBytes, c.unread)
			})
		})
	}
}
