// Package runlog keeps in memory what became of requests at upstreams lately: the runs that got no whole
// good answer, and those that are under way.
//
// The durable records have the same, but may be slow or away. A few fronts that keep the runs of a request
// for all others answer within a round trip, and no disk is involved. They forget with a restart, so a table
// tells since when it has forgotten nothing.
package runlog

import (
	"sync"
	"time"

	"github.com/slaterock/slaterock/internal/disk/index"
)

const (
	// keepFor is how long a run is kept at least after it was last stated, longer than callers come back.
	keepFor = 30 * time.Second
	// maxAttempts bounds the attempts that are stated within keepFor, about 300 bytes each.
	maxAttempts = 1 << 13
	// maxRuns bounds the runs of one request that are returned, so that they fit a datagram. Like requests of
	// many callers have more.
	maxRuns = 24
)

type (
	// Table holds the runs of requests. The zero value is empty. It is safe for concurrent use.
	Table struct {
		mu sync.Mutex
		// current has what was stated since swapped, and earlier what was stated before that.
		current, earlier generation
		swapped          time.Time
		complete         time.Time // since when nothing was forgotten within keepFor; zero before the first use
	}

	// generation holds runs by the key of their request and by attempt.
	generation struct {
		requests map[uint64]map[string]index.Run
		n        int
	}
)

// Add takes over what is stated of an attempt of the request with the key. An attempt that is over is dropped
// unless it has runs without a whole good answer.
func (t *Table) Add(now time.Time, key uint64, run index.Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	run = index.MergeRuns(t.find(key, run.Attempt), run)
	t.current.remove(key, run.Attempt)
	t.earlier.remove(key, run.Attempt)
	if run.IsUnderWay() || run.HasFailed() {
		t.current.add(key, run)
	}
}

// Runs returns what was stated of the request's attempts, those with failures and the newest first.
func (t *Table) Runs(now time.Time, key uint64) (list []index.Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	for _, g := range []generation{t.earlier, t.current} {
		for _, run := range g.requests[key] {
			list = index.InsertRun(list, run, maxRuns)
		}
	}
	return list
}

// Complete returns for how long nothing was forgotten that was stated within keepFor.
func (t *Table) Complete(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	return now.Sub(t.complete)
}

// advance forgets what was last stated more than keepFor ago.
func (t *Table) advance(now time.Time) {
	if t.complete.IsZero() {
		t.complete, t.swapped = now, now
	}
	full := t.current.n >= maxAttempts
	if !full && now.Sub(t.swapped) < keepFor {
		return
	}
	if full && now.Sub(t.swapped) < keepFor && t.earlier.n > 0 {
		t.complete = now // what is forgotten may be asked for
	}
	t.earlier, t.current = t.current, generation{}
	if now.Sub(t.swapped) >= 2*keepFor {
		t.earlier = generation{}
	}
	t.swapped = now
}

func (t *Table) find(key uint64, attempt string) index.Run {
	if r, found := t.current.requests[key][attempt]; found {
		return r
	}
	return t.earlier.requests[key][attempt]
}

func (g *generation) add(key uint64, run index.Run) {
	if g.requests == nil {
		g.requests = map[uint64]map[string]index.Run{}
	}
	if g.requests[key] == nil {
		g.requests[key] = map[string]index.Run{}
	}
	g.requests[key][run.Attempt] = run
	g.n++
}

func (g *generation) remove(key uint64, attempt string) {
	of := g.requests[key]
	if _, found := of[attempt]; !found {
		return
	}
	g.n--
	if delete(of, attempt); len(of) == 0 {
		delete(g.requests, key)
	}
}
