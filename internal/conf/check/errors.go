package check

import (
	"fmt"
	"slices"
	"strings"
)

type (
	// Error is one fault of a text. Line counts from 1. Section and Key are empty where the
	// fault is not in a section or at a key.
	Error struct {
		File    string `json:"file"`
		Line    int    `json:"line"`
		Section string `json:"section,omitempty"`
		Key     string `json:"key,omitempty"`
		Message string `json:"message"`
	}

	// Errors holds all faults of a text, sorted by line.
	Errors []Error
)

// Error returns the fault in one line, in the format that editors parse: file:line: [section]
// key: message.
func (e Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: ", e.File, e.Line)
	if e.Section != "" {
		b.WriteString("[" + e.Section + "] ")
	}
	if e.Key != "" {
		b.WriteString(e.Key + ": ")
	}
	b.WriteString(e.Message)
	return b.String()
}

// Error returns all faults, one per line.
func (l Errors) Error() string {
	lines := make([]string, len(l))
	for i, e := range l {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// sorted sorts the faults by line; faults of one line keep the order in which they were added.
func (l Errors) sorted() Errors {
	slices.SortStableFunc(l, func(a, b Error) int { return a.Line - b.Line })
	return l
}
