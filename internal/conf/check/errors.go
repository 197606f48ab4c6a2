package check

import (
	"fmt"
	"slices"
	"strings"
)

type (
	// Error is one fault of a text. Line counts from 1; Section and Key are
	// empty where the fault belongs to neither.
	Error struct {
		File    string `json:"file"`
		Line    int    `json:"line"`
		Section string `json:"section,omitempty"`
		Key     string `json:"key,omitempty"`
		Message string `json:"message"`
	}

	// Errors is all faults of a text, in the order of their lines.
	Errors []Error
)

// Error is the fault in one line, as editors parse it:
// file:line: [section] key: message.
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

// Error is all faults, one a line.
func (l Errors) Error() string {
	lines := make([]string, len(l))
	for i, e := range l {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// sorted orders the faults by line and keeps those of one line as reported.
func (l Errors) sorted() Errors {
	slices.SortStableFunc(l, func(a, b Error) int { return a.Line - b.Line })
	return l
}
