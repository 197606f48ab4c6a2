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
	"github.com/slaterock/slaterock/internal/shard/jrnl"
	"github.com/slaterock/slaterock/internal/shard/owner"
	"github.com/slaterock/slaterock/internal/shard/past"
)

// desk drives one owner by hand: placement answers at once, attempts and the
// store only when told to.
type desk struct {
	own     owner.Owner
	now     time.Time
	down    bool // the store gives no answer
	full    bool // placement gives no answer
	journal []record.Entry
	held    []jrnl.Effect
	replies map[owner.Ticket]result.Result
	sent    []owner.Dispatch
	places  []sched.Message
	ticket  owner.Ticket
	keeps   []owner.Keep
	unkept  []hist.Blob
	recalls []owner.Recall
}

func newDesk() *desk {
	d := &desk{now: time.Unix(1_800_000_000, 0), replies: map[owner.Ticket]result.Result{}}
	seed := uint64(0)
	d.own.Writer = jrnl.Writer{Epoch: 1, Next: 1, Rand: func() uint64 { seed++; return seed }}
	d.step(owner.Configure{File: d.config()})
	d.step(owner.Lease{Until: d.now.Add(time.Hour)})
	return d
}

func (*desk) config() file.File {
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

func (d *desk) step(m owner.Message) {
	for _, e := range d.own.Step(d.now, m) {
		switch e := e.(type) {
		case owner.Write:
			d.held = append(d.held, e.Effect)
			d.store()
		case owner.Place:
			d.places = append(d.places, e.Message)
			if a, ok := e.Message.(sched.Submit); ok && !d.full {
				d.step(owner.Assigned{Assign: sched.Assign{ID: a.ID, Upstream: fmt.Sprint("u", len(a.Avoid))}})
			}
		case owner.Dispatch:
			d.sent = append(d.sent, e)
		case owner.Reply:
			d.replies[e.Ticket] = e.Result
		default:
			d.note(e)
		}
	}
}

// store answers what waits, unless the store is down.
func (d *desk) store() {
	for !d.down && len(d.held) > 0 {
		e := d.held[0]
		d.held = d.held[1:]
		if c, ok := e.(jrnl.Create); ok {
			e, err := record.Decode(c.Data)
			if err != nil {
				panic(err)
			}
			d.journal = append(d.journal, e)
			d.step(owner.Journal{Message: jrnl.CreateDone{Number: c.Number, Outcome: jrnl.Created}})
		}
	}
}

func (d *desk) pass(t time.Duration) {
	for end := d.now.Add(t); d.now.Before(end); {
		d.now = d.now.Add(50 * time.Millisecond)
		d.step(owner.Tick{})
	}
}

func (d *desk) open(program string) owner.Ticket {
	d.ticket++
	d.step(owner.Open{Ticket: d.ticket, Open: call.Open{Account: "x", Program: program, Agent: "a"}})
	return d.ticket
}

func (d *desk) call(program string, number int, service string, body string) owner.Ticket {
	d.ticket++
	c := call.Call{Request: fmt.Sprintf("%s-%d-%d", program, number, d.ticket), Account: "x", Program: program, Number: number, Kind: call.Model, Body: []byte(body)}
	if service != "" {
		c.Kind, c.Service = call.Service, service
	}
	d.step(owner.Call{Ticket: d.ticket, Call: c})
	return d.ticket
}

// answer ends the newest attempt.
func (d *desk) answer(outcome sched.Outcome) {
	s := d.sent[len(d.sent)-1]
	d.step(owner.Tried{Request: s.Request, Upstream: s.Upstream, Outcome: outcome, Status: 200, Body: []byte("done"), Why: "broken", Usage: usageOf(outcome)})
}

// The platform's store stops answering for minutes. What a caller may notice is
// a refusal that is true and prompt, or an answer that is held back until it is
// recorded; never a call that ran behind a refusal, or one that just hangs.
func TestStoreOutage(t *testing.T) {
	long := fmt.Sprintf("%0400d", 1) // costs more than the block reserved ahead
	tests := map[string]struct {
		ask    func(d *desk) owner.Ticket
		sent   bool
		code   result.Code // within two seconds of asking; empty is none yet
		ran    result.Ran
		later  result.Code // 15 s after asking
		healed result.Code // of a repeat when the store is back
	}{
		"model call within what is reserved": {
			func(d *desk) owner.Ticket { return d.call("p", 0, "", "hello") },
			true, "", "", result.CodeStoreDown, result.CodeOK,
		},
		"model call beyond what is reserved": {
			func(d *desk) owner.Ticket { return d.call("p", 0, "", long) },
			false, result.CodeStoreDown, result.No, result.CodeStoreDown, result.CodeOK,
		},
		"idempotent service call": {
			func(d *desk) owner.Ticket { return d.call("p", 0, "lookup", "x") },
			true, "", "", result.CodeStoreDown, result.CodeOK,
		},
		"call that isn't idempotent": {
			func(d *desk) owner.Ticket { return d.call("p", 0, "receipt", "x") },
			false, result.CodeStoreDown, result.No, result.CodeStoreDown, result.CodeOK,
		},
		"new program": {
			func(d *desk) owner.Ticket { return d.open("q") },
			false, result.CodeStoreDown, result.No, result.CodeStoreDown, result.CodeOK,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDesk()
			d.open("p")
			d.open("other")
			d.down = true
			d.step(owner.End{Ticket: 99, End: call.End{Account: "x", Program: "other"}}) // something to write
			d.pass(3 * time.Second)
			ticket := tt.ask(d)
			is.Equal(len(d.sent) > 0, tt.sent)
			if tt.sent {
				d.answer(sched.Succeeded)
			}
			d.pass(2 * time.Second)
			is.Equal(d.replies[ticket].Code, tt.code)
			if tt.code != "" {
				is.Equal(d.replies[ticket].Ran, tt.ran)
				is.True(d.replies[ticket].RetryAfter > 0)
			}
			d.pass(13 * time.Second)
			is.Equal(d.replies[ticket].Code, tt.later)
			d.down = false
			d.store()
			sent := len(d.sent)
			again := tt.ask(d)
			if len(d.sent) > sent {
				is.True(!tt.sent) // what ran before doesn't run again
				d.answer(sched.Succeeded)
			}
			is.Equal(d.replies[again].Code, tt.healed)
		})
	}
}

