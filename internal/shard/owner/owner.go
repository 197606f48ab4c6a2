// Package owner runs the programs of one shard. A shard has one owner at a time,
// which orders the programs' calls, reserves their budgets, writes their journal
// and decides their outcomes.
//
// Owner is a state machine. Its messages are requests of callers, ends of
// attempts and replies of the store; its effects are journal writes, requests to
// placement, dispatches and replies to callers. Its driver owns the clock, the
// sockets and the streamed pieces of answers.
//
// What waits for the journal:
//
//   - A non-idempotent call is dispatched only after its intent is committed. An
//     owner that recovers an intent without an outcome ends the call with
//     result.CodeUnknown and never dispatches it, unless the former owner has
//     handed the call over with its attempt under way.
//   - A model call waits only for a reservation that covers its maximum cost,
//     which is usually committed in advance.
//   - An idempotent service call waits for nothing.
//   - An outcome is sent to the caller only after it is committed, unless the
//     call is known not to have run.
package owner

import (
	"time"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/place/sched"
	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/record"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/prog/state"
	"github.com/slaterock/slaterock/internal/shard/jrnl"
)

type (
	// Ticket identifies one waiting caller; the driver chooses it.
	Ticket uint64

	// Message is an input of Owner.
	Message interface{ message() }

	// Configure replaces the configuration.
	Configure struct{ File file.File }

	// Lease replaces the times up to which the owner may dispatch. Before Until
	// no other daemon can own the shard. Before OutageUntil it is certain that
	// no daemon can reach the store, so that none can take over the shard even
	// after Until.
	Lease struct {
		Until       time.Time
		OutageUntil time.Time
	}

	// Open requests that a program be opened.
	Open struct {
		Ticket Ticket
		Open   call.Open
	}

	// Call submits a call of a program.
	Call struct {
		Ticket Ticket
		Call   call.Call
	}

	// End requests that a program be ended.
	End struct {
		Ticket Ticket
		End    call.End
	}

	// CallerGone reports that a waiting caller has disconnected.
	CallerGone struct{ Ticket Ticket }

	// Assigned reports that placement chose an upstream for a request.
	Assigned struct{ Assign sched.Assign }

	// Refused reports that placement refused a request.
	Refused struct{ Refuse sched.Refuse }

	// AttemptEnded reports how an attempt ended. Pieces is the number of pieces
	// of its streamed answer that callers have received.
	AttemptEnded struct {
		Request     string        `json:"request"`
		Upstream    string        `json:"upstream"`
		Outcome     sched.Outcome `json:"outcome"`
		Status      int           `json:"status"`
		ContentType string        `json:"content_type"`
		Body        []byte        `json:"body"`
		Usage       engine.Usage  `json:"usage"`
		Pieces      int           `json:"pieces"`
		Reason      string        `json:"why"`
	}

	// OffloadEnabled reports whether data folders are up in two failure domains,
	// so that long texts need not go into the journal.
	OffloadEnabled struct{ On bool }

	// Offloaded answers an Offload with the locations of the texts. A text with
	// a nil location goes into the journal.
	Offloaded struct {
		ID            uint64
		Request       string
		Asked, Answer *hist.Blob
	}

	// HoldersChanged reports new holders of a text that the journal refers to.
	HoldersChanged struct{ Blob hist.Blob }

	// StoreReply is the store's reply to a StoreRequest.
	StoreReply struct{ Message jrnl.Message }

	// SnapshotSaved reports that the snapshot up to journal entry Upto is the
	// current one. Gone maps the hash of each ended family that it moved to the
	// index to the position of the index value.
	SnapshotSaved struct {
		Upto uint64
		Gone map[uint64]uint32
	}

	// Verify requests proof that the owner still has the shard, after its lease
	// had lapsed. Verified follows once a record is committed.
	Verify struct{}

	// WriteInterval sets the minimum time between two journal writes.
	WriteInterval struct{ Interval time.Duration }

	// Drain starts a handover; Drained follows when the next owner can take the
	// shard. Calls that wait for their first or next attempt end, and their
	// callers repeat them at the next owner; one that was never sent is refused
	// as not run. Attempts under way are not waited for: they are recorded in
	// the journal and the next owner takes them over.
	Drain struct{}

	// AttemptAlive reports that the former owner's daemon is still running an
	// attempt that it started.
	AttemptAlive struct{ Request string }

	// Tick advances time; send one about every 20 ms.
	Tick struct{}

	// Effect is an action that the driver must carry out.
	Effect interface{ effect() }

	// StoreRequest carries out an effect of the chain: a Create or a Read.
	StoreRequest struct{ Effect jrnl.Effect }

	// Place sends a message to placement.
	Place struct{ Message sched.Message }

	// Dispatch sends one attempt. At most MaxTokens tokens may be generated.
	Dispatch struct {
		Request   string
		Call      call.Call
		Upstream  string
		Address   string
		Priority  int
		MaxTokens int
		Fence     uint64 // fencing token: the owner's epoch
		Timeout   time.Duration
		Try       int // number of the attempt, 1 for the first
	}

	// CancelAttempt cancels the attempt under way at the upstream.
	CancelAttempt struct{ Request, Upstream string }

	// Subscribe streams the pieces of a request under way to a waiting caller.
	Subscribe struct {
		Ticket  Ticket
		Request string
	}

	// Reply answers a waiting caller.
	Reply struct {
		Ticket  Ticket
		Request string // whose outcome it is; empty for Open and End
		Result  result.Result
	}

	// Offload stores the texts of a call that ended in data folders; a nil text
	// needs no storing. The driver replies with Offloaded within OffloadTimeout.
	Offload struct {
		ID            uint64
		Request       string
		Asked, Answer []byte
	}

	// ReleaseBlob ends the reference to a stored text that the journal does not
	// refer to, because it was stored too late.
	ReleaseBlob struct{ Blob hist.Blob }

	// ReplyFromJournal answers a waiting caller with an outcome that is no longer
	// in memory. It is in one of the given journal entries.
	ReplyFromJournal struct {
		Ticket  Ticket
		Program string
		Number  int
		Entries []uint64
	}

	// Log reports the end of a request, for logs and metrics.
	Log struct {
		Account, Program string
		Call             hist.Call
	}

	// SnapshotAllowed reports that a snapshot may be taken now.
	SnapshotAllowed struct{}

	// Verified reports that no other owner has written to the journal so far.
	Verified struct{}

	// Fenced reports that the shard has another owner.
	Fenced struct{}

	// Drained reports that all records are committed after a Drain. The owner
	// ignores further messages.
	Drained struct{}
)

