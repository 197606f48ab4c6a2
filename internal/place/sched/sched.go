// Package sched chooses the upstream and the moment for each request of the
// programs that one daemon owns.
//
// Sched is a state machine: Step takes the time and one message and returns
// the effects to carry out. It holds no clock, goroutine or socket, and its
// only randomness comes from Seed, so that a replayed trace takes the same
// decisions as production. The order of calls within a program is kept by its
// caller, which asks for at most one call of a program at a time.
package sched

import (
	"time"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/plat/vmlist"
	"github.com/slaterock/slaterock/internal/prog/result"
)

const (
	// Succeeded is an attempt with a whole answer.
	Succeeded Outcome = iota
	// Failed is an attempt that failed after it may have reached the upstream.
	Failed
	// Unsent is an attempt of which no byte reached the upstream.
	Unsent
	// Withdrawn is an attempt that its caller gave up.
	Cancelled
)

type (
	// Outcome tells how an attempt ended.
	Outcome int

	// Message is what Sched reacts to.
	Message interface{ message() }

	// Configure puts a configuration in force.
	Configure struct{ File file.File }

	// Ask queues a request. It is answered by one Assign or one Refuse; a
	// further attempt is a new Ask with the same ID and Avoid set.
	Submit struct {
		ID         string
		Account    string // whose share counts when there is not enough for all
		Program    string
		Root       string // the family whose attained service counts
		Group      string
		Model      string // empty for a service
		Service    string // empty for a model
		Blocks     []engine.Block
		Prompt     int // tokens
		MaxTokens  int
		Priority   int
		Attained   int64 // tokens that the family was served so far
		Avoid      []string
		Idempotent bool
		Retry      bool // counts against the retry budget
	}

	// Withdraw takes back a request that is queued or under way.
	Cancel struct{ ID string }

	// First tells that the first piece of an assigned request's answer came.
	First struct{ ID, Upstream string }

	// Done tells that an assigned attempt ended.
	Done struct {
		ID       string
		Upstream string
		Outcome  Outcome
		Usage    engine.Usage // zero for a service
	}

	// Load is an upstream's load report, at least as old as it says.
	Load struct {
		Upstream string
		Report   engine.Load
	}

	// Cache is a batch of an upstream's cache events, in order.
	Cache struct {
		Upstream string
		Events   []engine.Event
	}

	// VMs is a reading of the platform's list.
	VMs struct{ List []vmlist.VM }

	// Ended tells that a program is over and its memory not needed. Engines ran its
	// calls, as the journal has them; some while another daemon owned the program.
	ProgramEnded struct {
		Program string
		Engines []string
	}

	// Forget tells that another daemon owns the program now: nothing is
	// released, as the program goes on.
	ProgramMoved struct{ Program string }

	// Held is an engine's answer to List: the programs it holds memory for.
	// Live are those of them that some owner still knows.
	Held struct {
		Upstream string
		Programs []string
		Live     []string
	}

	// Tick lets time pass; one is due every 100 ms or so.
	Tick struct{}

	// Effect is what Sched wants done.
	Effect interface{ effect() }

	// Assign sends the request to the upstream. Hedge marks a second attempt
	// beside one that is still under way; the first answer counts.
	Assign struct {
		ID       string
		Upstream string
		Address  string
		Hedge    bool
	}

	// Refuse ends the request, which was not sent.
	Refuse struct {
		ID         string
		Code       result.Code
		Message    string
		RetryAfter time.Duration
	}

	// Release orders the upstream to free what it holds for the program.
	Release struct{ Upstream, Program string }

	// Export orders the upstream to send the program's prefix to another.
	Export struct{ Upstream, Program, To string }

	// List asks what the engine holds; its answer is Held.
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
