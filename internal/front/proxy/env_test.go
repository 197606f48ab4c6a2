package proxy

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	tally "github.com/uber-go/tally/v4"

	"github.com/slaterock/slaterock/internal/conf/accnt"
	"github.com/slaterock/slaterock/internal/conf/route"
	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/disk/quorum"
	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/limits"
	"github.com/slaterock/slaterock/internal/front/memory"
	"github.com/slaterock/slaterock/internal/front/meta"
	"github.com/slaterock/slaterock/internal/front/owners"
	"github.com/slaterock/slaterock/internal/front/pick"
	"github.com/slaterock/slaterock/internal/front/upconn"
)

type (
	// fakeUpstream sends scripted responses in order, one for each request; the last
	// one repeats. They are raw bytes, in which "ID" stands for the attempt's id. With
	// "CLOSE" at the end the connection is then closed, with "HANG" it stays silent.
	fakeUpstream struct {
		mu         sync.Mutex
		responses  []string
		received   []received
		refuse     bool // refuse connections
		refuseNext bool // set refuse after the next connection

		endsOn    string        // a request with this in its body ends the process; empty for none
		endsAfter string        // what the process sends of the response before; with "CLOSE" and "HANG" as in responses
		endsIn    time.Duration // from then on; 0 for at once
		restart   func()        // called when it has ended, after which it accepts connections again; nil if it stays down
		downFor   int           // connections that it refuses before it has restarted
		down      int           // of these, those that it will still refuse
		ends      int           // how often it has ended
		ended     func()        // called when it has ended; nil for nothing
		onRequest func()        // called with each request; nil for nothing
		// respond returns the response in place of responses, and whether the process then ends; nil for neither.
		respond func(h http.Header) (response string, ends bool)
		born    int64 // start that it states, in Unix milliseconds; 0 for none
		// startStatus is the status with which it states its start; empty for 200.
		startStatus string
		conns       []net.Conn
	}

	received struct {
		method, target, body string
		header               http.Header
	}

	// fakeDialect has header names of its own, so that these tests do not depend on
	// the real ones.
	fakeDialect struct{}

	testEnv struct {
		runs      frontRuns
		root      *testEnv // the first front
		listedMu  sync.Mutex
		others    []*testEnv     // other fronts, at the first one
		address   string         // for other fronts
		listed    []owners.Owner // all fronts, at the first one
		e         *Endpoint
		rec       *fakeRecords
		upstreams map[string]*fakeUpstream // by address
		conns     sync.WaitGroup
		stop      func()      // ends the front's work in the background
		lost      atomic.Bool // the front has lost its power: nobody hears of it any more
		cut       atomic.Bool // the front and the others don't reach each other
	}

	// frontRecords are the records as one front reaches them.
	frontRecords struct {
		*fakeRecords
		env *testEnv
	}
)

// startTarget is where a fake upstream states its start.
const startTarget = "/start"

// routes is the routing table of a testEnv.
var routes = []route.Route{
	{Name: "safe", Host: "h", Prefix: "/safe/", Kind: route.Safe, Attempts: 2, Backends: []route.Backend{{Service: "s"}}},
	{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Kind: route.Unsafe, Attempts: 2, Backends: []route.Backend{{Service: "s"}}},
	{Name: "short", Host: "h", Prefix: "/short/", Kind: route.Unsafe, Attempts: 1, Timeout: time.Second, Backends: []route.Backend{{Service: "s"}}},
	{Name: "stream", Host: "h", Prefix: "/stream/", Kind: route.Stream, Attempts: 1, Turns: true, Backends: []route.Backend{{Service: "s"}}},
	{Name: "tries", Host: "h", Prefix: "/tries/", Kind: route.Stream, Attempts: 3, Turns: true, Backends: []route.Backend{{Service: "s"}}},
	{Name: "resume", Host: "h", Prefix: "/resume/", Kind: route.Stream, Attempts: 1, Turns: true, Resume: true, Backends: []route.Backend{{Service: "s"}}},
	{Name: "keep", Host: "h", Prefix: "/keep/", Kind: route.Stream, Attempts: 1, Turns: true, StoreTurns: true, RetainFor: time.Minute, Backends: []route.Backend{{Service: "s"}}},
	{Name: "both", Host: "h", Prefix: "/both/", Kind: route.Stream, Attempts: 1, Turns: true, StoreTurns: true, RetainFor: time.Minute, Resume: true, Backends: []route.Backend{{Service: "s"}}},
	{Name: "open", Host: "h", Prefix: "/open/", Kind: route.Safe, Attempts: 1, Open: true, Backends: []route.Backend{{Service: "s"}}},
	{Name: "nowhere", Host: "h", Prefix: "/nowhere/", Kind: route.Safe, Attempts: 1, Backends: []route.Backend{{Service: "none"}}},
}

