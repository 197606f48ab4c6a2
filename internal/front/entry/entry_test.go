package entry

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/book"
)

const (
	ok       = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 4\r\n\r\ngood"
	full     = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	other    = "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n"
	own503   = "HTTP/1.1 503 Broken\r\nId: ID\r\nContent-Length: 0\r\n\r\n"
	own500   = "HTTP/1.1 500 Broken\r\nId: ID\r\nContent-Length: 3\r\n\r\nbad"
	foreign  = "HTTP/1.1 200 OK\r\nId: another\r\nContent-Length: 4\r\n\r\nevil"
	short    = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 9\r\n\r\ngoodCLOSE"
	garbage  = "SSH-2.0-x\r\n\r\nCLOSE"
	silent   = "HANG"
	closing  = "CLOSE"
	head     = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Type: text/event-stream\r\n"
	chunked  = head + "Transfer-Encoding: chunked\r\n\r\n"
	event1   = "d\r\nid:1\ndata:a\n\n\r\n"
	event2   = "d\r\nid:2\ndata:b\n\n\r\n"
	event3   = "d\r\nid:3\ndata:c\n\n\r\n"
	end      = "0\r\n\r\n"
	torn     = "6\r\nid:2\nd\r\n"
	whole    = chunked + event1 + event2 + end
	text12   = "id:1\ndata:a\n\nid:2\ndata:b\n\n"
	unframed = head + "\r\nid:1\ndata:a\n\nCLOSE"
)

// An upstream refuses, breaks, lies, or says nothing. What the caller is told
// must be true of what ran: "not run" only if nothing did, and never somebody
// else's answer or half of one.
func TestPlain(t *testing.T) {
	cases := map[string]struct {
		path   string
		first  []string // answers of the upstream that is asked first
		second []string
		status int
		code   string
		sends  [2]int
	}{
		"safe, whole":                             {"/safe/", []string{ok}, []string{ok}, 200, "", [2]int{1, 0}},
		"safe, full":                              {"/safe/", []string{full}, []string{ok}, 200, "", [2]int{1, 1}},
		"safe, all full":                          {"/safe/", []string{full}, []string{full}, 503, "upstreams_full", [2]int{1, 1}},
		"safe, broken off":                        {"/safe/", []string{short}, []string{ok}, 200, "", [2]int{1, 1}},
		"safe, closed":                            {"/safe/", []string{closing}, []string{ok}, 200, "", [2]int{1, 1}},
		"safe, both closed":                       {"/safe/", []string{closing}, []string{closing}, 502, "answer_lost", [2]int{1, 1}},
		"safe, another's answer":                  {"/safe/", []string{foreign}, []string{ok}, 200, "", [2]int{1, 1}},
		"safe, no HTTP":                           {"/safe/", []string{garbage}, []string{ok}, 200, "", [2]int{1, 1}},
		"safe, own failure":                       {"/safe/", []string{own500}, []string{ok}, 500, "", [2]int{1, 0}},
		"unsafe, whole":                           {"/unsafe/", []string{ok}, []string{ok}, 200, "", [2]int{1, 0}},
		"unsafe, full":                            {"/unsafe/", []string{full}, []string{ok}, 200, "", [2]int{1, 1}},
		"unsafe, another instance":                {"/unsafe/", []string{other}, []string{ok}, 200, "", [2]int{1, 1}},
		"unsafe, broken off":                      {"/unsafe/", []string{short}, []string{ok}, 502, "answer_lost", [2]int{1, 0}},
		"unsafe, closed":                          {"/unsafe/", []string{closing}, []string{ok}, 502, "answer_lost", [2]int{1, 0}},
		"unsafe, another's answer":                {"/unsafe/", []string{foreign}, []string{ok}, 502, "answer_lost", [2]int{1, 0}},
		"unsafe, 503 that doesn't say not run":    {"/unsafe/", []string{own503}, []string{ok}, 502, "upstream_failed", [2]int{1, 0}},
		"unsafe, silent":                          {"/unsafe/", []string{silent}, []string{ok}, 504, "timeout", [2]int{1, 0}},
		"unsafe, silent beyond the route's time":  {"/short/", []string{silent}, []string{ok}, 504, "timeout", [2]int{1, 0}},
		"no upstream at all":                      {"/nowhere/", []string{ok}, []string{ok}, 503, "no_upstream", [2]int{0, 0}},
		"no route":                                {"/other/", []string{ok}, []string{ok}, 404, "no_route", [2]int{0, 0}},
		"unsafe, full, then broken off elsewhere": {"/unsafe/", []string{full}, []string{closing}, 502, "answer_lost", [2]int{1, 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(c.first, c.second)
				w.occupy("up2", 1) // so that up1 is asked first
				began := time.Now()
				rec, cut := w.ask(t.Context(), c.path+"x?y=1", nil, "body")
				is.True(!cut)
				is.Equal(rec.Code, c.status)
				is.True(strings.Contains(rec.Body.String(), c.code))
				is.Equal(rec.Header().Get("Again") != "", c.status == 503) // "not run" says when to come back
				is.Equal([2]int{len(w.ups["up1"].requests()), len(w.ups["up2"].requests())}, c.sends)
				for _, g := range w.ups["up1"].requests() {
					is.Equal(g.method+g.target+g.body, "POST"+c.path+"x?y=1body") // unchanged
					is.Equal(g.header.Get("Instance"), "up1")
				}
				if c.path == "/short/" {
					is.Equal(time.Since(began), time.Second)
				}
				w.close()
			})
		})
	}
}

