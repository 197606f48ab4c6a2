package owner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/place/sched"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/record"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/shard/owner"
)

// successor returns the shard's next owner, built from the journal alone.
func (d *driver) successor(is *is.I) *driver {
	next := newDriver()
	next.machine = owner.Owner{Writer: next.machine.Writer}
	next.machine.Writer.Epoch = 2
	var j record.Reassembler
	for _, e := range d.journal {
		rs, err := j.Records(e)
		is.NoErr(err)
		for _, r := range rs {
			is.NoErr(next.machine.Fold.Apply(e.Number, r))
		}
		next.machine.Writer.Next = e.Number + 1
	}
	next.now = d.now
	next.step(owner.Configure{File: newDriver().config()})
	next.step(owner.Lease{Until: next.now.Add(time.Hour)})
	return next
}

// records returns all records in the journal.
func (d *driver) records(is *is.I) (all []record.Record) {
	var j record.Reassembler
	for _, e := range d.journal {
		rs, err := j.Records(e)
		is.NoErr(err)
		all = append(all, rs...)
	}
	return all
}

// A daemon hands its shard over while an attempt is under way and other calls
// wait. Guards against a call that is interrupted, runs twice or gets no reply.
func TestHandover(t *testing.T) {
	tests := map[string]struct {
		service string
		end     func(next *driver, request string)
		code    result.Code
		ran     result.Ran
	}{
		"answer comes at the next owner": {"", func(next *driver, request string) {
			next.step(owner.AttemptAlive{Request: request})
			next.advance(9 * time.Second)
			next.step(owner.AttemptAlive{Request: request})
			next.advance(9 * time.Second)
			next.step(owner.AttemptEnded{Request: request, Upstream: "u0", Outcome: sched.Succeeded, Status: 200, Body: []byte("done"), Usage: usageOf(sched.Succeeded)})
		}, result.CodeOK, result.Yes},
		"receipt comes at the next owner": {"receipt", func(next *driver, request string) {
			next.step(owner.AttemptEnded{Request: request, Upstream: "u0", Outcome: sched.Succeeded, Status: 200, Body: []byte("done")})
		}, result.CodeOK, result.Yes},
		"receipt breaks off": {"receipt", func(next *driver, request string) {
			next.step(owner.AttemptEnded{Request: request, Upstream: "u0", Outcome: sched.Failed, Reason: "broken"})
		}, result.CodeUnknown, result.Unknown},
		"receipt was not sent": {"receipt", func(next *driver, request string) {
			next.step(owner.AttemptEnded{Request: request, Upstream: "u0", Outcome: sched.Unsent, Reason: "refused"})
		}, result.CodeUpstreamFailed, result.No},
		"the former daemon dies": {"receipt", func(next *driver, _ string) {
			next.advance(11 * time.Second)
		}, result.CodeUnknown, result.Unknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDriver()
			d.open("p")
			d.open("q")
			d.call("p", 0, tt.service, "hello")
			is.Equal(len(d.sent), 1)
			request := d.sent[0].Request
			d.noPlacement = true
			d.open("r")
			receiptCall := d.call("q", 0, "receipt", "x")
			modelCall := d.call("r", 0, "", "hello")
			d.step(owner.Drain{})
			is.Equal(d.replies[modelCall].Code, result.CodeNotOwner)
			is.Equal(d.replies[modelCall].Ran, result.No)
			is.Equal(d.replies[receiptCall].Code, result.CodeNotOwner)
			is.Equal(d.replies[receiptCall].Ran, result.No)
			next := d.successor(is)
			is.True(next.machine.HasAttempt(request))
			joined := next.call("p", 0, tt.service, "hello")
			is.Equal(len(next.sent), 0)
			tt.end(next, request)
			is.Equal(next.replies[joined].Code, tt.code)
			is.Equal(next.replies[joined].Ran, tt.ran)
			again := next.call("q", 0, "receipt", "x") // the call rejected by the drain runs here
			is.Equal(len(next.sent), 1)
			next.answer(sched.Succeeded)
			is.Equal(next.replies[again].Code, result.CodeOK)
		})
	}
}

