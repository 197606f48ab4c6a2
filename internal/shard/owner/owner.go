// Package owner runs the programs of one shard: it alone puts their calls in
// order, reserves their budgets, writes their journal and says how they ended.
//
// Owner is a state machine. Callers' requests, attempts' ends and the store's
// answers come in as messages; what goes out are effects: journal writes,
// requests for an upstream, dispatches and replies. Whoever drives it owns the
// clock, the sockets and the texts on their way.
//
// What waits for the journal and what does not:
//
//   - A non-idempotent call is dispatched only after its intent is committed.
//     Whoever recovers an intent without an outcome answers "unknown" and never
//     dispatches it.
//   - A model call waits for nothing but a reservation that covers the most it
//     can cost, and that was mostly committed ahead.
//   - No outcome is told to a caller before it is committed, except a refusal
//     that is known not to have run.
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
	// Ticket names one waiting caller; it is chosen by the driver.
	Ticket uint64

	// Message is what Owner reacts to.
	Message interface{ message() }

	// Configure puts a configuration in force.
	Configure struct{ File file.File }

	// Lease says until when no other daemon can own the shard. Outage is
	// until when it may be taken for certain that nobody can reach the store,
	// so that nobody can take the shard after Until.
	Lease struct {
		Until  time.Time
		Outage time.Time
	}

	// Open asks for a program.
	Open struct {
		Ticket Ticket
		Open   call.Open
	}

	// Call asks for a call of a program.
	Call struct {
		Ticket Ticket
		Call   call.Call
	}

	// End asks for a program's end.
	End struct {
		Ticket Ticket
		End    call.End
	}

	// Leave tells that a waiting caller is gone.
	Leave struct{ Ticket Ticket }

	// Assigned tells that placement chose an upstream for a request.
	Assigned struct{ Assign sched.Assign }

	// Refused tells that placement refused a request.
	Refused struct{ Refuse sched.Refuse }

	// Tried tells how an attempt ended. Pieces is how many pieces of its
	// answer callers have been given.
	Tried struct {
		Request     string        `json:"request"`
		Upstream    string        `json:"upstream"`
		Outcome     sched.Outcome `json:"outcome"`
		Status      int           `json:"status"`
		ContentType string        `json:"content_type"`
		Body        []byte        `json:"body"`
		Usage       engine.Usage  `json:"usage"`
		Pieces      int           `json:"pieces"`
		Why         string        `json:"why"`
	}

	// Keeping tells whether there are data folders in two failure domains, so
	// that a long text need not go into the journal.
	Keeping struct{ On bool }

	// Kept answers a Keep: where the texts are. A nil one goes into the
	// journal itself.
	Kept struct {
		ID            uint64
		Request       string
		Asked, Answer *hist.Blob
	}

	// Held tells that a text that the journal refers to has other holders now.
	Held struct{ Blob hist.Blob }

	// Journal is the store's answer to a Write or a Read.
	Journal struct{ Message jrnl.Message }

	// Saved tells that a snapshot up to entry Upto is in force. Gone has, for
	// the hash of each family that the snapshot left out because it has ended,
	// the position of the index value that knows it.
	Saved struct {
		Upto uint64
		Gone map[uint64]uint32
	}

	// Verify asks for proof that the journal is still this owner's, after its
	// lease had lapsed; the answer is Verified once a record is committed.
	Verify struct{}

	// Pace sets the least time between two journal writes.
	Pace struct{ Interval time.Duration }

	// Drain asks to give the shard up; the owner says Drained when the next
	// owner can have it. Calls that are not sent yet are refused as not run,
	// for their callers to repeat at the next owner. Attempts under way are
	// not waited for: the next owner is told of them and goes on with them.
	Drain struct{}

	// Tail tells that the daemon that owned the shard before is still busy
	// with an attempt that it started.
	Tail struct{ Request string }

	// Tick lets time pass; one is due every 20 ms or so.
	Tick struct{}

	// Effect is what Owner wants done.
	Effect interface{ effect() }

	// Write carries out the chain's effect, a Create or a Read.
	Write struct{ Effect jrnl.Effect }

	// Place gives a message to placement.
	Place struct{ Message sched.Message }

	// Dispatch sends one attempt. No more than MaxTokens may be generated.
	Dispatch struct {
		Request   string
		Call      call.Call
		Upstream  string
		Address   string
		Priority  int
		MaxTokens int
		Fence     uint64
		Timeout   time.Duration
		Try       int
	}

	// Stop cancels the attempt under way at the upstream.
	Stop struct{ Request, Upstream string }

	// Join lets a waiting caller follow the pieces of a request under way.
	Join struct {
		Ticket  Ticket
		Request string
	}

	// Reply ends a waiting caller's request.
	Reply struct {
		Ticket  Ticket
		Request string // whose outcome it is
		Result  result.Result
	}

	// Keep has the texts of a call that ended put into data folders; nil is
	// none. It ends with Kept, within KeepWait.
	Keep struct {
		ID            uint64
		Request       string
		Asked, Answer []byte
	}

	// Unkeep gives a text up that was kept too late to be referred to.
	Unkeep struct{ Blob hist.Blob }

	// Recall ends a waiting caller's request with an outcome that has left
	// memory and stands in one of the journal's entries.
	Recall struct {
		Ticket  Ticket
		Program string
		Number  int
		Entries []uint64
	}

	// Log tells of a request's end, for the log and the metrics.
	Log struct {
		Account, Program string
		Call             hist.Call
	}

	// Saving tells that a snapshot may be taken now.
	Saving struct{}

	// Verified tells that no other owner wrote to the journal up to now.
	Verified struct{}

	// Fenced tells that the shard has another owner.
	Fenced struct{}

	// Drained tells that nothing is under way and all is committed.
	Drained struct{}
)