func (fakeDialect) Decode(h http.Header) (a meta.Attempt, err error) {
	a = meta.Attempt{APIKey: accnt.DigestOf(h.Get("Key")), HasAPIKey: h.Get("Key") != "", ID: h.Get("Id"), Program: h.Get("Program"), Previous: h.Get("Previous"), LastEventID: h.Get("Last"), FirstAttempt: h.Get("First"), MaxOutputTokens: 30}
	if a.ID == "" {
		return a, errors.New("no id")
	}
	if h.Get("Shared") != "" {
		a.PromptTokens = 2600
		a.Parts = []meta.Part{{ID: xxhash.Sum64String(h.Get("Shared")), Tokens: 2560}, {Tokens: 40}}
	}
	if b := h.Get("Budget"); b != "" {
		a.HasTokenBudget = true
		_, err = fmt.Sscan(b, &a.TokenBudget)
	}
	if f := h.Get("Finish"); f != "" {
		a.HasFinishIn = true
		a.FinishIn, err = time.ParseDuration(f)
	}
	a.CallerTimeout = 2 * time.Second
	if w := h.Get("Wait"); w != "" {
		a.CallerTimeout, err = time.ParseDuration(w)
	}
	return a, err
}

func (fakeDialect) Forward(h http.Header, d meta.Dispatch) http.Header {
	out := http.Header{"Id": h["Id"], "Instance": {d.Instance}, "Left": {fmt.Sprint(d.Timeout.Milliseconds())}}
	if d.LastEventID != "" {
		out.Set("Last", d.LastEventID)
	}
	if d.Account != "" {
		out.Set("Account", d.Account)
	}
	if d.HasPriority {
		out.Set("Rank", fmt.Sprint(d.Priority))
	}
	return out
}

func (fakeDialect) Return(h http.Header) http.Header { return h.Clone() }

func (fakeDialect) ResponseInfo(status int, h http.Header) meta.ResponseInfo {
	stated, signed := h.Get("Not-Run") != "", h.Get("Unsigned") == ""
	return meta.ResponseInfo{Request: h.Get("Id"), NotRunHeader: stated, NotRun: stated || status == 421 && !signed, Signed: signed, IdleTime: time.Minute}
}

func (fakeDialect) StartTarget() string { return startTarget }

func (fakeDialect) Start(body []byte) (born int64, stated bool) {
	_, err := fmt.Sscan(string(body), &born)
	return born, err == nil && born > 0
}

func (fakeDialect) RetryAfter(h http.Header, d time.Duration) { h.Set("Again", d.String()) }

