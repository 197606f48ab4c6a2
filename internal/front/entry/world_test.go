package entry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	tally "github.com/uber-go/tally/v4"

	"github.com/slaterock/slaterock/internal/conf/accnt"
	"github.com/slaterock/slaterock/internal/conf/route"
	"github.com/slaterock/slaterock/internal/disk/book"
	"github.com/slaterock/slaterock/internal/disk/quorum"
	"github.com/slaterock/slaterock/internal/front/allow"
	"github.com/slaterock/slaterock/internal/front/asked"
	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/pick"
	"github.com/slaterock/slaterock/internal/front/upconn"
)

type (
	// upstream answers each request by a script, in the order of its answers;
	// the last one repeats.
	upstream struct {
		mu      sync.Mutex
		answers []string // raw bytes; "ID" stands for the attempt's id
		got     []got
		refuse  bool // connections
		once    bool // after one connection, refuse
	}

	got struct {
		method, target, body string
		header               http.Header
	}

	// dialect has short names of its own, so that these tests don't know the
	// wire's.
	dialect struct{}

	// records keeps everything in memory.
	records struct {
		mu     sync.Mutex
		down   bool
		shares map[string]book.Share
		turns  map[string]book.Turn
	}

	world struct {
		e       *Entry
		rec     *records
		ups     map[string]*upstream // by address
		clients sync.WaitGroup
	}
)

// routes are what the world serves.
var routes = []route.Route{
	{Name: "safe", Host: "h", Prefix: "/safe/", Kind: route.Safe, Attempts: 2, Backends: []route.Backend{{Service: "s"}}},
	{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Kind: route.Unsafe, Attempts: 2, Backends: []route.Backend{{Service: "s"}}},
	{Name: "short", Host: "h", Prefix: "/short/", Kind: route.Unsafe, Attempts: 1, Timeout: time.Second, Backends: []route.Backend{{Service: "s"}}},
	{Name: "stream", Host: "h", Prefix: "/stream/", Kind: route.Stream, Attempts: 1, Turns: true, Backends: []route.Backend{{Service: "s"}}},
	{Name: "resume", Host: "h", Prefix: "/resume/", Kind: route.Stream, Attempts: 1, Turns: true, Resume: true, Backends: []route.Backend{{Service: "s"}}},
	{Name: "keep", Host: "h", Prefix: "/keep/", Kind: route.Stream, Attempts: 1, Turns: true, Keep: true, KeepFor: time.Minute, Backends: []route.Backend{{Service: "s"}}},
	{Name: "open", Host: "h", Prefix: "/open/", Kind: route.Safe, Attempts: 1, Open: true, Backends: []route.Backend{{Service: "s"}}},
	{Name: "nowhere", Host: "h", Prefix: "/nowhere/", Kind: route.Safe, Attempts: 1, Backends: []route.Backend{{Service: "none"}}},
}

func (dialect) Decode(h http.Header) (a asked.Attempt, err error) {
	a = asked.Attempt{Key: accnt.DigestOf(h.Get("Key")), HasKey: h.Get("Key") != "", ID: h.Get("Id"), Program: h.Get("Program"), Previous: h.Get("Previous"), LastEvent: h.Get("Last"), Output: 30}
	if a.ID == "" {
		return a, errors.New("no id")
	}
	if b := h.Get("Budget"); b != "" {
		a.HasBudget = true
		_, err = fmt.Sscan(b, &a.Budget)
	}
	if f := h.Get("Finish"); f != "" {
		a.HasFinish = true
		a.Finish, err = time.ParseDuration(f)
	}
	a.Wait = 2 * time.Second
	return a, err
}

func (dialect) Forward(h http.Header, o asked.Order) http.Header {
	out := http.Header{"Id": h["Id"], "Instance": {o.Instance}, "Left": {fmt.Sprint(o.Left.Milliseconds())}}
	if o.LastEvent != "" {
		out.Set("Last", o.LastEvent)
	}
	if o.Account != "" {
		out.Set("Account", o.Account)
	}
	if o.Ranked {
		out.Set("Rank", fmt.Sprint(o.Priority))
	}
	return out
}

func (dialect) Return(h http.Header) http.Header { return h.Clone() }

