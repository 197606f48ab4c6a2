// Package upstrm stands in for an upstream of the users' platform: a model
// engine that streams events, or a plain service. It notes what it ran, and may
// refuse, break off, lose answers, or be slow.
package upstrm

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/slaterock/slaterock/internal/peer/pause"
)

// ExpectBody is a header of the stand-in's own: the digest of the body that must
// arrive. Callers set it, since they know what they said before.
const ExpectBody = "X-Expect-Body"

type (
	// Ledger notes runs, over all upstreams of a system.
	RunLog struct {
		mu         sync.Mutex
		runs       map[string]int // by attempt id
		violations []string       // what went wrong, in words
	}

	// Upstream is one process. Set the exported fields before use.
	Upstream struct {
		ID          string
		RunLog      *RunLog
		MaxInFlight int
		Delay       time.Duration // before each event, and for a plain answer

		BreakEvery atomic.Int64 // one in so many answers is broken off; 0 is none
		LoseEvery  atomic.Int64 // one in so many answers is lost after the run; 0 is none

		inFlight atomic.Int64
		runs     atomic.Int64
	}
)

// Runs returns how often an attempt ran.
func (l *RunLog) Runs(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// Bad returns what went wrong at upstreams.
func (l *RunLog) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
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

// ServeHTTP runs one request.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the daemon broke off
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != u.ID {
		w.Header().Set("Instance-Id", u.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer u.inFlight.Add(-1)
	if u.inFlight.Add(1) > int64(u.MaxInFlight) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.RunLog.addRun(id)
	if want := r.Header.Get(ExpectBody); want != "" && want != Digest(body) {
		u.RunLog.addViolation(fmt.Sprintf("attempt %s ran with another body, of %d bytes", id, len(body)))
	}
	w.Header().Set("Server-Signature", "s."+u.ID+"."+id)
	n := u.runs.Add(1)
	if every := u.LoseEvery.Load(); every > 0 && n%every == 0 {
		u.delay(r)
		panic(http.ErrAbortHandler)
	}
	every := u.BreakEvery.Load()
	u.respond(w, r, id, every > 0 && n%every == 0)
}

// answer sends events, or one piece for a plain call.
func (u *Upstream) respond(w http.ResponseWriter, r *http.Request, id string, broken bool) {
	events, _ := strconv.Atoi(r.URL.Query().Get("events")) // none for a plain call
	if events == 0 {
		if !u.delay(r) {
			return
		}
		if broken {
			w.Header().Set("Content-Length", "100")
		}
		w.Header().Set("Content-Type", "text/plain")
		_, _ = io.WriteString(w, "answer to "+id) //nolint:gosec // plain text for a stand-in's caller
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
		_, _ = io.WriteString(w, EventText(id, i))
		_ = http.NewResponseController(w).Flush() // a daemon that left is noticed at the next rest
	}
}

func (u *Upstream) delay(r *http.Request) bool { return pause.For(r.Context(), u.Delay) }

// Event is the text of one event.
func EventText(id string, i int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", i, EventData(id, i))
}

// Data is what an event says.
func EventData(id string, i int) string { return fmt.Sprintf("%s/%d", id, i) }

// Digest is a body's, for ExpectBody.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}