type (
	// Owner is the state machine. Set Fold, Chain and Hold from the takeover
	// before the first Step.
	Owner struct {
		Fold   state.Fold  // as loaded at the takeover; updated with every commit
		Writer jrnl.Writer // ready to write the entry after Fold.Upto
		Hold   time.Time   // no dispatch before this time: a former owner may still dispatch

		cfg            file.File
		lease          Lease
		progs          map[string]*program
		runs           map[string]*run // by request id
		tickets        map[Ticket]*run
		waitingReplies []waitingReply // to requests to open or end a program
		queue          []pending      // records that are not committed yet, in order
		committedSeq   uint64         // newest committed sequence number
		verifySeq      uint64         // of the record that proves ownership, zero for none
		draining       bool
		drained        bool
		nextSweep      time.Time
		effects        []Effect
		accounts       map[string]*usage
		writeStalled   bool
		offloadEnabled bool
		lastOffloadID  uint64 // ID of the newest Offload
	}

	waitingReply struct {
		seq    uint64
		ticket Ticket
		result result.Result
	}

	pending struct {
		seq uint64
		rec record.Record
	}
)

func (Configure) message()      {}
func (Lease) message()          {}
func (Open) message()           {}
func (Call) message()           {}
func (End) message()            {}
func (CallerGone) message()     {}
func (Assigned) message()       {}
func (Refused) message()        {}
func (AttemptEnded) message()   {}
func (OffloadEnabled) message() {}
func (Offloaded) message()      {}
func (HoldersChanged) message() {}
func (StoreReply) message()     {}
func (SnapshotSaved) message()  {}
func (Verify) message()         {}
func (WriteInterval) message()  {}
func (Drain) message()          {}
func (AttemptAlive) message()   {}
func (Tick) message()           {}

