package quorum

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/disk/roster"
)

const (
	// paceShare is the weight of a new answer in a place's usual time. At the
	// dozens of answers a second that a daemon gets under load, the usual time
	// follows a change within half a second.
	averageWeight = 0.1
	// hedgeFactor is how much longer than usual at most places an answer may
	// take before another place is asked. The slowest of a hundred answers of a
	// healthy place takes about three times as long as usual.
	hedgeFactor = 3
)

// paces tells how long places usually take to answer.
//
// A place that is slower than the others is worth asking another one. Where all
// are slow because they have too much to do, it makes them slower still: at a
// fixed time of 20 ms, each write went to all five places in place of three, and
// the holders were kept from catching up after a burst.
type latencies struct {
	mu       sync.Mutex
	averages map[string]time.Duration // by the disk's life
}

// note learns from an answer. Failures tell nothing of a place's pace, but for
// one that never answered.
func (l *latencies) observe(replica roster.Replica, took time.Duration, err error) {
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.averages == nil {
		l.averages = map[string]time.Duration{}
	}
	old, known := l.averages[replica.DiskID]
	if !known {
		old = took
	}
	l.averages[replica.DiskID] = old + time.Duration(averageWeight*float64(took-old))
}

// hedge is how long to wait for an answer before the next place is asked.
func (l *latencies) hedge(replicas []roster.Replica, minDelay time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	averages := make([]time.Duration, 0, len(replicas))
	for _, place := range replicas {
		if d, known := l.averages[place.DiskID]; known {
			averages = append(averages, d)
		}
	}
	if len(averages) == 0 {
		return minDelay
	}
	slices.Sort(averages)
	// The middle one: at most f of 2f+1 places are slow for a reason of their own.
	return max(hedgeFactor*averages[(len(averages)-1)/2], minDelay)
}