// A caller is refused and asks at once what became of its request. The record
// is still on its way to the journal, and must be told all the same.
func TestHistoryOfAMomentAgo(t *testing.T) {
	is := is.New(t)
	d := newDesk()
	d.open("p")
	d.call("p", 0, "receipt", "a")
	d.down = true
	for range 3 {
		d.answer(sched.Unsent)
	}
	refs, ok := d.own.Refs(state.Hash("p"))
	is.True(ok)
	hs, err := past.Past{}.Family(t.Context(), nil, append(d.records(is), refs.Pending...))
	is.NoErr(err)
	is.Equal(len(hs[0].Calls), 1)
	is.Equal(len(hs[0].Calls[0].Tries), 3)
	is.Equal(hs[0].Calls[0].Result.Ran, result.No)
	is.Equal(len(refs.Live["p"]), 0)
}

// The store stops answering right when an intent is written. The caller is told
// within seconds that the call did not run, and it must not run when the store
// comes back and the intent turns out to be in the journal.
func TestIntentInFlightWhenTheStoreStops(t *testing.T) {
	is := is.New(t)
	d := newDesk()
	d.open("p")
	d.down = true
	ticket := d.call("p", 0, "receipt", "x")
	d.pass(3100 * time.Millisecond)
	is.Equal(d.replies[ticket].Code, result.CodeStoreDown)
	is.Equal(d.replies[ticket].Ran, result.No)
	d.down = false
	d.store()
	d.pass(time.Second)
	is.Equal(len(d.sent), 0)
	again := d.call("p", 0, "receipt", "x")
	is.Equal(len(d.sent), 1) // a repeat runs, once
	d.answer(sched.Succeeded)
	is.Equal(d.replies[again].Code, result.CodeOK)
}

// The lease is over and the daemon was not able to renew it. Another daemon may
// own the program by now, so nothing may be sent, unless nobody can reach the
// store.
func TestDispatchNeedsTheLease(t *testing.T) {
	tests := map[string]struct {
		lease func(now time.Time) owner.Lease
		sent  bool
	}{
		"held":                 {func(now time.Time) owner.Lease { return owner.Lease{Until: now.Add(time.Second)} }, true},
		"over":                 {func(now time.Time) owner.Lease { return owner.Lease{Until: now} }, false},
		"over, outage for all": {func(now time.Time) owner.Lease { return owner.Lease{Until: now, Outage: now.Add(time.Second)} }, true},
		"over, old news":       {func(now time.Time) owner.Lease { return owner.Lease{Until: now, Outage: now} }, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDesk()
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
