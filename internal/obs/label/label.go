// Package label bounds the cardinality of a metric's label. Each value costs every daemon
// memory until it restarts, and the values come from outside the daemon.
package label

import "sync"

const (
	// maxValues is how many distinct values are kept.
	maxValues = 100
	// Others replaces all further values.
	Others = "others"
)

// Label keeps the first maxValues distinct values that it sees. The zero value is ready to
// use. It is safe for concurrent use.
type Label struct {
	mu    sync.Mutex
	known map[string]bool
}

// Of returns the value itself if it is one of the first maxValues, or else Others.
func (l *Label) Of(value string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known[value] {
		return value
	}
	if len(l.known) >= maxValues {
		return Others
	}
	if l.known == nil {
		l.known = map[string]bool{}
	}
	l.known[value] = true
	return value
}

// Has reports whether the value is one of those that are kept.
func (l *Label) Has(value string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known[value]
}
