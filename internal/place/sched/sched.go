// Package sched schedules the requests of the programs that one daemon owns: it
// decides to which upstream each request is sent, and when.
//
// Sched is a state machine: Step takes the time and one message and returns
// the effects to carry out. It holds no clock, goroutine or socket, and its
// only randomness comes from Seed, so that the replay of a trace makes the same
// decisions as production. The caller keeps the order of calls within a
// program by submitting at most one call of a program at a time.
package sched

import (
	"time"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/plat/vmlist"
	"github.com/slaterock/slaterock/internal/prog/result"
)

const (
	// Succeeded is an attempt with a complete answer.
	Succeeded Outcome = iota
	// Failed is an attempt that failed after it may have reached the upstream.
	Failed
	// Unsent is an attempt of which no byte reached the upstream.
	Unsent
	// Cancelled is an attempt that its caller cancelled.
	Cancelled
)

type (
	// Outcome is the result of an attempt.
	Outcome int

	// Message is an input of Step.
	Message interface{ message() }

	// Configure applies a configuration.
	Configure struct{ File file.File }

	// Submit queues a request. It is answered by an Assign or a Refuse, unless
	// it is cancelled first or already queued; a hedge is a second Assign. A
	// further attempt is a new Submit with the same ID. It avoids the upstream
	// of the last failed attempt; Avoid names further ones.
	Submit struct {
		ID         string
		Account    string // for fair sharing under overload
		Program    string
		Root       string // root of the program's family, to which Attained applies
		Group      string
		Model      string // empty for a service
		Service    string // empty for a model
		Blocks     []engine.Block
		Prompt     int // tokens
		MaxTokens  int
		Priority   int
		Attained   int64 // attained service of the family so far, in tokens
		Avoid      []string
		Idempotent bool
		Retry      bool // a further attempt, as is any Submit after a failure recorded here
	}

	// Cancel cancels a request that is queued or in flight.
	Cancel struct{ ID string }

	// First reports the first chunk of the answer to an assigned request.
	First struct{ ID, Upstream string }

	// Done reports the end of an assigned attempt.
	Done struct {
		ID       string
		Upstream string
		Outcome  Outcome
		Usage    engine.Usage // zero for a service
	}

	// Load is an upstream's load report, measured at Report.At or earlier.
	Load struct {
		Upstream string
		Report   engine.Load
	}

	// Cache is a batch of an upstream's cache events, in order.
	Cache struct {
		Upstream string
		Events   []engine.Event
	}

	// VMs is the platform's list of VMs.
	VMs struct{ List []vmlist.VM }

	// ProgramEnded reports that a program has ended and its engine memory is no longer
	// needed. Engines are those that ran its calls according to the journal, some of
	// them while another daemon owned the program.
	ProgramEnded struct {
		Program string
		Engines []string
	}

	// ProgramMoved reports that another daemon owns the program now. Its memory is
	// not released, as the program continues.
	ProgramMoved struct{ Program string }

	// Held is an engine's answer to List: the programs for which it holds
	// memory. Live are those that still have an owner.
	Held struct {
		Upstream string
		Programs []string
		Live     []string
	}

	// Tick drives the timeouts; it should be sent about every 100 ms.
	Tick struct{}

	// Effect is an output of Step, for the caller to carry out.
	Effect interface{ effect() }

	// Assign sends the request to the upstream. Hedge marks a second attempt
	// while another is in flight; the first answer is used.
	Assign struct {
		ID       string
		Upstream string
		Address  string
		Hedge    bool
	}

	// Refuse ends a request that was not sent.
	Refuse struct {
		ID         string
		Code       result.Code
		Message    string
		RetryAfter time.Duration
	}

	// Release orders the upstream to free what it holds for the program.
	Release struct{ Upstream, Program string }

	// Export orders the upstream to send the program's prefix to the upstream To.
	Export struct{ Upstream, Program, To string }

	// List asks the engine for the programs that it holds; its answer is Held.
	List struct{ Upstream string }
)

func (Configure) message()    {}
func (Submit) message()       {}
func (Cancel) message()       {}
func (First) message()        {}
func (Done) message()         {}
func (Load) message()         {}
func (Cache) message()        {}
func (VMs) message()          {}
func (ProgramEnded) message() {}
func (ProgramMoved) message() {}
func (Held) message()         {}
func (Tick) message()         {}

func (Assign) effect()  {}
func (Refuse) effect()  {}
func (Release) effect() {}
func (Export) effect()  {}
func (List) effect()    {}
