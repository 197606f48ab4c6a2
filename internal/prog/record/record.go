// Package record defines the records of a shard's journal and their encoding.
//
// A journal is a chain of entries, each written once. An entry has the epoch of
// the owner that wrote it and a nonce that is unique to the write, so that a
// writer whose acknowledgement was lost can tell whether an entry is its own.
// It carries units: a unit is one encoded record, or a piece of a record that
// is too large for one entry.
package record

import (
	"time"

	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
)

type (
	// Record is one event of a program or of the whole shard. Records are only ever appended.
	Record interface {
		// Subject returns the id of the program that the record is about;
		// empty if it is about the whole shard.
		Subject() string
	}

	// Acquired begins an epoch: from here on Owner owns the shard.
	Acquired struct {
		Epoch uint64    `json:"epoch"`
		Owner string    `json:"owner"`
		At    time.Time `json:"at"`
	}

	// Opened adds a program. Reserved is the first block of a root's budget, in
	// tokens; sub-agents have no budget of their own.
	Opened struct {
		Open     call.Open `json:"open"`
		Budget   int64     `json:"budget"`
		Priority int       `json:"priority"`
		Reserved int64     `json:"reserved"`
		Config   uint64    `json:"config"`
		At       time.Time `json:"at"`
	}

	// Reserved sets how many tokens of a root's budget, in total, may be spent
	// until the next Reserved. After a crash all of them count as spent.
	Reserved struct {
		Program string `json:"program"`
		Total   int64  `json:"total"`
	}

	// Intent precedes the first attempt of a non-idempotent call. A call with
	// an Intent and no Ended is never attempted again, by any owner.
	Intent struct {
		Program string    `json:"program"`
		Call    hist.Call `json:"call"`
	}

	// Ended is the outcome of a call. Tokens is its cost to the root's budget.
	Ended struct {
		Program string    `json:"program"`
		Call    hist.Call `json:"call"`
		Tokens  int64     `json:"tokens"`
		Final   bool      `json:"final"` // a repeat gets this outcome and is not run
		InOrder bool      `json:"head"`  // the call was the program's next in order, so the one after it may run
	}

	// Moved is a call with an attempt in flight when its owner handed the shard
	// over. The former owner's daemon continues the attempt and reports its
	// outcome to the new owner. Hold is the most that the call may cost in all,
	// in tokens, and Cost what its earlier, failed attempts may have cost of it.
	Moved struct {
		Program string    `json:"program"`
		Call    hist.Call `json:"call"`
		Service string    `json:"service,omitempty"`
		Hold    int64     `json:"hold"`
		Cost    int64     `json:"cost,omitempty"`
	}

	// Holders updates the holders of a text that the journal refers to already:
	// one was lost, and the text was copied to another.
	Holders struct {
		Blob hist.Blob `json:"blob"`
	}

	// Closed ends a program.
	Closed struct {
		Program string    `json:"program"`
		Code    string    `json:"code"`
		At      time.Time `json:"at"`
	}
)

// Subject is empty: an epoch concerns the whole shard.
func (Acquired) Subject() string { return "" }

// Subject is the opened program.
func (r Opened) Subject() string { return r.Open.Program }

// Subject is the root whose budget is reserved.
func (r Reserved) Subject() string { return r.Program }

// Subject is the calling program.
func (r Intent) Subject() string { return r.Program }

// Subject is the calling program.
func (r Ended) Subject() string { return r.Program }

// Subject is the calling program.
func (r Moved) Subject() string { return r.Program }

// Subject is empty: all programs of the shard with the same text share a blob.
func (Holders) Subject() string { return "" }

// Subject is the program that ended.
func (r Closed) Subject() string { return r.Program }
