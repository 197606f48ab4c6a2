package owner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/place/sched"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/record"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/prog/state"
	"github.com/slaterock/slaterock/internal/shard/histio"
	"github.com/slaterock/slaterock/internal/shard/jrnl"
	"github.com/slaterock/slaterock/internal/shard/owner"
)

// driver runs one owner in a test. Placement answers at once unless noPlacement is
// set, and the store unless storeDown is set; attempts end when the test calls
// answer.
type driver struct {
	machine           owner.Owner
	now               time.Time
	storeDown         bool // the store does not answer
	noPlacement       bool // placement does not answer
	journal           []record.Entry
	storeRequests     []jrnl.Effect
	replies           map[owner.Ticket]result.Result
	sent              []owner.Dispatch
	placementMessages []sched.Message
	ticket            owner.Ticket
	offloads          []owner.Offload
	released          []hist.Blob
	journalReplies    []owner.ReplyFromJournal
}

func newDriver() *driver {
	d := &driver{now: time.Unix(1_800_000_000, 0), replies: map[owner.Ticket]result.Result{}}
	seed := uint64(0)
	d.machine.Writer = jrnl.Writer{Epoch: 1, Next: 1, Rand: func() uint64 { seed++; return seed }}
	d.step(owner.Configure{File: d.config()})
	d.step(owner.Lease{Until: d.now.Add(time.Hour)})
	return d
}

func (*driver) config() file.File {
	return file.File{
		Limits: file.Limits{BudgetBlock: 300, GapWait: time.Second},
		Agents: map[string]file.Agent{"a": {Model: "m", Budget: 1000, MaxTurns: 5, IdleLimit: time.Minute, MaxDuration: time.Hour}},
		Models: map[string]file.Model{"m": {Group: "g", MaxTokens: 40}},
		Services: map[string]file.Service{
			"receipt": {Group: "s"},
			"lookup":  {Group: "s", Idempotent: true, MaxTries: 2},
		},
	}
}

func (d *driver) step(m owner.Message) {
	for _, e := range d.machine.Step(d.now, m) {
		switch e := e.(type) {
		case owner.StoreRequest:
			d.storeRequests = append(d.storeRequests, e.Effect)
			d.store()
		case owner.Place:
			d.placementMessages = append(d.placementMessages, e.Message)
			if a, ok := e.Message.(sched.Submit); ok && !d.noPlacement {
				d.step(owner.Assigned{Assign: sched.Assign{ID: a.ID, Upstream: fmt.Sprint("u", len(a.Avoid))}})
			}
		case owner.Dispatch:
			d.sent = append(d.sent, e)
		case owner.Reply:
			d.replies[e.Ticket] = e.Result
		default:
			d.capture(e)
		}
	}
}

// store answers the store requests that wait, unless the store is down.
func (d *driver) store() {
	for !d.storeDown && len(d.storeRequests) > 0 {
		e := d.storeRequests[0]
		d.storeRequests = d.storeRequests[1:]
		if c, ok := e.(jrnl.Create); ok {
			e, err := record.Decode(c.Data)
			if err != nil {
				panic(err)
			}
			d.journal = append(d.journal, e)
			d.step(owner.StoreReply{Message: jrnl.CreateDone{Number: c.Number, Outcome: jrnl.Created}})
		}
	}
}

func (d *driver) advance(t time.Duration) {
	for end := d.now.Add(t); d.now.Before(end); {
		d.now = d.now.Add(50 * time.Millisecond)
		d.step(owner.Tick{})
	}
}

func (d *driver) open(program string) owner.Ticket {
	d.ticket++
	d.step(owner.Open{Ticket: d.ticket, Open: call.Open{Account: "x", Program: program, Agent: "a"}})
	return d.ticket
}

func (d *driver) call(program string, number int, service string, body string) owner.Ticket {
	d.ticket++
	c := call.Call{Request: fmt.Sprintf("%s-%d-%d", program, number, d.ticket), Account: "x", Program: program, Number: number, Kind: call.Model, Body: []byte(body)}
	if service != "" {
		c.Kind, c.Service = call.Service, service
	}
	d.step(owner.Call{Ticket: d.ticket, Call: c})
	return d.ticket
}

// answer ends the newest attempt.
func (d *driver) answer(outcome sched.Outcome) {
	s := d.sent[len(d.sent)-1]
	d.step(owner.AttemptEnded{Request: s.Request, Upstream: s.Upstream, Outcome: outcome, Status: 200, Body: []byte("done"), Reason: "broken", Usage: usageOf(outcome)})
}

