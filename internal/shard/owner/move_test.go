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

// successor is the next owner of a desk's shard, from the journal alone.
func (d *desk) successor(is *is.I) *desk {
	next := newDesk()
	next.own = owner.Owner{Writer: next.own.Writer}
	next.own.Writer.Epoch = 2
	var j record.Joiner
	for _, e := range d.journal {
		rs, err := j.Records(e)
		is.NoErr(err)
		for _, r := range rs {
			is.NoErr(next.own.Fold.Apply(e.Number, r))
		}
		next.own.Writer.Next = e.Number + 1
	}
	next.now = d.now
	next.step(owner.Configure{File: newDesk().config()})
	next.step(owner.Lease{Until: next.now.Add(time.Hour)})
	return next
}

// records are all that the journal has.
func (d *desk) records(is *is.I) (all []record.Record) {
	var j record.Joiner
	for _, e := range d.journal {
		rs, err := j.Records(e)
		is.NoErr(err)
		all = append(all, rs...)
	}
	return all
}

// A daemon hands its shard over while an attempt is under way and other calls
// wait. Callers would notice a call that is cut, run twice, or left without any
// answer; the operators would notice tokens that nobody spent but no program
// can use.
func TestHandover(t *testing.T) {
	tests := map[string]struct {
		service string
		end     func(next *desk, request string)
		code    result.Code
		ran     result.Ran
	}{
		"answer comes at the next owner": {"", func(next *desk, request string) {
			next.step(owner.Tail{Request: request})
			next.pass(9 * time.Second)
			next.step(owner.Tail{Request: request})
			next.pass(9 * time.Second)
			next.step(owner.Tried{Request: request, Upstream: "u0", Outcome: sched.Succeeded, Status: 200, Body: []byte("done"), Usage: usageOf(sched.Succeeded)})
		}, result.CodeOK, result.Yes},
		"receipt comes at the next owner": {"receipt", func(next *desk, request string) {
			next.step(owner.Tried{Request: request, Upstream: "u0", Outcome: sched.Succeeded, Status: 200, Body: []byte("done")})
		}, result.CodeOK, result.Yes},
		"receipt breaks off": {"receipt", func(next *desk, request string) {
			next.step(owner.Tried{Request: request, Upstream: "u0", Outcome: sched.Failed, Why: "broken"})
		}, result.CodeUnknown, result.Unknown},
		"receipt was not sent": {"receipt", func(next *desk, request string) {
			next.step(owner.Tried{Request: request, Upstream: "u0", Outcome: sched.Unsent, Why: "refused"})
		}, result.CodeUpstreamFailed, result.No},
		"the former daemon dies": {"receipt", func(next *desk, _ string) {
			next.pass(11 * time.Second)
		}, result.CodeUnknown, result.Unknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDesk()
			d.open("p")
			d.open("q")
			d.call("p", 0, tt.service, "hello")
			is.Equal(len(d.sent), 1)
			request := d.sent[0].Request
			d.full = true
			d.open("r")
			waits := d.call("q", 0, "receipt", "x")
			queued := d.call("r", 0, "", "hello")
			d.step(owner.Drain{})
			is.Equal(d.replies[queued].Code, result.CodeNotOwner)
			is.Equal(d.replies[queued].Ran, result.No)
			is.Equal(d.replies[waits].Code, result.CodeNotOwner)
			is.Equal(d.replies[waits].Ran, result.No)
			next := d.successor(is)
			is.True(next.own.Knows(request))
			joined := next.call("p", 0, tt.service, "hello")
			is.Equal(len(next.sent), 0)
			tt.end(next, request)
			is.Equal(next.replies[joined].Code, tt.code)
			is.Equal(next.replies[joined].Ran, tt.ran)
			again := next.call("q", 0, "receipt", "x") // what was turned away runs there
			is.Equal(len(next.sent), 1)
			next.answer(sched.Succeeded)
			is.Equal(next.replies[again].Code, result.CodeOK)
		})
	}
}

// A clean handover loses no budget; after a crash the reserved block counts as
// spent, since the dead owner may have spent it.
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
			d := newDesk()
			d.open("p") // 1000 tokens, 300 of them reserved
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
// over. What the first may have cost must not be forgotten on the way; the
// program would pass its budget.
func TestHandoverKeepsTheCostOfFailedAttempts(t *testing.T) {
	is := is.New(t)
	d := newDesk()
	d.open("p")
	d.call("p", 0, "", string(make([]byte, 300)))
	d.answer(sched.Failed) // 340 of 1000 may be gone
	is.Equal(len(d.sent), 2)
	d.step(owner.Drain{})
	next := d.successor(is)
	again := d.sent[1]
	next.step(owner.Tried{Request: again.Request, Upstream: again.Upstream, Outcome: sched.Succeeded, Status: 200, Body: []byte("done"), Usage: usageOf(sched.Succeeded)})
	over := next.call("p", 1, "", string(make([]byte, 700))) // 640 are left
	is.Equal(next.replies[over].Code, result.CodeBudget)
	fits := next.call("p", 1, "", string(make([]byte, 500)))
	is.Equal(next.replies[fits].Code, result.Code(""))
	is.Equal(len(next.sent), 1)
}

// An engine breaks off without saying what it generated. What it may have
// generated counts, or a program on a bad day would pass its budget.
func TestFailedAttemptsCost(t *testing.T) {
	is := is.New(t)
	d := newDesk()
	d.open("p")
	d.call("p", 0, "", string(make([]byte, 400)))
	d.answer(sched.Failed) // 440 of 1000 may be gone; a second attempt has room
	is.Equal(len(d.sent), 2)
	d.answer(sched.Failed) // 880 may be gone
	is.Equal(len(d.sent), 2)
	over := d.call("p", 1, "", string(make([]byte, 200)))
	is.Equal(d.replies[over].Code, result.CodeBudget)
}

// A taker whose predecessor may still act waits before its first dispatch.
func TestTakerWaits(t *testing.T) {
	is := is.New(t)
	d := newDesk()
	d.open("p")
	d.own.Hold = d.now.Add(3 * time.Second)
	d.call("p", 0, "", "hello")
	d.pass(2900 * time.Millisecond)
	is.Equal(len(d.sent), 0)
	d.pass(200 * time.Millisecond)
	is.Equal(len(d.sent), 1)
}

// A shard changes hands between the calls of a program, as it does when daemons start or
// are replaced. The next owner chose none of the engines that ran them; if it didn't have
// them free the program's memory, it would be held until a sweep comes by.
func TestMemoryIsReleasedAfterAHandover(t *testing.T) {
	is := is.New(t)
	d := newDesk()
	d.open("p")
	d.call("p", 0, "", "a question")
	d.answer(sched.Succeeded)
	next := d.successor(is)
	next.step(owner.End{Ticket: 99, End: call.End{Account: "x", Program: "p", Kind: call.Finish}})
	is.Equal(next.places[len(next.places)-1], sched.ProgramEnded{Program: "p", Engines: []string{"u0"}})
}
