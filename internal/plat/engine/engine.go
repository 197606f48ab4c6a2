// Package engine describes a model engine: a worker that batches chat
// completions, caches prompt prefixes in limited memory and takes orders.
//
// Requests and answers are the usual chat protocol's JSON. Load reports lag
// behind, and cache events come late and with gaps: Seq rises by one for each
// event, so that a reader can count what it missed. An order carries a fencing
// number. Some engines refuse an order whose number is older than the newest
// they saw; others ignore it.
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
		// it arrives and returns the usage at the end. An *Error tells
		// whether the request may have reached the engine. When ctx ends the
		// stream is cancelled at the engine.
		Chat(ctx context.Context, r Request, sink func(Delta) error) (Usage, error)
		// Load returns the newest load report.
		Load(ctx context.Context) (Load, error)
		// Events returns the cache events after the sequence number.
		Events(ctx context.Context, after uint64) ([]Event, error)
		// Order carries out an order of the given kind.
		Order(ctx context.Context, o Order) error
		// Held lists the programs that the engine holds memory for.
		Held(ctx context.Context) ([]string, error)
	}

	// Request is one completion to run.
	Request struct {
		ID          string // our request's name, for resuming and for logs
		Program     string // tags the memory that the request leaves behind
		Model       string
		Body        []byte // the chat protocol's request, JSON
		Priority    int    // higher runs first
		MaxTokens   int    // the engine generates no more than this
		TraceParent string
		Resume      int // ID of the last piece received, to go on after it
	}

	// Delta is one piece of an answer.
	// ID is its number in the answer, from 1 on; 0 where the engine gives none
	// and an answer can't be resumed.
	Delta struct {
		Text   string
		Tokens int
		ID     int
	}

	// Usage is what one completion took, in tokens.
	Usage struct {
		Prompt int    `json:"prompt"`
		Cached int    `json:"cached"` // part of Prompt that was found cached
		Output int    `json:"output"`
		Finish string `json:"finish"` // stop, length or cancelled
	}

	// Load is a load report.
	Load struct {
		Seq     uint64    `json:"seq"`
		At      time.Time `json:"at"` // when the engine measured it
		Running int       `json:"running"`
		Waiting int       `json:"waiting"`
		Used    int       `json:"used"`  // cached tokens
		Total   int       `json:"total"` // room for cached tokens
		Leaving bool      `json:"leaving"`
	}

	// Event tells of blocks that entered or left an engine's cache.
	Event struct {
		Seq     uint64   `json:"seq"`
		Stored  []uint64 `json:"stored,omitempty"`
		Evicted []uint64 `json:"evicted,omitempty"`
	}

	// OrderKind tells what an order asks for.
	OrderKind string

	// Order is an instruction that changes an engine's state.
	Order struct {
		Kind    OrderKind `json:"kind"`
		Program string    `json:"program,omitempty"`
		Target  string    `json:"target,omitempty"`
		Fence   uint64    `json:"fence"` // the fencing number
	}

	// Block is a part of a prompt that an engine caches as a unit. Hash
	// covers the block and all before it.
	Block struct {
		Hash   uint64
		Tokens int
	}

	// Error is a failed request. Sent false means that no byte of it reached
	// the engine. Status is the HTTP status, 0 without an answer.
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