// An engine answers every turn with an error, at once. It never has anything under way,
// so it looks like the idlest of all and gets ever more turns: programs fail one after
// the other beside engines that are well.
func TestEngineThatFailsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld([]string{own500}, []string{whole})
		w.occupy("up2", 2) // so that up1 is asked first
		h := map[string]string{"Program": "p", "Budget": "1000"}
		rec, _ := w.ask(t.Context(), "/keep/", h, "in")
		is.Equal(rec.Code, 500) // as the engine said
		for range 3 {
			rec, _ = w.ask(t.Context(), "/keep/", h, "in")
			is.Equal(rec.Code, 200)
		}
		is.Equal(len(w.ups["up1"].requests()), 1)
		w.close()
	})
}

// occupy makes an upstream look busier.
func (w *world) occupy(id string, n int) {
	w.e.Picker.PeersUpdated(map[string]int{id: n * 4}, 1)
}

func TestUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld([]string{ok}, []string{ok})
		w.ups["up1"].refuse = true
		rec, _ := w.ask(t.Context(), "/unsafe/x", nil, "")
		is.Equal(rec.Code, 200) // nothing was sent to the first
		w.ups["up2"].refuse = true
		w.close()
		rec, _ = w.ask(t.Context(), "/unsafe/x", nil, "")
		is.Equal(rec.Code, 503)
		is.True(strings.Contains(rec.Body.String(), `"ran":"no"`))
	})
}

func TestBadRequests(t *testing.T) {
	cases := map[string]struct {
		id, body string
		status   int
	}{
		"no id":     {"", "", 400},
		"too large": {"r", strings.Repeat("x", 101), 413},
		"at most":   {"r", strings.Repeat("x", 100), 200},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld([]string{ok})
				rec, _ := w.ask(t.Context(), "/unsafe/x", map[string]string{"Id": c.id}, c.body)
				is.New(t).Equal(rec.Code, c.status)
				w.close()
			})
		})
	}
}

// A daemon that has just started knows no configuration. It must not tell
// callers that their routes don't exist.
func TestNoConfiguration(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.e.Fleet = newEmptyFleet()
	rec, _ := w.ask(t.Context(), "/safe/x", nil, "")
	is.Equal(rec.Code, 503)
	is.True(rec.Header().Get("Again") != "")
}

func TestStream(t *testing.T) {
	cases := map[string]struct {
		path    string
		answers []string
		status  int
		body    string
		cut     bool
		sends   int
		tokens  int // settled against the budget
	}{
		"whole":                      {"/stream/", []string{whole}, 200, text12, false, 1, 6},
		"ended by its connection":    {"/stream/", []string{unframed}, 200, "id:1\ndata:a\n\n", false, 1, 3},
		"broken off":                 {"/stream/", []string{chunked + event1 + "CLOSE"}, 200, "id:1\ndata:a\n\n", true, 1, 3},
		"broken off within an event": {"/stream/", []string{chunked + event1 + torn + "CLOSE"}, 200, "id:1\ndata:a\n\n", true, 1, 3},
		"cut by its length":          {"/stream/", []string{chunked + event1 + torn + end}, 200, "id:1\ndata:a\n\n", true, 1, 3},
		"silent":                     {"/stream/", []string{chunked + event1 + "HANG"}, 200, "id:1\ndata:a\n\n", true, 1, 3},
		"never began":                {"/stream/", []string{closing}, 502, "answer_lost", false, 1, 0},
		"full":                       {"/stream/", []string{full}, 503, "upstreams_full", false, 1, 0},
		"own failure":                {"/stream/", []string{own500}, 500, "bad", false, 1, 0},
		"resumed":                    {"/resume/", []string{chunked + event1 + torn + "CLOSE", chunked + event2 + end}, 200, text12, false, 2, 6},
		"resumed twice":              {"/resume/", []string{chunked + event1 + "CLOSE", chunked + event2 + "CLOSE", chunked + event3 + end}, 200, text12 + "id:3\ndata:c\n\n", false, 3, 9},
		"not resumed for ever":       {"/resume/", []string{chunked + event1 + "CLOSE", chunked + "CLOSE"}, 200, "id:1\ndata:a\n\n", true, 3, 3},
		"kept":                       {"/keep/", []string{whole}, 200, text12, false, 1, 6},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(c.answers)
				rec, cut := w.ask(t.Context(), c.path, map[string]string{"Program": "p", "Budget": "100"}, "in")
				is.Equal(cut, c.cut)
				is.Equal(rec.Code, c.status)
				is.True(strings.Contains(rec.Body.String(), c.body))
				is.Equal(len(w.ups["up1"].requests()), c.sends)
				synctest.Wait()
				share := w.rec.shares["r1"]
				is.Equal(share.Upstream != "", c.tokens > 0) // where the program's next turn finds its prompt
				share.Upstream, share.At = "", 0
				is.Equal(share, book.Share{Attempt: "r1", Tokens: c.tokens, Settled: true})
				for i, g := range w.ups["up1"].requests()[1:] {
					is.Equal(g.header.Get("Last"), fmt.Sprint(i+1)) // goes on where it stopped
					if name == "not resumed for ever" {
						break
					}
				}
				w.close()
			})
		})
	}
}

