// Package upstrm is a fake upstream: a model engine that streams events, or a
// plain service. It records the attempts that it executed, and can refuse
// requests, truncate or lose responses, or delay them.
package upstrm

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/slaterock/slaterock/internal/peer/pause"
)

// Headers that only the fake reads.
const (
	// ExpectBody is the Digest of the body that the upstream must receive. Tests compute it when
	// they send a request.
	ExpectBody = "X-Expect-Body"
	// Crash names a request that ends the process of each upstream that runs it.
	Crash = "X-Crash"
	// Stream names a stream over all attempts of its caller, in place of the attempt's id. Its
	// events state the version of the upstream.
	Stream = "X-Stream"
)

// The ways in which a request ends the process.
const (
	crashAtOnce        crashWay = iota // before the response
	crashInStream                      // after the first event
	crashAfterFailure                  // crashDelay after it answered with a failure
	crashAfterNoAnswer                 // the same after bytes that are no response
	crashAfterReset                    // the same after it closed the connection
	crashAfterSilence                  // after crashSilence without a response
	crashWays
)

const (
	crashDelay   = 150 * time.Millisecond
	crashSilence = 2 * time.Second
	maxMore      = 8 << 20 // bytes by which a query may make a plain body longer
	noAnswer     = "\x16\x03\x01 no response\r\n\r\n"
)

type (
	crashWay int64

	// RunLog records the executions at all upstreams of a system.
	RunLog struct {
		mu         sync.Mutex
		runs       map[string]int // number of executions by attempt id
		violations []string       // descriptions of violations
		spoiled    map[string]int // number of broken responses by attempt id
		crashes    map[string]int // number of processes that ended, by the value of Crash
	}

	// Upstream is the HTTP handler of one upstream. Set the exported fields
	// before use; BreakEvery and LoseEvery may change at any time.
	Upstream struct {
		ID          string
		RunLog      *RunLog
		MaxInFlight int
		Delay       time.Duration // before each event, and before a plain response

		Version    atomic.Value // string
		Restart    func() bool  // ends the process, with all connections, and starts it again later, unless it has ended; nil if it can't end
		BreakEvery atomic.Int64 // every BreakEvery-th response is truncated; 0 means none
		LoseEvery  atomic.Int64 // every LoseEvery-th response is lost after the execution; 0 means none
		ShedEvery  atomic.Int64 // every ShedEvery-th request is refused without an execution; 0 means none

		// Every RepeatEvery-th refusal is sent once more, where the next response on its connection is due;
		// 0 means none. It needs Listener.
		RepeatEvery atomic.Int64
		// Every SpoilEvery-th response is sent broken, over a connection that stays open; 0 means none. It needs Listener.
		SpoilEvery atomic.Int64
		// Every CutEvery-th request with a long body is answered before it is read, with a part of a response after which the
		// connection is reset; 0 means none. It needs Listener.
		CutEvery atomic.Int64

		starts   atomic.Int64 // that have ended because of a request
		inFlight atomic.Int64
		runs     atomic.Int64
		arrivals atomic.Int64
		refusals atomic.Int64
		// responses counts those of which the beginning was sent.
		responses atomic.Int64
		// uploads counts requests with a long body.
		uploads atomic.Int64
	}
)

// Runs returns how many times an attempt was executed.
func (l *RunLog) Runs(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// Violations returns descriptions of the violations that upstreams detected.
func (l *RunLog) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}

// Crashes returns how many processes of upstreams have ended with each request that ends them.
func (l *RunLog) Crashes() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.crashes)
}

func (l *RunLog) addCrash(request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.crashes == nil {
		l.crashes = map[string]int{}
	}
	l.crashes[request]++
}

func (l *RunLog) addRun(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = map[string]int{}
	}
	l.runs[id]++
}