type (
	// Owner is the machine. Make it from a takeover with Fold and Chain set.
	Owner struct {
		Fold   state.Fold  // as loaded; the machine goes on with it
		Writer jrnl.Writer // ready to write the entry after Fold.Upto
		Hold   time.Time   // no dispatch before: a former owner may still act

		cfg        file.File
		lease      Lease
		progs      map[string]*program
		runs       map[string]*run // by request id
		tickets    map[Ticket]*run
		opening    []waiter  // replies that wait for a sequence number
		queue      []pending // records that wait to be committed, in order
		bySeq      uint64    // newest committed sequence number
		verifySeq  uint64    // of the record that proves ownership, zero for none
		draining   bool
		drained    bool
		sweepAt    time.Time
		effs       []Effect
		accounts   map[string]*usage
		stalledNow bool
		keeping    bool
		keeps      uint64 // number of the newest Keep
	}

	waiter struct {
		seq    uint64
		ticket Ticket
		result result.Result
	}

	pending struct {
		seq uint64
		rec record.Record
	}
)

func (Configure) message() {}
func (Lease) message()     {}
func (Open) message()      {}
func (Call) message()      {}
func (End) message()       {}
func (Leave) message()     {}
func (Assigned) message()  {}
func (Refused) message()   {}
func (Tried) message()     {}
func (Keeping) message()   {}
func (Kept) message()      {}
func (Held) message()      {}
func (Journal) message()   {}
func (Saved) message()     {}
func (Verify) message()    {}
func (Pace) message()      {}
func (Drain) message()     {}
func (Tail) message()      {}
func (Tick) message()      {}

func (Write) effect()    {}
func (Place) effect()    {}
func (Dispatch) effect() {}
func (Stop) effect()     {}
func (Join) effect()     {}
func (Reply) effect()    {}
func (Keep) effect()     {}
func (Unkeep) effect()   {}
func (Recall) effect()   {}
func (Log) effect()      {}
func (Saving) effect()   {}
func (Verified) effect() {}
func (Fenced) effect()   {}
func (Drained) effect()  {}

// Step applies one message and returns the effects in the order in which they
// must be carried out.
func (o *Owner) Step(now time.Time, m Message) []Effect {
	o.init(now)
	if o.drained {
		return nil // the shard may be another's by now
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
	case Leave:
		o.leave(now, m.Ticket)
	case Assigned:
		o.assigned(now, m.Assign)
	case Refused:
		o.refused(now, m.Refuse)
	case Tried:
		o.tried(now, m)
	case Keeping:
		o.keeping = m.On
	case Kept:
		o.kept(now, m)
	case Held:
		o.add(record.Holders{Blob: m.Blob})
	case Journal:
		o.journal(now, m.Message)
	case Saved:
		o.saved(m)
	case Verify:
		o.verifySeq = o.add(record.Took{Epoch: o.Writer.Epoch, Owner: o.Writer.Owner, At: now})
	case Pace:
		o.Writer.Interval = m.Interval
	case Drain:
		o.drain(now)
	case Tail:
		o.tail(now, m.Request)
	case Tick:
		o.tick(now)
	}
	o.journal(now, jrnl.Tick{})
	o.checkDrained()
	effs := o.effs
	o.effs = nil
	return effs
}

// Snapshot returns a copy of the durable state, to be written out. It is
// meaningful right after a Committed that is Whole.
func (o *Owner) Snapshot() state.Fold { return o.Fold.Clone() }

// MayDispatch reports whether an attempt may be sent now. An owner whose lease
// is over can't know whether another has the shard; sending then could let two
// owners run one program's calls at once. It may go on only while nobody can
// reach the store, for then nobody can have taken the shard. What it heard of
// an outage must be fresh: a process that was paused would act on old news.
func (o *Owner) MayDispatch(now time.Time) bool {
	return now.Before(o.lease.Until) || now.Before(o.lease.Outage)
}

func (o *Owner) init(now time.Time) {
	if o.progs != nil {
		return
	}
	o.progs = map[string]*program{}
	o.runs = map[string]*run{}
	o.tickets = map[Ticket]*run{}
	o.accounts = map[string]*usage{}
	o.adopt(now)
}

func (o *Owner) emit(e Effect) { o.effs = append(o.effs, e) }

func (o *Owner) reply(t Ticket, request string, r result.Result) {
	o.emit(Reply{Ticket: t, Request: request, Result: r})
}

// add queues a record for the journal and returns its sequence number.
func (o *Owner) add(r record.Record) uint64 {
	seq, err := o.Writer.Add(r)
	if err != nil {
		// Records are made of plain fields, so encoding can't fail on any
		// input; going on without the record would lose history.
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