// A stream breaks off and goes on. The route lets one upstream run it, so it must
// go on where it ran, though that one has just failed; only if that one is gone may
// another run it.
func TestResumeStaysWhereItRan(t *testing.T) {
	cases := map[string]struct {
		second string // answer of the first upstream to the second send
		gone   bool
		sends  [2]int
	}{
		"at once":          {chunked + event2 + end, false, [2]int{2, 0}},
		"when it has room": {full, false, [2]int{3, 0}},
		"elsewhere":        {"", true, [2]int{1, 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld([]string{chunked + event1 + "CLOSE", c.second, chunked + event2 + end}, []string{chunked + event2 + end})
				w.occupy("up2", 2)
				w.ups["up1"].once = c.gone
				rec, cut := w.ask(t.Context(), "/resume/", map[string]string{"Program": "x"}, "in")
				is.True(!cut)
				is.Equal(rec.Body.String(), text12)
				is.Equal([2]int{len(w.ups["up1"].requests()), len(w.ups["up2"].requests())}, c.sends)
				w.close()
			})
		})
	}
}

// A turn continues others. The upstream must get everything said before, in
// order, and the next turn must find this one.
func TestKeptTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld([]string{whole})
		_, cut := w.ask(t.Context(), "/keep/", map[string]string{"Id": "t1"}, "one;")
		is.True(!cut)
		_, cut = w.ask(t.Context(), "/keep/", map[string]string{"Id": "t2", "Previous": "t1"}, "two;")
		is.True(!cut)
		_, cut = w.ask(t.Context(), "/keep/", map[string]string{"Id": "t3", "Previous": "t2"}, "three;")
		is.True(!cut)
		reqs := w.ups["up1"].requests()
		is.Equal(reqs[1].body, "one;a\nb\ntwo;")
		is.Equal(reqs[2].body, "one;a\nb\ntwo;a\nb\nthree;")
		rec, _ := w.ask(t.Context(), "/keep/", map[string]string{"Id": "t4", "Previous": "t0"}, "x")
		is.Equal(rec.Code, 404)
		is.Equal(len(w.ups["up1"].requests()), 3)
		w.close()
	})
}

// The records can't be written or read. A turn whose end isn't durable must not
// look whole, since the next one could not continue it; one that can't be
// permitted must not run.
func TestRecordsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld([]string{whole})
		w.rec.down = true
		rec, _ := w.ask(t.Context(), "/keep/", map[string]string{"Previous": "t1"}, "x")
		is.Equal(rec.Code, 503) // not 404: nobody knows whether the turn exists
		rec, _ = w.ask(t.Context(), "/stream/", map[string]string{"Program": "p", "Budget": "100"}, "x")
		is.Equal(rec.Code, 503)
		is.Equal(len(w.ups["up1"].requests()), 0)
		_, cut := w.ask(t.Context(), "/keep/", nil, "x")
		is.True(cut)
		w.close()
	})
}

// A program that loops spends its budget turn by turn. The turn that it doesn't
// bear must be refused before it runs.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld([]string{whole})
		status := []int{}
		for i := range 4 {
			rec, _ := w.ask(t.Context(), "/stream/", map[string]string{"Id": fmt.Sprint("t", i), "Program": "p", "Budget": "44"}, "x")
			status = append(status, rec.Code)
			synctest.Wait()
		}
		is.Equal(status, []int{200, 200, 200, 402}) // 6 tokens each; one more might take 30
		is.Equal(len(w.ups["up1"].requests()), 3)
		is.Equal(w.rec.shares["t3"].Tokens, 0) // what was refused counts nothing
		w.close()
	})
}

// A caller leaves while an upstream works on its stream. The upstream must be
// told at once, by the end of its connection.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld([]string{chunked + event1 + "HANG"})
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(300*time.Millisecond, leave)
		began := time.Now()
		_, cut := w.ask(ctx, "/stream/", nil, "x")
		is.True(cut)
		w.clients.Wait() // the upstream saw the end
		is.Equal(time.Since(began), 300*time.Millisecond)
	})
}

// A connection has an answer too many on it. The next request must not get it.
func TestExtraAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld([]string{ok + strings.ReplaceAll(foreign, "another", "r2"), ok})
		rec, _ := w.ask(t.Context(), "/unsafe/x", nil, "")
		is.Equal(rec.Body.String(), "good")
		rec, _ = w.ask(t.Context(), "/unsafe/x", map[string]string{"Id": "r2"}, "")
		is.Equal(rec.Body.String(), "good")
		w.close()
	})
}
