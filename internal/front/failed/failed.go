// Package failed remembers the runs of requests that ended without a whole good answer, for as long
// as their upstreams may still end because of them.
//
// An upstream that a request harms need not end in the moment in which its answer breaks off: it may
// answer with an error, or fall silent until the caller leaves, and end seconds later. Whoever looks
// only at that moment takes it for one that goes on.
package failed

import (
	"slices"
	"sync"
	"time"

	"github.com/slaterock/slaterock/internal/disk/index"
)

const (
	// Span is how long after a run its upstream may end because of it.
	Span = 10 * time.Second
	// maxRuns bounds the runs that are kept, about 150 bytes each. Beyond it the oldest are dropped.
	maxRuns = 4096
)

type (
	// Runs holds the runs of the last Span. The zero value is empty. It is safe for concurrent use.
	Runs struct {
		mu      sync.Mutex
		list    []Run          // by the time of their ends, oldest first
		keys    map[uint64]int // number of runs in list by Key
		dropped int64          // runs dropped before Span was over
	}

	// Run is one run of a request at an upstream, without a whole good answer.
	Run struct {
		Request  string      // id of the attempt
		Key      uint64      // identifies the caller's request over all its attempts
		Upstream index.Start // that ran it
		End      string      // how the run ended, as logged
		At       time.Time   // when it ended

		Recorded    index.Start // the process that ran it, as recorded; zero if it was not sent
		ConnsBefore int64       // highest number of the connections that were established before it
	}
)

// Add adds a run that has just ended.
func (l *Runs) Add(r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(r.At)
	if len(l.list) == maxRuns {
		l.dropOldest()
		l.dropped++
	}
	if l.keys == nil {
		l.keys = map[uint64]int{}
	}
	l.keys[r.Key]++
	l.list = append(l.list, r)
}

// Has reports whether a request with the key has failed here within Span, unless all the upstreams that
// ran it have left since.
func (l *Runs) Has(now time.Time, key uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	return l.keys[key] > 0
}

// Find returns the process, as recorded, that ran the request with the key at an upstream before and is the one
// at the other end of a connection with the number: that one was established before the run.
func (l *Runs) Find(now time.Time, key uint64, upstream string, conn int64) (process index.Start, found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if l.keys[key] == 0 {
		return process, false
	}
	for _, r := range slices.Backward(l.list) {
		if r.Key == key && r.Recorded.ID == upstream && conn <= r.ConnsBefore {
			return r.Recorded, true
		}
	}
	return process, false
}

// TakeLeft removes and returns the runs whose upstreams have left since: listed reports whether that
// start of an upstream is still listed.
func (l *Runs) TakeLeft(now time.Time, listed func(index.Start) bool) (left []Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	kept := l.list[:0]
	for _, r := range l.list {
		if listed(r.Upstream) {
			kept = append(kept, r)
		} else {
			left = append(left, r)
			l.forget(r.Key)
		}
	}
	clear(l.list[len(kept):])
	l.list = kept
	return left
}

// Dropped returns how many runs were dropped too early, since there were too many.
func (l *Runs) Dropped() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}

func (l *Runs) expire(now time.Time) {
	for len(l.list) > 0 && now.Sub(l.list[0].At) > Span {
		l.dropOldest()
	}
}

func (l *Runs) dropOldest() {
	l.forget(l.list[0].Key)
	l.list = l.list[1:]
}

func (l *Runs) forget(key uint64) {
	if l.keys[key]--; l.keys[key] == 0 {
		delete(l.keys, key)
	}
}
