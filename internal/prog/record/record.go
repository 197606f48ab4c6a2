// Package record holds what a shard's journal says of its programs, and the
// bytes in which it says it.
//
// A journal is a chain of entries, each written once. An entry names the epoch
// of the owner that wrote it and a nonce of that one write, so that a writer
// whose acknowledgement was lost finds out whether an entry is its own. It
// carries units: a unit is one encoded record, or a piece of a record that is
// too large for one entry.
package record

import (
	"time"

	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
)

type (
	// Record is one fact about a program. Facts are only ever added.
	Record interface {
		// Subject is the id of the program that the fact is about.
		Subject() string
	}

	// Took opens an epoch: Owner has the shard from here on.
	Acquired struct {
		Epoch uint64    `json:"epoch"`
		Owner string    `json:"owner"`
		At    time.Time `json:"at"`
	}

	// Opened adds a program. Reserved is the first block of a root's budget;
	// sub-agents have none.
	Opened struct {
		Open     call.Open `json:"open"`
		Budget   int64     `json:"budget"`
		Priority int       `json:"priority"`
		Reserved int64     `json:"reserved"`
		Config   uint64    `json:"config"`
		At       time.Time `json:"at"`
	}

	// Reserved sets how much of a root's budget may be spent before the next
	// Reserved. After a crash the whole of it counts as spent.
	Reserved struct {
		Program string `json:"program"`
		Total   int64  `json:"total"`
	}

	// Intent comes before a non-idempotent call's first attempt. An intent
	// without an Ended is never attempted again by anybody.
	Intent struct {
		Program string    `json:"program"`
		Call    hist.Call `json:"call"`
	}

	// Ended is the outcome of a call. Tokens is what it cost its root.
	Ended struct {
		Program string    `json:"program"`
		Call    hist.Call `json:"call"`
		Tokens  int64     `json:"tokens"`
		Final   bool      `json:"final"` // a repeat gets this outcome and doesn't run
		Head    bool      `json:"head"`  // it was the program's next call: the one after it may run
	}

	// Moved tells of a call whose attempt was under way when its owner handed
	// the shard over. The former owner's daemon goes on with the attempt and
	// tells the new owner how it ends. Hold is what the call may cost in all,
	// Cost what its attempts that failed before may have cost of that.
	Moved struct {
		Program string    `json:"program"`
		Call    hist.Call `json:"call"`
		Service string    `json:"service,omitempty"`
		Hold    int64     `json:"hold"`
		Cost    int64     `json:"cost,omitempty"`
	}

	// Holders tells where a text is that the journal refers to already: a
	// holder was lost and the text was copied to another.
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

// Subject is empty: an epoch is about the whole shard.
func (Acquired) Subject() string { return "" }

// Subject is the program opened.
func (r Opened) Subject() string { return r.Open.Program }

// Subject is the root whose budget is reserved.
func (r Reserved) Subject() string { return r.Program }

// Subject is the calling program.
func (r Intent) Subject() string { return r.Program }

// Subject is the calling program.
func (r Ended) Subject() string { return r.Program }

// Subject is the calling program.
func (r Moved) Subject() string { return r.Program }

// Subject is empty: programs of the shard with the same text share a blob.
func (Holders) Subject() string { return "" }

// Subject is the program that ended.
func (r Closed) Subject() string { return r.Program }