func (StoreRequest) effect()     {}
func (Place) effect()            {}
func (Dispatch) effect()         {}
func (CancelAttempt) effect()    {}
func (Subscribe) effect()        {}
func (Reply) effect()            {}
func (Offload) effect()          {}
func (ReleaseBlob) effect()      {}
func (ReplyFromJournal) effect() {}
func (Log) effect()              {}
func (SnapshotAllowed) effect()  {}
func (Verified) effect()         {}
func (Fenced) effect()           {}
func (Drained) effect()          {}

// Step applies one message and returns the effects in the order in which they
// must be carried out.
func (o *Owner) Step(now time.Time, m Message) []Effect {
	o.init(now)
	if o.drained {
		return nil // the shard may have another owner by now
	}
	switch m := m.(type) {
	case Configure:
		o.cfg = m.File
	case Lease:
		o.lease = m
	case Open:
		o.open(now, m)
	case Call:
		o.call(now, m)
	case End:
		o.end(now, m)
	case CallerGone:
		o.callerGone(now, m.Ticket)
	case Assigned:
		o.assigned(now, m.Assign)
	case Refused:
		o.refused(now, m.Refuse)
	case AttemptEnded:
		o.attemptEnded(now, m)
	case OffloadEnabled:
		o.offloadEnabled = m.On
	case Offloaded:
		o.offloaded(now, m)
	case HoldersChanged:
		o.add(record.Holders{Blob: m.Blob})
	case StoreReply:
		o.stepChain(now, m.Message)
	case SnapshotSaved:
		o.snapshotSaved(m)
	case Verify:
		o.verifySeq = o.add(record.Acquired{Epoch: o.Writer.Epoch, Owner: o.Writer.Owner, At: now})
	case WriteInterval:
		o.Writer.Interval = m.Interval
	case Drain:
		o.drain(now)
	case AttemptAlive:
		o.attemptAlive(now, m.Request)
	case Tick:
		o.tick(now)
	}
	o.stepChain(now, jrnl.Tick{})
	o.checkDrained()
	effects := o.effects
	o.effects = nil
	return effects
}

// Snapshot returns a copy of the durable state, for writing out. Call it directly
// after SnapshotAllowed, when no record is split between two entries.
func (o *Owner) Snapshot() state.Fold { return o.Fold.Clone() }

// MayDispatch reports whether an attempt may be sent now. An owner whose lease
// has expired can't know whether another daemon owns the shard; dispatching
// could then make two owners run one program's calls at once. It may continue
// only while no daemon can reach the store, because then none can have taken
// over the shard. OutageUntil is never far ahead of the last check of that, because
// a process that was paused would otherwise act on an old check.
func (o *Owner) MayDispatch(now time.Time) bool {
	return now.Before(o.lease.Until) || now.Before(o.lease.OutageUntil)
}

func (o *Owner) init(now time.Time) {
	if o.progs != nil {
		return
	}
	o.progs = map[string]*program{}
	o.runs = map[string]*run{}
	o.tickets = map[Ticket]*run{}
	o.accounts = map[string]*usage{}
	o.restore(now)
}

func (o *Owner) emit(e Effect) { o.effects = append(o.effects, e) }

func (o *Owner) reply(t Ticket, request string, r result.Result) {
	o.emit(Reply{Ticket: t, Request: request, Result: r})
}

// add queues a record for the journal and returns its sequence number.
func (o *Owner) add(r record.Record) uint64 {
	seq, err := o.Writer.Add(r)
	if err != nil {
		// Records consist of plain fields, so encoding can't fail on any
		// input; continuing without the record would lose history.
		panic(err)
	}
	o.queue = append(o.queue, pending{seq: seq, rec: r})
	return seq
}

func (o *Owner) checkDrained() {
	if !o.draining || o.drained || !o.Writer.Idle() {
		return
	}
	o.drained = true
	o.emit(Drained{})
}