func (u *fakeUpstream) serve(conn net.Conn) {
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
		if r.RequestURI == startTarget {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s OK\r\nContent-Length: 20\r\n\r\n%20d", cmp.Or(u.startStatus, "200"), u.born)
			continue
		}
		u.mu.Lock()
		u.received = append(u.received, received{r.Method, r.RequestURI, string(body), r.Header})
		response := u.responses[min(len(u.received), len(u.responses))-1]
		u.mu.Unlock()
		if u.onRequest != nil {
			u.onRequest()
		}
		if u.endsOn != "" && strings.Contains(string(body), u.endsOn) && u.endsIn > 0 {
			start := u.start()
			time.AfterFunc(u.endsIn, func() { u.endStart(start) })
			response = u.endsAfter
		} else if u.endsOn != "" && strings.Contains(string(body), u.endsOn) {
			_, _ = io.WriteString(conn, strings.ReplaceAll(u.endsAfter, "ID", r.Header.Get("Id")))
			u.end()
			return
		}
		if u.respond != nil {
			var ends bool
			if response, ends = u.respond(r.Header); ends {
				_, _ = io.WriteString(conn, strings.ReplaceAll(response, "ID", r.Header.Get("Id")))
				u.end()
				return
			}
		}
		response, hang := strings.CutSuffix(response, "HANG")
		response, closing := strings.CutSuffix(response, "CLOSE")
		for i, part := range strings.Split(strings.ReplaceAll(response, "ID", r.Header.Get("Id")), "PAUSE") {
			if i > 0 {
				time.Sleep(100 * time.Millisecond)
			}
			if _, err = io.WriteString(conn, part); err != nil {
				return
			}
		}
		if closing {
			return
		}
		if hang {
			_, _ = br.ReadByte() // until the connection is closed
			return
		}
	}
}

// accept reports whether the process accepts a connection, of which conn is the far end.
func (u *fakeUpstream) accept(conn net.Conn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.refuse {
		return false
	}
	if u.down > 0 {
		u.down--
		return false
	}
	u.refuse = u.refuseNext
	u.conns = append(u.conns, conn)
	return true
}

// start returns the number of times that the process has ended.
func (u *fakeUpstream) start() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ends
}

// end ends the process, with all its connections.
func (u *fakeUpstream) end() { u.endStart(u.start()) }

// endStart does the same, unless another start has taken its place.
func (u *fakeUpstream) endStart(start int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ends != start {
		return
	}
	u.ends++
	if u.ended != nil && !u.refuse {
		u.ended()
	}
	u.down = u.downFor
	if u.refuse = u.restart == nil; !u.refuse {
		u.restart()
	}
	for _, conn := range u.conns {
		_ = conn.Close()
	}
	u.conns = nil
}

// closeNewest closes the connection that was accepted last.
func (u *fakeUpstream) closeNewest() {
	u.mu.Lock()
	defer u.mu.Unlock()
	_ = u.conns[len(u.conns)-1].Close()
}

// endTogether ends processes that stay down, so that none accepts a connection once another one has closed its own.
func endTogether(list []*fakeUpstream) {
	for _, u := range list {
		u.mu.Lock()
		u.refuse = true
		u.mu.Unlock()
	}
	for _, u := range list {
		u.mu.Lock()
		for _, conn := range u.conns {
			_ = conn.Close()
		}
		u.conns = nil
		u.mu.Unlock()
	}
}

func (u *fakeUpstream) hasEnded() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.refuse
}

func (u *fakeUpstream) requests() []received {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.received
}

// newTestEnv returns a front, of which the state was read for long, before upstreams up1 and so on.
func newTestEnv(responses ...[]string) *testEnv {
	return newTestEnvOf(slices.Repeat([]string{"v1"}, len(responses)), responses)
}

// newTestEnvOf returns one before upstreams of these versions.
func newTestEnvOf(versions []string, responses [][]string) *testEnv {
	env := &testEnv{rec: &fakeRecords{shares: map[string]index.Charge{}, turns: map[string]index.Turn{}}, upstreams: map[string]*fakeUpstream{}}
	var f fleet.Fleet
	reading := fleet.Snapshot{Revision: 1, Table: route.New(1, routes, []route.Service{{Name: "s", EventTokens: 3}}, route.Limits{BodyBytes: 100})}
	for i, list := range responses {
		address := fmt.Sprintf("up%d", i+1)
		env.upstreams[address] = &fakeUpstream{responses: list}
		reading.Upstreams = append(reading.Upstreams, fleet.Upstream{ID: address, Service: "s", Address: address, Batch: 4 * (len(responses) - i), Version: versions[i]})
	}
	for age := 20 * time.Second; age >= 0; age -= time.Second {
		f.Update(time.Now().Add(-age), reading)
	}
	env.root, env.address = env, "front0"
	env.e = env.newEndpoint(&f)
	return env
}

