// Package queued is a fake upstream of a plain service that has few places and a short
// queue. It refuses requests beyond these, and can send responses once more, late, where
// the next one on their connection is due, or cut them.
package queued

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/slaterock/slaterock/internal/fake/upstrm"
)

const (
	// longBody is the length in bytes beyond which a full upstream refuses a request before it has read the body.
	longBody = 16 << 10
	// idleTimeout is what the upstream states of idle connections, in seconds. It keeps them longer.
	idleTimeout = "timeout=5"
	lineEnd     = "\r\n"
)

// The moments at which a copy is sent.
const (
	OnArrival Moment = iota // the next request has arrived
	OnBegin                 // it begins to run, or is refused
	OnAnswer                // right before its response
)

type (
	// Moment is when a copy of a response is sent during the next request on its connection.
	Moment int

	// Faults are shares of the responses, from 0 to 1. The zero value is no fault.
	Faults struct {
		Refusals   float64 // refusals that are sent once more
		Successes  float64 // successes that are sent once more
		Cut        float64 // refusals that are cut within their header or body; the connection closes
		CutCopies  float64 // copies that are cut within their header or body; the connection goes on
		OtherStart bool    // the process at its address is another one, and refuses all with 421, without a further header
		Moment     Moment
	}

	// Upstream is one upstream. Set the exported fields before Serve.
	Upstream struct {
		ID      string
		Places  int           // requests that run at a time
		Queue   int           // requests that wait
		Work    time.Duration // mean of a run
		Journal *Journal
		Seed    uint64

		faults atomic.Pointer[Faults]
		here   atomic.Int64
		free   chan struct{}
		mu     sync.Mutex
		rnd    *rand.Rand
	}

	// connection is one of a caller. It carries one request at a time.
	connection struct {
		u    *Upstream
		conn net.Conn
		br   *bufio.Reader
		late []byte // a copy that is sent during the next request; nil for none
	}

	// exchange is a request on a connection.
	exchange struct {
		*connection
		ctx      context.Context //nolint:containedctx // ends when the connection closes
		id       string
		delivery *Delivery
		timeout  time.Duration // that the request states
	}
)

// SetFaults replaces the faults.
func (u *Upstream) SetFaults(f Faults) { u.faults.Store(&f) }

// Serve accepts connections until ctx ends.
func (u *Upstream) Serve(ctx context.Context, ln net.Listener) {
	u.free, u.rnd = make(chan struct{}, u.Places), rand.New(rand.NewPCG(u.Seed, 0))
	if u.faults.Load() == nil {
		u.SetFaults(Faults{})
	}
	context.AfterFunc(ctx, func() { _ = ln.Close() })
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		u.Journal.note(func() { u.Journal.counts.Opened++ })
		context.AfterFunc(ctx, func() { _ = conn.Close() })
		go (&connection{u: u, conn: conn, br: bufio.NewReader(conn)}).serve(ctx)
	}
}

// chance reports whether a fault of this share befalls.
func (u *Upstream) chance(share float64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rnd.Float64() < share
}

// work returns the time of one run: half to three halves of the mean.
func (u *Upstream) work() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Duration((0.5 + u.rnd.Float64()) * float64(u.Work))
}

func (c *connection) serve(ctx context.Context) {
	defer func() { _ = c.conn.Close() }()
	for {
		r, err := http.ReadRequest(c.br)
		if err != nil {
			return
		}
		if !c.handle(ctx, r) {
			return
		}
	}
}

// handle serves one request, and returns false if the connection is to be closed.
func (c *connection) handle(ctx context.Context, r *http.Request) bool {
	x := &exchange{connection: c, id: r.Header.Get("Request-Id")}
	if c.u.faults.Load().OtherStart || r.Header.Get("Expect-Instance") != c.u.ID {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return false
		}
		x.delivery = c.u.Journal.begin(x.id, c.u.ID)
		return x.refuse(http.StatusMisdirectedRequest, http.Header{"Instance-Id": {c.u.ID + "-next"}})
	}
	defer c.u.here.Add(-1)
	if c.u.here.Add(1) > int64(c.u.Places+c.u.Queue) {
		x.delivery = c.u.Journal.begin(x.id, c.u.ID)
		return x.refuseFull(r)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	if want := r.Header.Get(upstrm.ExpectBody); want != upstrm.Digest(body) {
		c.u.Journal.note(func() {
			c.u.Journal.violations = append(c.u.Journal.violations, fmt.Sprintf("%s came with another body, of %d bytes", x.id, len(body)))
		})
	}
	x.delivery = c.u.Journal.begin(x.id, c.u.ID)
	ms, _ := strconv.Atoi(r.Header.Get("Deadline-Ms")) // 0 for none
	x.timeout = time.Duration(ms) * time.Millisecond
	closed := make(chan struct{})
	var stop context.CancelFunc
	x.ctx, stop = context.WithCancel(ctx)
	defer stop()
	go func() {
		defer close(closed)
		if _, err := c.br.Peek(1); err != nil {
			stop()
		}
	}()
	ok := x.run()
	if !ok {
		_ = c.conn.Close()
	}
	<-closed // the next request, or the end
	return ok
}