// The platform's store stops answering. A caller may get a prompt refusal of a call
// that did not run, or an answer that is delayed until it is recorded. Guards
// against a call that runs although it was refused, and against a call that hangs.
func TestStoreOutage(t *testing.T) {
	long := fmt.Sprintf("%0400d", 1) // costs more than the block reserved in advance
	tests := map[string]struct {
		ask         func(d *driver) owner.Ticket
		sent        bool
		code        result.Code // within 2 s of the request; empty for no reply yet
		ran         result.Ran
		later       result.Code // 15 s after the request
		afterOutage result.Code // of a repeat when the store answers again
	}{
		"model call within what is reserved": {
			func(d *driver) owner.Ticket { return d.call("p", 0, "", "hello") },
			true, "", "", result.CodeStoreDown, result.CodeOK,
		},
		"model call beyond what is reserved": {
			func(d *driver) owner.Ticket { return d.call("p", 0, "", long) },
			false, result.CodeStoreDown, result.No, result.CodeStoreDown, result.CodeOK,
		},
		"idempotent service call": {
			func(d *driver) owner.Ticket { return d.call("p", 0, "lookup", "x") },
			true, "", "", result.CodeStoreDown, result.CodeOK,
		},
		"call that isn't idempotent": {
			func(d *driver) owner.Ticket { return d.call("p", 0, "receipt", "x") },
			false, result.CodeStoreDown, result.No, result.CodeStoreDown, result.CodeOK,
		},
		"new program": {
			func(d *driver) owner.Ticket { return d.open("q") },
			false, result.CodeStoreDown, result.No, result.CodeStoreDown, result.CodeOK,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDriver()
			d.open("p")
			d.open("other")
			d.storeDown = true
			d.step(owner.End{Ticket: 99, End: call.End{Account: "x", Program: "other"}}) // a write that waits
			d.advance(3 * time.Second)
			ticket := tt.ask(d)
			is.Equal(len(d.sent) > 0, tt.sent)
			if tt.sent {
				d.answer(sched.Succeeded)
			}
			d.advance(2 * time.Second)
			is.Equal(d.replies[ticket].Code, tt.code)
			if tt.code != "" {
				is.Equal(d.replies[ticket].Ran, tt.ran)
				is.True(d.replies[ticket].RetryAfter > 0)
			}
			d.advance(13 * time.Second)
			is.Equal(d.replies[ticket].Code, tt.later)
			d.storeDown = false
			d.store()
			sent := len(d.sent)
			again := tt.ask(d)
			if len(d.sent) > sent {
				is.True(!tt.sent) // a call that ran before does not run again
				d.answer(sched.Succeeded)
			}
			is.Equal(d.replies[again].Code, tt.afterOutage)
		})
	}
}

// A caller is refused and reads its request's history before the record is
// committed. The history must include the pending record.
func TestHistoryIncludesPendingRecords(t *testing.T) {
	is := is.New(t)
	d := newDriver()
	d.open("p")
	d.call("p", 0, "receipt", "a")
	d.storeDown = true
	for range 3 {
		d.answer(sched.Unsent)
	}
	refs, ok := d.machine.Refs(state.Hash("p"))
	is.True(ok)
	hs, err := histio.Reader{}.Histories(t.Context(), nil, append(d.records(is), refs.Pending...))
	is.NoErr(err)
	is.Equal(len(hs[0].Calls), 1)
	is.Equal(len(hs[0].Calls[0].Tries), 3)
	is.Equal(hs[0].Calls[0].Result.Ran, result.No)
	is.Equal(len(refs.Unrecorded["p"]), 0)
}

// The store stops answering while an intent is being written. The caller learns
// within seconds that the call did not run, so the call must not run when the store
// answers again and the intent turns out to be in the journal.
func TestIntentInFlightWhenTheStoreStops(t *testing.T) {
	is := is.New(t)
	d := newDriver()
	d.open("p")
	d.storeDown = true
	ticket := d.call("p", 0, "receipt", "x")
	d.advance(3100 * time.Millisecond)
	is.Equal(d.replies[ticket].Code, result.CodeStoreDown)
	is.Equal(d.replies[ticket].Ran, result.No)
	d.storeDown = false
	d.store()
	d.advance(time.Second)
	is.Equal(len(d.sent), 0)
	again := d.call("p", 0, "receipt", "x")
	is.Equal(len(d.sent), 1) // a repeat runs, once
	d.answer(sched.Succeeded)
	is.Equal(d.replies[again].Code, result.CodeOK)
}

// The lease has expired and was not renewed. Another daemon may own the program by
// now, so the owner must not dispatch, unless no daemon can reach the store.
func TestDispatchNeedsTheLease(t *testing.T) {
	tests := map[string]struct {
		lease func(now time.Time) owner.Lease
		sent  bool
	}{
		"held":                 {func(now time.Time) owner.Lease { return owner.Lease{Until: now.Add(time.Second)} }, true},
		"over":                 {func(now time.Time) owner.Lease { return owner.Lease{Until: now} }, false},
		"over, outage for all": {func(now time.Time) owner.Lease { return owner.Lease{Until: now, OutageUntil: now.Add(time.Second)} }, true},
		"over, old news":       {func(now time.Time) owner.Lease { return owner.Lease{Until: now, OutageUntil: now} }, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDriver()
			d.open("p")
			d.step(tt.lease(d.now))
			ticket := d.call("p", 0, "", "hello")
			is.Equal(len(d.sent) == 1, tt.sent)
			if !tt.sent {
				is.Equal(d.replies[ticket].Code, result.CodeNotOwner)
				is.Equal(d.replies[ticket].Ran, result.No)
			}
		})
	}
}
