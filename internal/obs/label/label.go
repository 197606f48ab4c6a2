// Package label bounds the values of a metric's label. Each value costs every daemon
// memory for as long as it runs, and names come from outside.
package label

import "sync"

const (
	// most is how many values get a label of their own.
	maxValues = 100
	// Others is the label of all other values.
	Others = "others"
)

// Label gives the first values that it is asked for a label of their own. The zero value
// is ready.
type Label struct {
	mu    sync.Mutex
	known map[string]bool
}

// Of returns the label of a value.
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
