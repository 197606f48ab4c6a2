package proxy

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/index"
)

const (
	event4 = "d\r\nid:4\ndata:d\n\n\r\n"
	// Events of another run at the same place.
	other2 = "d\r\nid:2\ndata:B\n\n\r\n"
	other3 = "d\r\nid:3\ndata:C\n\n\r\n"
)

// takeUp is one attempt of a caller at a stream, each at another front.
type takeUp struct {
	response string // of the upstream
	header   map[string]string
	leaves   bool // the caller loses the connection after what came
	status   int
	failing  bool // records of parts fail meanwhile
}

// Guards against a turn whose caller took its stream up again at another front and that is recorded without
// its beginning: the next turn runs on a conversation that was not held, and nobody is told.
func TestStreamTakenUpIsStoredWhole(t *testing.T) {
	lost := func(events string) string { return chunked + events + "HANG" }
	header := func(last, first string) map[string]string { return map[string]string{"Last": last, "First": first} }
	cases := map[string]struct {
		path     string
		attempts []takeUp
		next     string // body of the next turn at the upstream; empty if the last attempt is refused
	}{
		"once":                       {"/both/", []takeUp{{lost(event1), nil, true, 200, false}, {chunked + event2 + end, header("1", "a0"), false, 200, false}}, "in;a\nb\nnext;"},
		"twice":                      {"/both/", []takeUp{{lost(event1), nil, true, 200, false}, {lost(event2), header("1", "a0"), true, 200, false}, {chunked + event3 + end, header("2", "a0"), false, 200, false}}, "in;a\nb\nc\nnext;"},
		"twice, the second named":    {"/both/", []takeUp{{lost(event1), nil, true, 200, false}, {lost(event2), header("1", "a0"), true, 200, false}, {chunked + event3 + end, header("2", "a1"), false, 200, false}}, "in;a\nb\nc\nnext;"},
		"first attempt not named":    {"/both/", []takeUp{{lost(event1), nil, true, 200, false}, {chunked + event2 + end, header("1", ""), false, 200, false}}, "in;a\nb\nnext;"},
		"after an earlier event":     {"/both/", []takeUp{{lost(event1 + event2), nil, true, 200, false}, {chunked + other2 + other3 + end, header("1", "a0"), false, 200, false}}, "in;a\nB\nC\nnext;"},
		"two ways, the later holds":  {"/both/", []takeUp{{lost(event1 + event2 + event3), nil, true, 200, false}, {lost(other2 + other3), header("1", "a0"), true, 200, false}, {chunked + event4 + end, header("3", "a0"), false, 200, false}}, "in;a\nB\nC\nd\nnext;"},
		"only the end was lost":      {"/both/", []takeUp{{lost(event1 + event2), nil, true, 200, false}, {chunked + end, header("2", "a0"), false, 200, false}}, "in;a\nb\nnext;"},
		"broke off at its upstream":  {"/both/", []takeUp{{chunked + event1 + "CLOSE", nil, false, 200, false}}, "in;a\nb\nnext;"},
		"not taken up":               {"/both/", []takeUp{{completeStream, nil, false, 200, false}}, "in;a\nb\nnext;"},
		"records fail, not taken up": {"/both/", []takeUp{{completeStream, nil, false, 200, true}}, "in;a\nb\nnext;"},
		"records failed meanwhile":   {"/both/", []takeUp{{lost(event1), nil, true, 200, true}, {chunked + event2 + end, header("1", "a0"), false, 503, false}}, ""},
		"records failed later":       {"/both/", []takeUp{{lost(event1), nil, true, 200, false}, {lost(event2), header("1", "a0"), true, 200, true}, {chunked + event3 + end, header("2", "a0"), false, 503, false}}, ""},
		"beyond what was relayed":    {"/both/", []takeUp{{lost(event1), nil, true, 200, false}, {chunked + event3 + end, header("2", "a0"), false, 503, false}}, ""},
		"of another program":         {"/both/", []takeUp{{lost(event1), nil, true, 200, false}, {chunked + event2 + end, map[string]string{"Last": "1", "First": "a0", "Program": "q"}, false, 503, false}}, ""},
		"of nobody":                  {"/both/", []takeUp{{chunked + event2 + end, header("1", "a7"), false, 503, false}}, ""},
		"may not be taken up":        {"/keep/", []takeUp{{lost(event1), nil, true, 200, false}, {chunked + event2 + end, header("1", "a0"), false, 503, false}}, ""},
		"is not stored":              {"/resume/", []takeUp{{lost(event1), nil, true, 200, true}, {chunked + event2 + end, header("1", "a0"), false, 200, true}}, ""},
	}
	for name, c := range cases {
		for _, budget := range []string{"", "1000"} {
			t.Run(name+", budget "+budget, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					var responses []string
					for _, a := range c.attempts {
						responses = append(responses, a.response)
					}
					env := newTestEnv(append(responses, chunked+event2+end))
					front, id := env, ""
					for i, a := range c.attempts {
						id = "a" + string(rune('0'+i))
						h := map[string]string{"Id": id, "Program": "p", "Budget": budget}
						for key, value := range a.header {
							h[key] = value
						}
						env.rec.setFailParts(a.failing)
						ctx, leave := context.WithCancel(t.Context())
						if a.leaves {
							time.AfterFunc(time.Second, leave)
						}
						rec, aborted := front.do(ctx, c.path, h, "in;")
						leave()
						is.Equal(rec.Code, a.status)
						is.Equal(aborted, a.leaves)
						is.Equal(rec.Code == 503, strings.Contains(rec.Body.String(), `"code":"output_unknown"`))
						front = env.another()
					}
					ran := 0
					for _, a := range c.attempts {
						if a.status == 200 {
							ran++
						}
					}
					if name == "broke off at its upstream" {
						ran++
					}
					is.Equal(len(env.upstreams["up1"].requests()), ran) // a refused attempt has not run
					if c.next != "" {
						env.upstreams["up1"].responses = []string{completeStream}
						rec, _ := front.do(t.Context(), c.path, map[string]string{"Id": "next", "Program": "p", "Budget": budget, "Previous": id}, "next;")
						is.Equal(rec.Code, 200)
						requests := env.upstreams["up1"].requests()
						is.Equal(requests[len(requests)-1].body, c.next)
					}
					env.close()
					for _, o := range env.others {
						o.close()
					}
				})
			})
		}
	}
}

// Guards against a stream that is delayed by each of its records while these are slow, and that can't be taken up
// afterwards although they became durable.
func TestSlowRecordsDelayStreamOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv([]string{completeStream})
		env.rec.delay = 500 * time.Millisecond
		began := time.Now()
		rec, aborted := env.do(t.Context(), "/both/", map[string]string{"Program": "p"}, "in;")
		is.True(!aborted)
		is.Equal(rec.Body.String(), text12)
		is.True(time.Since(began) <= 3*runsTimeout+env.rec.delay) // the query, the version, one event, the turn
		time.Sleep(env.rec.delay)
		parts := env.rec.allParts()
		output, _, ok := index.OutputUpTo(parts, "r1", "2")
		is.True(ok)
		is.Equal(string(output), "a\nb\n")
		env.close()
	})
}
