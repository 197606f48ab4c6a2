// Package engine defines the interface to a model engine: a worker that batches chat
// completions, caches prompt prefixes in limited memory and executes orders.
//
// Request bodies are JSON of the common chat completions protocol. Load reports are
// delayed, and cache events arrive late and may be missing: Seq increases by one for
// each event, so that a reader can count those that it missed. An order, a command
// that changes the engine's state, has a fencing number. Some
// engines refuse an order with a number lower than the highest they have seen; others
// ignore the number.
package engine

import (
	"context"
	"time"
)

const (
	// OrderRelease frees all memory held for a program.
	OrderRelease OrderKind = "release"
	// OrderExport sends a program's cached prefix to the engine Target.
	OrderExport OrderKind = "export"
	// OrderLoad loads the model, adapter or version Target.
	OrderLoad OrderKind = "load"
	// OrderRole changes the engine's role to Target.
	OrderRole OrderKind = "role"
)

type (
	// Engine is one model engine.
	Engine interface {
		// Chat runs one completion. It calls sink for each piece of text as
		// it arrives and returns the usage at the end. An *Error says
		// whether the request may have reached the engine. When ctx ends, the
		// completion is cancelled at the engine.
		Chat(ctx context.Context, r Request, sink func(Delta) error) (Usage, error)
		// Load returns the newest load report.
		Load(ctx context.Context) (Load, error)
		// Events returns the cache events with a higher sequence number than
		// after.
		Events(ctx context.Context, after uint64) ([]Event, error)
		// Order executes an order.
		Order(ctx context.Context, o Order) error
		// Held returns the ids of the programs that the engine holds memory
		// for.
		Held(ctx context.Context) ([]string, error)
	}

	// Request is one completion to run.
	Request struct {
		ID          string // request id, for resuming and for logs
		Program     string // owner of the cache memory that the request leaves behind
		Model       string
		Body        []byte // request of the chat protocol, JSON
		Priority    int    // higher runs earlier
		MaxTokens   int    // maximum output, in tokens
		TraceParent string
		Resume      int // ID of the last piece received, to continue after it; 0: from the start
	}

	// Delta is one piece of an answer. ID is its number in the answer, from 1
	// on, or 0 if the engine numbers no pieces and can't resume answers.
	Delta struct {
		Text   string
		Tokens int
		ID     int
	}

	// Usage is the token usage of one completion.
	Usage struct {
		Prompt int    `json:"prompt"`
		Cached int    `json:"cached"` // tokens of Prompt that were cached
		Output int    `json:"output"`
		Finish string `json:"finish"` // stop, length or cancelled
	}

	// Load is a load report.
	Load struct {
		Seq     uint64    `json:"seq"`
		At      time.Time `json:"at"` // when the engine measured it
		Running int       `json:"running"`
		Waiting int       `json:"waiting"`
		Used    int       `json:"used"`  // tokens in the cache
		Total   int       `json:"total"` // capacity of the cache, in tokens
		Leaving bool      `json:"leaving"`
	}

	// Event reports blocks added to and evicted from an engine's cache.
	Event struct {
		Seq     uint64   `json:"seq"`
		Stored  []uint64 `json:"stored,omitempty"`
		Evicted []uint64 `json:"evicted,omitempty"`
	}

	// OrderKind is the kind of an order.
	OrderKind string

	// Order is a command that changes an engine's state.
	Order struct {
		Kind    OrderKind `json:"kind"`
		Program string    `json:"program,omitempty"`
		Target  string    `json:"target,omitempty"`
		Fence   uint64    `json:"fence"` // the fencing number
	}

	// Block is a part of a prompt that an engine caches as a unit. Hash covers
	// the block and all blocks before it.
	Block struct {
		Hash   uint64
		Tokens int
	}

	// Error is a failed request. Sent false means that no byte of it reached
	// the engine. Status is the HTTP status; 0 without a response.
	Error struct {
		Sent   bool
		Status int
		Err    error
	}
)

// Error returns the cause's text.
func (e *Error) Error() string { return "engine: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
