// Package call holds what callers ask for: to open a program, to run one call
// of it, and to end it.
//
// A program's id is chosen by its caller. A sub-agent's id is its parent's id,
// a slash and a name of its own, so that a program and all its sub-agents share
// the root that decides their shard, their order and their budget. Calls of one
// program are numbered 0, 1, 2 ...; a repeat carries the same number.
package call

import (
	"strings"
)

const (
	// Model is a chat completion.
	Model Kind = "model"
	// Service is a call to a plain service.
	Service Kind = "service"

	// Finish ends a program whose work is done.
	Finish EndKind = "finished"
	// Cancel ends a program whose work is not wanted any more.
	Cancel EndKind = "cancelled"

	rootSeparator = "/"
)

type (
	// Kind tells model calls from service calls.
	Kind string

	// EndKind tells how a caller ends a program.
	EndKind string

	// Open asks for a program. Repeating it with the same values is harmless.
	Open struct {
		Account  string `json:"account"`
		Program  string `json:"program"`
		Agent    string `json:"agent,omitempty"` // a program declared in the configuration
		Parent   string `json:"parent,omitempty"`
		Priority int    `json:"priority,omitempty"`
		Budget   int64  `json:"budget_tokens,omitempty"`
	}

	// Call is one call of a program.
	Call struct {
		Request     string `json:"request"` // unique; assigned by the daemon that met the caller
		Account     string `json:"account"`
		Program     string `json:"program"`
		Number      int    `json:"number"`
		Kind        Kind   `json:"kind"`
		Service     string `json:"service,omitempty"`
		Method      string `json:"method,omitempty"`
		Path        string `json:"path,omitempty"`
		Model       string `json:"model,omitempty"`
		ContentType string `json:"content_type,omitempty"`
		Body        []byte `json:"body,omitempty"`
		MaxTokens   int    `json:"max_tokens,omitempty"`
		TraceParent string `json:"trace_parent,omitempty"`
	}

	// End asks for a program's end.
	End struct {
		Account string  `json:"account"`
		Program string  `json:"program"`
		Kind    EndKind `json:"kind"`
	}
)

// Root returns the id of the program at the head of a family: what stands
// before the first slash.
func Root(program string) string {
	root, _, _ := strings.Cut(program, rootSeparator)
	return root
}

// ChildOf reports whether program is a sub-agent directly below parent.
func ChildOf(program, parent string) bool {
	rest, ok := strings.CutPrefix(program, parent+rootSeparator)
	return ok && rest != "" && !strings.Contains(rest, rootSeparator)
}