// another returns another front with the same records and upstreams.
func (env *testEnv) another() *testEnv {
	other := &testEnv{rec: env.rec, upstreams: env.upstreams, root: env.root, address: fmt.Sprint("front", len(env.others)+1)}
	other.e = other.newEndpoint(env.e.Fleet)
	env.root.listedMu.Lock()
	defer env.root.listedMu.Unlock()
	env.others = append(env.others, other)
	return other
}

func (env *testEnv) newEndpoint(f *fleet.Fleet) *Endpoint {
	pool := &upconn.Pool{Dial: func(_ context.Context, address string) (net.Conn, error) {
		u := env.upstreams[address]
		near, far := net.Pipe()
		if !u.accept(far) {
			return nil, errors.New("refused")
		}
		env.conns.Go(func() { u.serve(far) })
		return near, nil
	}}
	e := &Endpoint{
		Memory:  &memory.Budget{},
		Dialect: fakeDialect{}, Records: frontRecords{env.rec, env}, Fleet: f, Pool: pool, Picker: &pick.Picker{}, Log: zerolog.Nop(), Scope: tally.NoopScope,
		Refresh: func(context.Context) bool { return true }, Limiter: &limits.Limiter{},
	}
	e.Stop, env.stop = context.WithCancel(context.Background())
	env.newExchange()
	e.Runs = &env.runs
	return e
}

// losePower has nobody hear of the front any more.
func (env *testEnv) losePower() { env.lost.Store(true) }

func (r frontRecords) Write(ctx context.Context, rec index.Record) (quorum.Result, error) {
	if r.env.lost.Load() {
		return quorum.Result{}, quorum.ErrNoQuorum
	}
	return r.fakeRecords.Write(ctx, rec)
}

// changeUpstreams has the store list the upstreams as change makes them.
func (env *testEnv) changeUpstreams(change func(*fleet.Upstream)) {
	v := env.e.Fleet.View()
	list := v.Listed.List()
	for i := range list {
		change(&list[i])
	}
	env.e.Fleet.Update(time.Now(), fleet.Snapshot{Revision: v.Revision + 1, Table: v.Table, Upstreams: list})
}

// delist has the store no longer list an upstream.
func (env *testEnv) delist(id string) {
	v := env.e.Fleet.View()
	list := slices.DeleteFunc(v.Listed.List(), func(u fleet.Upstream) bool { return u.ID == id })
	env.e.Fleet.Update(time.Now(), fleet.Snapshot{Revision: v.Revision + 1, Table: v.Table, Upstreams: list})
}

// do sends one request. Aborted reports that the connection was aborted in the middle of
// the response.
func (env *testEnv) do(ctx context.Context, path string, header map[string]string, body string) (rec *httptest.ResponseRecorder, aborted bool) {
	return env.doMethod(ctx, http.MethodPost, path, header, body)
}

func (env *testEnv) doMethod(ctx context.Context, method, path string, header map[string]string, body string) (rec *httptest.ResponseRecorder, aborted bool) {
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	r.Host = "h"
	r.Header.Set("Id", "r1")
	for name, value := range header {
		r.Header.Set(name, value)
	}
	rec = httptest.NewRecorder()
	defer func() {
		if p := recover(); p != nil {
			err, _ := p.(error)
			if aborted = errors.Is(err, http.ErrAbortHandler); !aborted {
				panic(p)
			}
		}
	}()
	env.e.ServeHTTP(rec, r)
	return rec, false
}

// close closes the idle connections, waits until the upstreams' goroutines have ended, and ends the front's work.
func (env *testEnv) close() {
	env.e.Pool.CloseExpired(time.Now().Add(time.Hour))
	env.conns.Wait()
	env.stop()
}

func newEmptyFleet() *fleet.Fleet { return &fleet.Fleet{} }
