// Package apply puts a configuration in force as a whole.
//
// Apply is a state machine: Step takes the time and one message and returns
// the effects to carry out. Chunks of the text are stored first; they are
// immutable and nobody sees them. Then one compare-and-swap of the head, from
// the version that the operator read, is the moment of acceptance. Of two
// operators who start from the same version one gets a *ConflictError.
//
// A write whose acknowledgement is lost is never taken for either outcome: the
// head is read back and searched for this applier's nonce. Only a text that is
// certainly not in force ends in *NotAppliedError, and only one that may come
// in force without its operator hearing of it in *UnknownError.
//
// Run carries out the effects against a store.
package apply

import (
	"math"
	"time"

	"github.com/slaterock/slaterock/internal/conf/chunk"
	"github.com/slaterock/slaterock/internal/conf/head"
	"github.com/slaterock/slaterock/internal/plat/store"
)

const (
	// Newest is a Base that takes whatever version is in force.
	Newest = math.MaxUint64

	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	maxCollect = 8 // chunks deleted by one apply
)

type (
	// Apply decides the steps of putting one text in force. Its zero value
	// waits for Start.
	Apply struct {
		start          Start
		base           head.Head // in force before
		baseRev        store.Rev // of base
		next           head.Head
		queue          []chunk.Chunk // not stored yet
		chunk          store.Rev     // to write the first of queue from
		garbage        []Garbage
		candidates     []string // digests that may be garbage
		state          state
		outcomeUnknown bool // a write of the head has an unknown outcome
		backoff        time.Duration
	}

	// state is what an effect was asked for last.
	state int

	// Message is what Apply reacts to.
	Message interface{ message() }

	// Start begins. Base is the version that the operator read, Floor one that
	// some daemon runs, Nonce a word that no other apply has.
	Start struct {
		Base   uint64
		Floor  uint64
		Digest string
		Size   int
		Chunks []chunk.Chunk
		Shards int
		By     string
		Source string
		Nonce  string
	}

	// HeadRead tells what stands under the head's key; the zero Head is none.
	HeadRead struct {
		Head head.Head
		Rev  store.Rev
	}

	// Listed tells the digests of stored chunks.
	Listed struct{ Digests []string }

	// Inspected tells a chunk's revision; 0 if it is gone.
	Inspected struct{ Garbage Garbage }

	// Stored tells that the write was taken.
	Stored struct{}

	// Conflict tells that the write was refused; Rev is the present revision.
	Conflict struct{ Rev store.Rev }

	// Failed tells that the store had no effect and no answer.
	Failed struct{}

	// Unsure tells that nobody knows whether the write was taken.
	OutcomeUnknown struct{}

	// Wake tells that a wait is over.
	Wake struct{}

	// Stop tells that the operator waits no longer.
	Stop struct{}

	// Effect is what Apply wants done.
	Effect interface{ effect() }

	// ReadHead is answered by HeadRead or Failed.
	ReadHead struct{}

	// ListChunks is answered by Listed or Failed.
	ListChunks struct{}

	// Inspect is answered by Inspected or Failed.
	Inspect struct{ Digest string }

	// PutChunk writes from a revision; Stored, Conflict, Failed or Unsure.
	PutChunk struct {
		Chunk chunk.Chunk
		Rev   store.Rev
	}

	// PutHead writes from a revision; Stored, Conflict, Failed or Unsure.
	PutHead struct {
		Head head.Head
		Rev  store.Rev
	}

	// Delete removes chunks, each only if it still has the revision. Its
	// outcome does not matter: a later apply tries again.
	Delete struct{ Chunks []Garbage }

	// Sleep is answered by Wake.
	Sleep struct{ For time.Duration }

	// Finish ends it. Err is nil if Head is in force.
	Finish struct {
		Head      head.Head
		Unchanged bool // the text was in force before
		Err       error
	}

	// Garbage is a chunk that no kept version refers to, as it was before the
	// head was swapped.
	Garbage struct {
		Digest string
		Rev    store.Rev
	}
)

const (
	idle state = iota
	reading
	listing
	inspecting
	storing
	swapping
	resolving
)

func (Start) message()          {}
func (HeadRead) message()       {}
func (Listed) message()         {}
func (Inspected) message()      {}
func (Stored) message()         {}
func (Conflict) message()       {}
func (Failed) message()         {}
func (OutcomeUnknown) message() {}
func (Wake) message()           {}
func (Stop) message()           {}

func (ReadHead) effect()   {}
func (ListChunks) effect() {}
func (Inspect) effect()    {}
func (PutChunk) effect()   {}
func (PutHead) effect()    {}
func (Delete) effect()     {}
func (Sleep) effect()      {}
func (Finish) effect()     {}
