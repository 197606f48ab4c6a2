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
	// averageWeight is the weight of a new sample in a replica's moving average.
	// At the dozens of answers a second that a daemon gets under load, the average
	// follows a change within half a second.
	averageWeight = 0.1
	// hedgeFactor times the median of the replicas' average latencies is the delay
	// before a hedged request. The slowest of a hundred answers of a healthy replica
	// takes about three times its average.
	hedgeFactor = 3
)

// latencies keeps a moving average of each replica's latency, from which the hedge
// delay follows.
//
// Hedging helps against a replica that is slower than the others. Where all are slow
// because they are overloaded, it adds load and keeps them overloaded, so the delay grows
// with the latency: a fixed delay of 20 ms sends each write to all five replicas instead
// of three, and the record servers can't work off their queues after a burst.
type latencies struct {
	mu       sync.Mutex
	averages map[string]time.Duration // by disk ID
}

// observe adds the latency of one request. Failures are ignored, except for a
// time-out, which counts with the time waited.
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

// hedge returns how long to wait for an answer before the request also goes to the
// next replica: at least minDelay.
func (l *latencies) hedge(replicas []roster.Replica, minDelay time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	averages := make([]time.Duration, 0, len(replicas))
	for _, replica := range replicas {
		if d, known := l.averages[replica.DiskID]; known {
			averages = append(averages, d)
		}
	}
	if len(averages) == 0 {
		return minDelay
	}
	slices.Sort(averages)
	// The median: at most f of 2f+1 replicas are slow because of a fault of their own.
	return max(hedgeFactor*averages[(len(averages)-1)/2], minDelay)
}
