package owner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/place/sched"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/shard/owner"
)

// Callers and upstreams misbehave: calls arrive early, twice, late or with a
// different body, and upstreams fail before or after they received the request.
// Each case states the code and Ran that the caller must get, and the number of
// dispatches.
func TestCalls(t *testing.T) {
	tests := map[string]struct {
		run   func(d *driver) owner.Ticket
		code  result.Code
		ran   result.Ran
		sends int
	}{
		"in order": {func(d *driver) owner.Ticket {
			t := d.call("p", 0, "", "a")
			d.answer(sched.Succeeded)
			return t
		}, result.CodeOK, result.Yes, 1},
		"early, the one before comes": {func(d *driver) owner.Ticket {
			t := d.call("p", 1, "", "b")
			d.call("p", 0, "", "a")
			d.answer(sched.Succeeded)
			d.answer(sched.Succeeded)
			return t
		}, result.CodeOK, result.Yes, 2},
		"early, the one before never comes": {func(d *driver) owner.Ticket {
			t := d.call("p", 1, "", "b")
			d.advance(2 * time.Second)
			return t
		}, result.CodeOrder, result.No, 0},
		"far too early": {func(d *driver) owner.Ticket { return d.call("p", 99, "", "b") }, result.CodeOrder, result.No, 0},
		"repeat while under way joins": {func(d *driver) owner.Ticket {
			d.call("p", 0, "receipt", "a")
			t := d.call("p", 0, "receipt", "a")
			d.answer(sched.Succeeded)
			return t
		}, result.CodeOK, result.Yes, 1},
		"repeat while under way, too many callers": {func(d *driver) (t owner.Ticket) {
			for range 17 {
				t = d.call("p", 0, "receipt", "a")
			}
			return t
		}, result.CodeLimited, result.Unknown, 1},
		"repeat after the end": {func(d *driver) owner.Ticket {
			d.call("p", 0, "receipt", "a")
			d.answer(sched.Succeeded)
			return d.call("p", 0, "receipt", "a")
		}, result.CodeOK, result.Yes, 1},
		"repeat with another body": {func(d *driver) owner.Ticket {
			d.call("p", 0, "receipt", "a")
			d.answer(sched.Succeeded)
			return d.call("p", 0, "receipt", "changed")
		}, result.CodeConflict, result.No, 1},
		"not sent, then sent elsewhere": {func(d *driver) owner.Ticket {
			t := d.call("p", 0, "receipt", "a")
			d.answer(sched.Unsent)
			d.answer(sched.Succeeded)
			return t
		}, result.CodeOK, result.Yes, 2},
		"never sent": {func(d *driver) owner.Ticket {
			t := d.call("p", 0, "receipt", "a")
			for range 3 {
				d.answer(sched.Unsent)
			}
			return t
		}, result.CodeUpstreamFailed, result.No, 3},
		"receipt broke off": {func(d *driver) owner.Ticket {
			t := d.call("p", 0, "receipt", "a")
			d.answer(sched.Failed)
			return t
		}, result.CodeUnknown, result.Unknown, 1},
		"repeat of a receipt that broke off": {func(d *driver) owner.Ticket {
			d.call("p", 0, "receipt", "a")
			d.answer(sched.Failed)
			return d.call("p", 0, "receipt", "a")
		}, result.CodeUnknown, result.Unknown, 1},
		"lookup broke off and is repeated": {func(d *driver) owner.Ticket {
			t := d.call("p", 0, "lookup", "a")
			d.answer(sched.Failed)
			d.answer(sched.Succeeded)
			return t
		}, result.CodeOK, result.Yes, 2},
		"lookup broke off each time": {func(d *driver) owner.Ticket {
			t := d.call("p", 0, "lookup", "a")
			d.answer(sched.Failed)
			d.answer(sched.Failed)
			return t
		}, result.CodeUpstreamFailed, result.Unknown, 2},
		"loops beyond its turns": {func(d *driver) owner.Ticket {
			for n := range 5 {
				d.call("p", n, "lookup", "a")
				d.answer(sched.Succeeded)
			}
			return d.call("p", 5, "lookup", "a")
		}, result.CodeTurns, result.No, 5},
		"loops beyond its tokens": {func(d *driver) owner.Ticket {
			return d.call("p", 0, "", fmt.Sprintf("%01000d", 1))
		}, result.CodeBudget, result.No, 0},
		"after its end": {func(d *driver) owner.Ticket {
			d.step(owner.End{Ticket: 99, End: call.End{Account: "x", Program: "p", Kind: call.Finish}})
			return d.call("p", 0, "", "a")
		}, result.CodeEnded, result.No, 0},
		"idle for too long": {func(d *driver) owner.Ticket {
			d.advance(62 * time.Second)
			return d.call("p", 0, "", "a")
		}, result.CodeEnded, result.No, 0},
		"another account's program": {func(d *driver) owner.Ticket {
			d.ticket++
			d.step(owner.Call{Ticket: d.ticket, Call: call.Call{Request: "z", Account: "y", Program: "p"}})
			return d.ticket
		}, result.CodeNotFound, result.No, 0},
		"cancelled while an answer is on its way": {func(d *driver) owner.Ticket {
			t := d.call("p", 0, "", "a")
			d.step(owner.End{Ticket: 99, End: call.End{Account: "x", Program: "p", Kind: call.Cancel}})
			return t
		}, result.CodeCancelled, result.Unknown, 1},
		"cancelled while a receipt is on its way": {func(d *driver) owner.Ticket {
			t := d.call("p", 0, "receipt", "a")
			d.step(owner.End{Ticket: 99, End: call.End{Account: "x", Program: "p", Kind: call.Cancel}})
			d.answer(sched.Succeeded)
			return t
		}, result.CodeOK, result.Yes, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDriver()
			d.open("p")
			ticket := tt.run(d)
			d.advance(50 * time.Millisecond)
			is.Equal(d.replies[ticket].Code, tt.code)
			is.Equal(d.replies[ticket].Ran, tt.ran)
			is.Equal(len(d.sent), tt.sends)
		})
	}
}

// A sub-agent spends from its parent's budget. Together they must not exceed it,
// and ending the parent must end the sub-agent and release its engine memory.
func TestSubAgents(t *testing.T) {
	is := is.New(t)
	d := newDriver()
	d.open("p")
	d.ticket++
	d.step(owner.Open{Ticket: d.ticket, Open: call.Open{Account: "x", Program: "p/c", Parent: "p"}})
	is.Equal(d.replies[d.ticket].Code, result.CodeOK)
	body := fmt.Sprintf("%0500d", 1)
	d.call("p", 0, "", body)
	over := d.call("p/c", 0, "", body) // 540 + 540 of 1000 tokens
	is.Equal(d.replies[over].Code, result.CodeBudget)
	d.answer(sched.Succeeded) // cost: 20 tokens
	fits := d.call("p/c", 0, "", body)
	is.Equal(len(d.sent), 2)
	d.step(owner.End{Ticket: 99, End: call.End{Account: "x", Program: "p", Kind: call.Finish}})
	is.Equal(d.replies[fits].Code, result.CodeCancelled)
	released := map[string]bool{}
	for _, m := range d.placementMessages {
		if e, ok := m.(sched.ProgramEnded); ok {
			released[e.Program] = true
		}
	}
	is.Equal(released, map[string]bool{"p": true, "p/c": true})
}