// refuseFull refuses a request, one with a long body before the body is read. The rest of it is read then.
func (x *exchange) refuseFull(r *http.Request) bool {
	h := http.Header{"Not-Executed": {"1"}}
	early := r.ContentLength > longBody
	if early {
		x.u.Journal.note(func() { x.u.Journal.counts.Early++ })
		if !x.refuse(http.StatusServiceUnavailable, h) {
			return false
		}
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	return early || x.refuse(http.StatusServiceUnavailable, h)
}

// run waits for a place, runs the request and answers it. It returns false if the connection is to be closed.
func (x *exchange) run() bool {
	x.sendLate(OnArrival)
	over := time.NewTimer(x.timeout)
	defer over.Stop()
	select {
	case x.u.free <- struct{}{}:
	case <-over.C:
		return x.refuse(http.StatusServiceUnavailable, http.Header{"Not-Executed": {"1"}})
	case <-x.ctx.Done():
		return x.drop()
	}
	defer func() { <-x.u.free }()
	x.u.Journal.note(func() { x.delivery.Began = true })
	x.sendLate(OnBegin)
	done := time.NewTimer(x.u.work())
	defer done.Stop()
	select {
	case <-done.C:
	case <-x.ctx.Done():
		return x.drop()
	}
	x.sendLate(OnAnswer)
	answer := x.u.response(http.StatusOK, http.Header{
		"Request-Id": {x.id}, "Server-Signature": {"s." + x.u.ID + "." + x.id}, "Keep-Alive": {idleTimeout}, "Content-Type": {"text/plain"},
	}, "answer to "+x.id)
	x.u.Journal.end(x.delivery, Answered)
	if x.u.chance(x.u.faults.Load().Successes) {
		x.late = answer
	}
	_, err := x.conn.Write(answer)
	return err == nil
}

// drop ends a request whose connection has closed.
func (x *exchange) drop() bool {
	x.u.Journal.end(x.delivery, Dropped)
	return false
}

// refuse writes a refusal, which may be cut, and returns false if the connection is to be closed.
func (x *exchange) refuse(status int, h http.Header) bool {
	x.sendLate(OnAnswer)
	h.Set("Request-Id", x.id)
	h.Set("Keep-Alive", idleTimeout)
	refusal := x.u.response(status, h, "refused "+x.id)
	f := x.u.faults.Load()
	if x.u.chance(f.Cut) {
		x.u.Journal.end(x.delivery, RefusedCut)
		_, _ = x.conn.Write(x.u.cut(refusal)) // the connection closes
		return false
	}
	x.u.Journal.end(x.delivery, Refused)
	if x.u.chance(f.Refusals) {
		x.late = refusal
	}
	_, err := x.conn.Write(refusal)
	return err == nil
}

// cut returns a part of a response that ends within its header or body, half of the time at the end of a line.
func (u *Upstream) cut(p []byte) []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 1 + u.rnd.IntN(len(p)-1)
	if end := bytes.Index(p[n:], []byte(lineEnd)); end > 0 && u.rnd.IntN(2) == 0 {
		n += end
	}
	return p[:n]
}

// sendLate writes the copy of the response before, if this is its moment or later.
func (x *exchange) sendLate(m Moment) {
	f := x.u.faults.Load()
	if x.late == nil || m < f.Moment {
		return
	}
	late := x.late
	x.late = nil
	x.u.Journal.note(func() {
		x.delivery.Foreign = true
		if bytes.Contains(late, []byte("Server-Signature: ")) {
			x.u.Journal.counts.CopiedSuccesses++
		} else {
			x.u.Journal.counts.CopiedRefusals++
		}
	})
	if x.u.chance(f.CutCopies) {
		late = x.u.cut(late)
	}
	_, _ = x.conn.Write(late) // the write of the own response fails, too
}

// response returns a response with its headers in random order.
func (u *Upstream) response(status int, h http.Header, body string) []byte {
	lines := []string{"Content-Length: " + strconv.Itoa(len(body))}
	for name, values := range h {
		lines = append(lines, name+": "+values[0])
	}
	slices.Sort(lines) // the order of a map is not that of the seed
	u.mu.Lock()
	u.rnd.Shuffle(len(lines), func(i, j int) { lines[i], lines[j] = lines[j], lines[i] })
	u.mu.Unlock()
	head := fmt.Sprintf("HTTP/1.1 %d %s%s", status, http.StatusText(status), lineEnd)
	return []byte(head + strings.Join(lines, lineEnd) + lineEnd + lineEnd + body)
}