func (dialect) Verdict(status int, h http.Header) asked.Verdict {
	return asked.Verdict{Request: h.Get("Id"), NotRun: h.Get("Not-Run") != "" || status == 421, IdleTime: time.Minute}
}

func (dialect) RetryAfter(h http.Header, d time.Duration) { h.Set("Again", d.String()) }

func (r *records) Write(_ context.Context, rec book.Record) (res quorum.Result, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return res, quorum.ErrUnsure
	}
	var b book.Book
	b.Note(rec, time.Now())
	for _, s := range b.Shares(rec.Program) {
		r.shares[s.Attempt] = book.Join(r.shares[s.Attempt], s)
	}
	if rec.Turn != nil {
		r.turns[rec.Attempt] = *rec.Turn
	}
	for _, s := range r.shares {
		res.Shares = append(res.Shares, s)
	}
	return res, nil
}

func (r *records) Read(_ context.Context, _, id string) (chain []book.Turn, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return nil, quorum.ErrUnsure
	}
	for id != "" {
		t, ok := r.turns[id]
		if !ok {
			return nil, quorum.ErrNoTurn
		}
		chain = append([]book.Turn{t}, chain...)
		id = t.Previous
	}
	return chain, nil
}

func (u *upstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		u.mu.Lock()
		u.got = append(u.got, got{r.Method, r.RequestURI, string(body), r.Header})
		answer := u.answers[min(len(u.got), len(u.answers))-1]
		u.mu.Unlock()
		answer, hang := strings.CutSuffix(answer, "HANG")
		answer, closing := strings.CutSuffix(answer, "CLOSE")
		if _, err = io.WriteString(conn, strings.ReplaceAll(answer, "ID", r.Header.Get("Id"))); err != nil || closing {
			return
		}
		if hang {
			_, _ = br.ReadByte() // until the connection ends
			return
		}
	}
}

func (u *upstream) requests() []got {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.got
}

func newWorld(answers ...[]string) *world {
	w := &world{rec: &records{shares: map[string]book.Share{}, turns: map[string]book.Turn{}}, ups: map[string]*upstream{}}
	var f fleet.Fleet
	reading := fleet.Snapshot{Revision: 1, Table: route.New(1, routes, []route.Service{{Name: "s", EventTokens: 3}}, route.Limits{BodyBytes: 100})}
	for i, list := range answers {
		address := fmt.Sprintf("up%d", i+1)
		w.ups[address] = &upstream{answers: list}
		reading.Upstreams = append(reading.Upstreams, fleet.Upstream{ID: address, Service: "s", Address: address, Batch: 4 * (len(answers) - i)})
	}
	f.Update(time.Now(), reading)
	pool := &upconn.Pool{Dial: func(_ context.Context, address string) (net.Conn, error) {
		u := w.ups[address]
		if u.refuse {
			return nil, errors.New("refused")
		}
		u.refuse = u.once
		near, far := net.Pipe()
		w.clients.Go(func() { u.serve(far) })
		return near, nil
	}}
	w.e = &Entry{
		Dialect: dialect{}, Records: w.rec, Fleet: &f, Pool: pool, Picker: &pick.Picker{}, Log: zerolog.Nop(), Scope: tally.NoopScope,
		Refresh: func(context.Context) {}, Stop: context.Background(), Allow: &allow.Allow{},
	}
	return w
}

// ask sends one request. Cut tells that the connection was cut in the middle of
// the answer.
func (w *world) ask(ctx context.Context, path string, header map[string]string, body string) (rec *httptest.ResponseRecorder, cut bool) {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, path, strings.NewReader(body))
	r.Host = "h"
	r.Header.Set("Id", "r1")
	for name, value := range header {
		r.Header.Set(name, value)
	}
	rec = httptest.NewRecorder()
	defer func() {
		if p := recover(); p != nil {
			err, _ := p.(error)
			if cut = errors.Is(err, http.ErrAbortHandler); !cut {
				panic(p)
			}
		}
	}()
	w.e.ServeHTTP(rec, r)
	return rec, false
}

// close ends all connections, so that the upstreams' goroutines end.
func (w *world) close() {
	w.e.Pool.Sweep(time.Now().Add(time.Hour))
	w.clients.Wait()
}

func newEmptyFleet() *fleet.Fleet { return &fleet.Fleet{} }
