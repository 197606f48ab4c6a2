// Package apply makes a configuration the active one, as a whole.
//
// Apply is a state machine: Step takes the time and one message and returns the effects to
// carry out. The chunks of the text are stored first; they are immutable and unused until a
// head refers to them. Then one compare-and-swap of the head, from the version that the
// operator read, accepts the configuration. Of two operators who start from the same version
// one gets a *ConflictError.
//
// A write whose acknowledgement is lost is not taken for a success or a failure: the head is
// read back and searched for this applier's nonce. *NotAppliedError means that the text is
// certainly not active; *UnknownError means that it may have become active without an
// acknowledgement.
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
	// Newest is a Base that accepts any active version.
	Newest = math.MaxUint64

	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	maxGarbage = 8 // chunks deleted by one apply
)

type (
	// Apply decides the steps of applying one text. Its zero value waits for Start.
	Apply struct {
		start          Start
		base           head.Head // active before
		baseRev        store.Rev // of base
		next           head.Head
		queue          []chunk.Chunk // not stored yet
		chunk          store.Rev     // expected revision for the write of queue[0]; 0 if it must not exist
		garbage        []Garbage
		candidates     []string // digests of stored chunks that no kept version refers to
		state          state
		outcomeUnknown bool // of a write of the head
		backoff        time.Duration
	}

	// state is the step in progress. A Sleep does not change it, so Wake repeats the step.
	state int

	// Message is an input of Apply.
	Message interface{ message() }

	// Start begins. Base is the version that the operator read, Floor the active version of the
	// daemon that applies the text, 0 without a daemon. Nonce is a string unique to this apply.
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

	// HeadRead is the value of the head's key; the zero Head means that the key does not exist.
	HeadRead struct {
		Head head.Head
		Rev  store.Rev
	}

	// Listed holds the digests of stored chunks.
	Listed struct{ Digests []string }

	// Inspected holds a chunk's revision; 0 if the chunk does not exist.
	Inspected struct{ Garbage Garbage }

	// Stored reports that the write succeeded.
	Stored struct{}

	// Conflict reports that the write was refused; Rev is the current revision.
	Conflict struct{ Rev store.Rev }

	// Failed reports that the call had no effect, or that the head read can't be decoded.
	Failed struct{}

	// OutcomeUnknown reports that the write may or may not have been stored.
	OutcomeUnknown struct{}

	// Wake reports the end of a Sleep.
	Wake struct{}

	// Stop ends the apply because the operator's deadline passed.
	Stop struct{}

	// Effect is an action that Apply requests.
	Effect interface{ effect() }

	// ReadHead is answered by HeadRead or Failed.
	ReadHead struct{}

	// ListChunks is answered by Listed or Failed.
	ListChunks struct{}

	// Inspect is answered by Inspected or Failed.
	Inspect struct{ Digest string }

	// PutChunk writes a chunk if its revision is Rev. Answered by Stored, Conflict, Failed or
	// OutcomeUnknown.
	PutChunk struct {
		Chunk chunk.Chunk
		Rev   store.Rev
	}

	// PutHead writes the head if its revision is Rev. Answered by Stored, Conflict, Failed or
	// OutcomeUnknown.
	PutHead struct {
		Head head.Head
		Rev  store.Rev
	}

	// Delete removes chunks, each only if its revision is unchanged. Its result is not
	// reported: a later apply retries.
	Delete struct{ Chunks []Garbage }

	// Sleep is answered by Wake.
	Sleep struct{ For time.Duration }

	// Finish ends the apply. If Err is nil, the text was accepted, and Head is the newest head
	// read.
	Finish struct {
		Head      head.Head
		Unchanged bool // the text was active already
		Err       error
	}

	// Garbage is a chunk that no kept version refers to, with its revision before the head was
	// swapped.
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
