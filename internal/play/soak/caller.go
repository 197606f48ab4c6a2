package soak

import (
	"fmt"
	"time"

	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/shard/owner"
)

const (
	callerCalls = 8
	callerTries = 60
)

type (
	// caller runs one program: it opens the program, makes its calls in order,
	// repeats calls that have no outcome, and finishes the program.
	caller struct {
		sim      *simulation
		program  string
		opened   bool
		number   int // of the current call
		tries    int
		ended    bool
		answers  map[int]string
		requests int // number of requests sent
	}

	// pendingRequest is one request of a caller. Its number is the call's, -1 to
	// open the program, or callerCalls to finish it.
	pendingRequest struct {
		c       *caller
		number  int
		request string
		done    bool
	}
)

func newCaller(sim *simulation, program string) *caller {
	return &caller{sim: sim, program: program, answers: map[int]string{}}
}

func (sim *simulation) newTicket(f func(string, result.Result)) owner.Ticket {
	sim.tickets[owner.Ticket(len(sim.tickets)+1)] = f
	return owner.Ticket(len(sim.tickets))
}

// reply delivers a result to its caller, after a random delay. It verifies that a
// request reported as not run was not executed.
func (sim *simulation) reply(t owner.Ticket, request string, r result.Result) {
	f := sim.tickets[t]
	sim.tickets[t] = nil
	if f == nil {
		return
	}
	sim.stats.Replies++
	sim.tracef("reply %s: %s ran %s: %s %s", request, r.Code, r.Ran, r.Message, r.Body)
	if r.Ran == result.No && request != "" {
		if sim.executions[request] > 0 {
			sim.addViolation("%s was said not to have run, but it did: %s %s", request, r.Code, r.Message)
		}
		sim.refusals[request] = string(r.Code) + " " + r.Message
	}
	sim.after(sim.randomDuration(0, 20*time.Millisecond), func() { f(request, r) })
}

// chooseNode returns the node to send a request to: in nine of ten cases the first
// that considers itself the owner, if there is one, else a random node.
func (c *caller) chooseNode() *node {
	if c.sim.choose(10) > 0 {
		for _, n := range c.sim.nodes {
			if n.own != nil {
				return n
			}
		}
	}
	return c.sim.nodes[c.sim.choose(len(c.sim.nodes))]
}

// next sends the caller's next request.
func (c *caller) next() {
	switch {
	case c.ended:
	case !c.opened:
		c.send(-1, func(t owner.Ticket, _ string) owner.Message {
			return owner.Open{Ticket: t, Open: call.Open{Account: "acct", Program: c.program}}
		})
	case c.number < callerCalls:
		c.call(c.number)
		if c.sim.fault(100) {
			c.call(c.number) // repeated while the first request is in flight
		}
	default:
		c.send(callerCalls, func(t owner.Ticket, _ string) owner.Message {
			return owner.End{Ticket: t, End: call.End{Account: "acct", Program: c.program, Kind: call.Finish}}
		})
	}
}

// call sends the request of a call. Its kind depends on the program and number
// only, so that a repeated request is the same.
func (c *caller) call(number int) {
	req := call.Call{Account: "acct", Program: c.program, Number: number, Kind: call.Model}
	switch number % 4 {
	case 1, 3:
		req.Kind, req.Service, req.Method, req.Path = call.Service, "receipt", "POST", "/issue"
	case 2:
		if c.program == "p0" {
			req.Kind, req.Service, req.Method, req.Path = call.Service, "lookup", "GET", "/"
		}
	}
	req.Body = encodeJSON(map[string]any{"messages": []string{fmt.Sprint(c.program, number)}})
	c.send(number, func(t owner.Ticket, request string) owner.Message {
		req.Request = request
		return owner.Call{Ticket: t, Call: req}
	})
}

// send sends a request, which times out after 1 to 25 seconds.
func (c *caller) send(number int, m func(owner.Ticket, string) owner.Message) {
	sim := c.sim
	c.requests++
	a := &pendingRequest{c: c, number: number, request: fmt.Sprintf("%s-%d-%d", c.program, number, c.requests)}
	t := sim.newTicket(func(_ string, r result.Result) { a.complete(r) })
	n := c.chooseNode()
	sim.after(sim.randomDuration(0, 20*time.Millisecond), func() {
		if !n.up || n.own == nil {
			a.complete(result.Refuse(result.CodeNotOwner, "not here"))
			return
		}
		own := n.own
		sim.tracef("%s asks %s", a.request, n.name)
		n.later(0, func() { n.deliver(own, m(t, a.request)) })
	})
	sim.after(sim.randomDuration(time.Second, 25*time.Second), func() {
		if a.done {
			return
		}
		n.later(0, func() { n.step(owner.CallerGone{Ticket: t}) })
		a.complete(result.Failed(result.CodeTimeout, result.Unknown, "the caller gave up"))
	})
}

// complete handles the result of a request. It records the answer of every
// successful call, but only the result of the current call advances the caller.
func (a *pendingRequest) complete(r result.Result) {
	c := a.c
	if a.done {
		return
	}
	a.done = true
	if r.OK() && a.number >= 0 && a.number < callerCalls {
		c.recordAnswer(a.number, string(r.Body))
	}
	if c.ended || a.number >= 0 && a.number != c.number {
		return
	}
	settled := r.OK() || r.Code == result.CodeUnknown
	switch {
	case a.number < 0 && r.OK():
		c.opened, c.tries = true, 0
	case a.number == callerCalls && r.OK():
		c.ended = true
		return
	case a.number >= 0 && settled:
		c.number++
		c.tries = 0
	case r.Code == result.CodeBudget || r.Code == result.CodeEnded:
		c.number, c.tries = callerCalls, 0
		if r.Code == result.CodeEnded {
			c.ended = true
			return
		}
	default:
		// Refusals are expected until a minute after the fault period.
		if c.sim.now.Sub(c.sim.start) > faultPeriod+time.Minute {
			c.tries++
		}
		if c.tries > callerTries {
			c.sim.addViolation("%s can't get on with call %d: %s %s", c.program, c.number, r.Code, r.Message)
			c.ended = true
			return
		}
	}
	c.sim.after(r.RetryAfter+c.sim.randomDuration(10*time.Millisecond, 2*time.Second), c.next)
}

// recordAnswer records an answer and verifies that it belongs to the call and is
// the same for repeated requests.
func (c *caller) recordAnswer(number int, body string) {
	if old, ok := c.answers[number]; ok && old != body {
		c.sim.addViolation("%s got two answers to call %d: %q, then %q", c.program, number, old, body)
	}
	want := fmt.Sprintf("%s %d ", c.program, number)
	if len(body) < len(want) || body[:len(want)] != want {
		c.sim.addViolation("%s got another's answer to call %d: %q", c.program, number, body)
	}
	c.answers[number] = body
}
