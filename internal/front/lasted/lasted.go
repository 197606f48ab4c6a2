// Package lasted keeps for how long requests of each kind ran lately, at the longest.
package lasted

import (
	"sync"
	"time"
)

// span is for how long a time counts at least, and at most twice as long.
const span = 30 * time.Second

// Times has the longest times by kind. The zero value is empty. It is safe for concurrent use.
type Times struct {
	mu               sync.Mutex
	current, earlier map[string]time.Duration // of those that ended since swapped, and in the span before
	swapped          time.Time
}

// Add notes a request of a kind that ran for so long and has ended.
func (t *Times) Add(now time.Time, kind string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	if t.current == nil {
		t.current = map[string]time.Duration{}
	}
	t.current[kind] = max(t.current[kind], took)
}

// Longest returns for how long requests of a kind ran lately at the longest; false if there was none.
func (t *Times) Longest(now time.Time, kind string) (took time.Duration, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	current, isCurrent := t.current[kind]
	earlier, isEarlier := t.earlier[kind]
	return max(current, earlier), isCurrent || isEarlier
}

// advance forgets what has ended too long ago.
func (t *Times) advance(now time.Time) {
	since := now.Sub(t.swapped)
	if since < span {
		return
	}
	t.earlier, t.current = t.current, nil
	if since >= 2*span {
		t.earlier = nil
	}
	t.swapped = now
}