// A clean handover loses no budget: reserved tokens that were not spent can be spent
// at the next owner. After a crash the reserved block counts as spent, because the
// former owner may have spent it.
func TestBudgetAfterTakeover(t *testing.T) {
	tests := map[string]struct {
		clean bool
		code  result.Code
	}{
		"handed over": {true, result.CodeOK},
		"crashed":     {false, result.CodeBudget},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDriver()
			d.open("p") // 1000 tokens, of which 300 are reserved
			if tt.clean {
				d.step(owner.Drain{})
			}
			next := d.successor(is)
			body := make([]byte, 800)
			ticket := next.call("p", 0, "", string(body))
			if len(next.sent) > 0 {
				next.answer(sched.Succeeded)
			}
			is.Equal(next.replies[ticket].Code, tt.code)
		})
	}
}

// An attempt has failed and the next one is under way when the shard is handed
// over. The next owner must still charge the failed attempt's possible cost;
// otherwise the program would exceed its budget.
func TestHandoverKeepsTheCostOfFailedAttempts(t *testing.T) {
	is := is.New(t)
	d := newDriver()
	d.open("p")
	d.call("p", 0, "", string(make([]byte, 300)))
	d.answer(sched.Failed) // may have cost 340 of 1000 tokens
	is.Equal(len(d.sent), 2)
	d.step(owner.Drain{})
	next := d.successor(is)
	again := d.sent[1]
	next.step(owner.AttemptEnded{Request: again.Request, Upstream: again.Upstream, Outcome: sched.Succeeded, Status: 200, Body: []byte("done"), Usage: usageOf(sched.Succeeded)})
	over := next.call("p", 1, "", string(make([]byte, 700))) // 640 tokens are left
	is.Equal(next.replies[over].Code, result.CodeBudget)
	fits := next.call("p", 1, "", string(make([]byte, 500)))
	is.Equal(next.replies[fits].Code, result.Code(""))
	is.Equal(len(next.sent), 1)
}

// An engine breaks off without reporting what it generated. The maximum must be
// charged; otherwise a program could exceed its budget when engines fail often.
func TestFailedAttemptsCost(t *testing.T) {
	is := is.New(t)
	d := newDriver()
	d.open("p")
	d.call("p", 0, "", string(make([]byte, 400)))
	d.answer(sched.Failed) // may have cost 440 of 1000 tokens; a second attempt fits
	is.Equal(len(d.sent), 2)
	d.answer(sched.Failed) // may have cost 880
	is.Equal(len(d.sent), 2)
	over := d.call("p", 1, "", string(make([]byte, 200)))
	is.Equal(d.replies[over].Code, result.CodeBudget)
}

// While the former owner may still dispatch, the new owner dispatches nothing.
func TestNoDispatchBeforeTakeoverDelay(t *testing.T) {
	is := is.New(t)
	d := newDriver()
	d.open("p")
	d.machine.Hold = d.now.Add(3 * time.Second)
	d.call("p", 0, "", "hello")
	d.advance(2900 * time.Millisecond)
	is.Equal(len(d.sent), 0)
	d.advance(200 * time.Millisecond)
	is.Equal(len(d.sent), 1)
}

// The owner of a shard changes between two calls of a program, as when daemons start or are
// replaced. The next owner placed none of the earlier calls, but must tell placement which
// engines ran them when the program ends. Otherwise the engines would hold the program's memory
// until placement's next sweep for ended programs.
func TestEngineMemoryIsReleasedAfterATakeover(t *testing.T) {
	is := is.New(t)
	d := newDriver()
	d.open("p")
	d.call("p", 0, "", "a question")
	d.answer(sched.Succeeded)
	next := d.successor(is)
	next.step(owner.End{Ticket: 99, End: call.End{Account: "x", Program: "p", Kind: call.Finish}})
	is.Equal(next.placementMessages[len(next.placementMessages)-1], sched.ProgramEnded{Program: "p", Engines: []string{"u0"}})
}