func (l *RunLog) addViolation(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, text)
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if u.cutsUpload(r) {
		u.cutUpload(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the client closed the connection
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != u.ID {
		w.Header().Set("Instance-Id", u.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer u.inFlight.Add(-1)
	if u.inFlight.Add(1) > int64(u.MaxInFlight) || isNth(u.arrivals.Add(1), &u.ShedEvery) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.RunLog.addRun(id)
	version := u.Version.Load() // a process has one, also if the next one has started
	if want := r.Header.Get(ExpectBody); want != "" && want != Digest(body) {
		u.RunLog.addViolation(fmt.Sprintf("attempt %s ran with another body, of %d bytes", id, len(body)))
	}
	w.Header().Set("Server-Signature", "s."+u.ID+"."+id)
	n := u.runs.Add(1)
	if isNth(n, &u.LoseEvery) {
		u.delay(r)
		panic(http.ErrAbortHandler)
	}
	if request := r.Header.Get(Crash); request != "" && u.Restart != nil {
		u.crash(w, r, id, request, version, crashWay(n)%crashWays)
		return
	}
	if endless(w, r, id) {
		return
	}
	u.respond(w, r, id, version, isNth(n, &u.BreakEvery))
}

// isNth reports whether a fault that befalls every so many befalls number n.
func isNth(n int64, every *atomic.Int64) bool {
	e := every.Load()
	return e > 0 && n%e == 0
}

// crash ends the process of the upstream because of a request: while it runs it, or later.
func (u *Upstream) crash(w http.ResponseWriter, r *http.Request, id, request string, version any, way crashWay) {
	start := u.starts.Load()
	if !u.delay(r) {
		return
	}
	end := func() {
		if u.starts.CompareAndSwap(start, start+1) && u.Restart() {
			u.RunLog.addCrash(request)
		}
	}
	switch way {
	case crashAtOnce:
		end()
	case crashInStream:
		first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 is the start
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, eventText(r, id, version, first+1)) //nolint:gosec // an event for the caller of a fake
		_ = http.NewResponseController(w).Flush()
		u.delay(r)
		end()
	case crashAfterFailure:
		time.AfterFunc(crashDelay, end)
		w.WriteHeader(http.StatusInternalServerError)
		return
	case crashAfterNoAnswer:
		time.AfterFunc(crashDelay, end)
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_, _ = io.WriteString(conn, noAnswer)
			_ = conn.Close()
		}
	case crashAfterReset:
		time.AfterFunc(crashDelay, end)
	case crashAfterSilence:
		time.AfterFunc(crashSilence, end)
		<-r.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

// respond sends the number of events that the query asks for, or a plain text
// body if that is 0, with as many more bytes as the query asks for.
func (u *Upstream) respond(w http.ResponseWriter, r *http.Request, id string, version any, broken bool) {
	events, _ := strconv.Atoi(r.URL.Query().Get("events")) // 0 for a plain call
	if events == 0 {
		if !u.delay(r) {
			return
		}
		if broken {
			w.Header().Set("Content-Length", "100")
		}
		w.Header().Set("Content-Type", "text/plain")
		more, _ := strconv.Atoi(r.URL.Query().Get("bytes"))                               // 0 for none
		_, _ = io.WriteString(w, "answer to "+id+strings.Repeat(" ", min(more, maxMore))) //nolint:gosec // plain text for the caller of a fake
		return
	}
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 is the start
	w.Header().Set("Content-Type", "text/event-stream")
	for i := first + 1; i <= events; i++ {
		if !u.delay(r) {
			return
		}
		if broken && i == max(first+1, events/2) {
			_, _ = fmt.Fprintf(w, "id: %d\nda", i)
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, eventText(r, id, version, i)) //nolint:gosec // events for the caller of a fake
		_ = http.NewResponseController(w).Flush()              // a disconnected client is noticed at the next delay
	}
}

// delay waits for Delay, and for as long as the query asks for; it returns false if the request ended before.
func (u *Upstream) delay(r *http.Request) bool {
	longer, _ := strconv.Atoi(r.URL.Query().Get("wait")) // milliseconds; 0 for none
	return pause.For(r.Context(), u.Delay+time.Duration(longer)*time.Millisecond)
}

func eventText(r *http.Request, id string, version any, i int) string {
	stream := r.Header.Get(Stream)
	if stream == "" {
		return EventText(id, i)
	}
	return fmt.Sprintf("event: %s\n%s", version, EventText(stream, i))
}

// EventText returns the text of event i of an attempt, in the format of
// server-sent events.
func EventText(id string, i int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", i, EventData(id, i))
}

// EventData returns the data field of event i of an attempt.
func EventData(id string, i int) string { return fmt.Sprintf("%s/%d", id, i) }

// Digest returns the value of the header ExpectBody for a body: the first 8 bytes
// of its SHA-256, in hex.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}
