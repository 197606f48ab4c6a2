// Package call defines the requests of callers: to open a program, to run one
// call of it, and to end it.
//
// A program's id is chosen by its caller. A sub-agent's id is its parent's id,
// a slash and a name of its own, so that a program and all its sub-agents share
// a root, which determines their shard, their share in scheduling and their
// budget. The calls of a program are numbered 0, 1, 2 ...; a repeat has the same
// number.
package call

import (
	"strings"
)

const (
	// Model is a chat completion.
	Model Kind = "model"
	// Service is an HTTP request to a plain service.
	Service Kind = "service"

	// Finish ends a program that is complete.
	Finish EndKind = "finished"
	// Cancel ends a program whose result is no longer needed.
	Cancel EndKind = "cancelled"

	rootSeparator = "/"
)

type (
	// Kind is the kind of a call.
	Kind string

	// EndKind says how a caller ends a program.
	EndKind string

	// Open requests a program. It is idempotent: a repeat with the same values
	// has no further effect.
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
		Request     string `json:"request"` // unique id; assigned by the daemon that received the call
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

	// End requests the end of a program.
	End struct {
		Account string  `json:"account"`
		Program string  `json:"program"`
		Kind    EndKind `json:"kind"`
	}
)

// Root returns the id of a program's root: the part before the first slash.
func Root(program string) string {
	root, _, _ := strings.Cut(program, rootSeparator)
	return root
}

// ChildOf reports whether program is a sub-agent directly below parent.
func ChildOf(program, parent string) bool {
	rest, ok := strings.CutPrefix(program, parent+rootSeparator)
	return ok && rest != "" && !strings.Contains(rest, rootSeparator)
}
