// Package gate decides which programs wait or come back later while engines are
// busy.
//
// An engine makes each event more slowly the more turns it runs. Programs are
// given some multiple of the time that they need on idle engines, so beyond some
// number of turns all of them are late, and beyond the places of a batch turns
// only wait. The gate keeps the turns under way near that number by letting new
// programs wait while they can still be in time, and refusing them after that: what
// has begun is finished in time, and who has to come later is told so before
// anything ran. Eight seconds of 3.5 times the usual programs, on eight engines of
// 16 places, gained 0.24 ±0.02 of a day's worth by it (three paired plays); what the
// engines can bear passes as if there were no gate.
//
// It is a state machine without clock, lock or network: events go in, operations
// come out.
package gate

import (
	"slices"
	"time"
)

const (
	// late is the part of the room up to which programs begin that can't be in time:
	// they take what the others leave.
	lateFill = 0.85
	// eager is how many times its part of the room a daemon may take: not all have
	// programs that wait. At 1 with 54 daemons a quarter of the room was left while
	// programs waited.
	overcommit = 3
	// After is when the caller of a late program may come back: bursts last for
	// seconds, and callers come back once for each refusal, after at most a third of
	// the time that they wait for a turn (four seconds and more).
	After = 1300 * time.Millisecond
)

type (
	// Load is what the engines of a service have to do.
	Load struct {
		InFlight int // turns under way, of all daemons
		Capacity int // turns beside each other with which programs are in time
		Daemons  int // daemons that share the room, this one included
		// News is the time between two words of another daemon: what is known of its
		// turns may be as old.
		Staleness time.Duration
	}

	// Event is something that the gate is told.
	Event interface{ event() }

	// Arrive asks for a program to begin. Until is the latest time at which it can
	// begin and be in time; it may have passed.
	Arrive struct {
		Ticket   uint64
		Deadline time.Time
		Load     Load
	}

	// Change tells that turns have ended or that other daemons were heard.
	Change struct{ Load Load }

	// Leave tells that a program's caller has left.
	Cancel struct{ Ticket uint64 }

	// Op is something that is to be done with a program.
	Op interface{ op() }

	// Admit lets a program begin.
	Admit struct{ Ticket uint64 }

	// Refuse tells a program's caller to come back.
	Refuse struct {
		Ticket uint64
		After  time.Duration
	}

	// Gate keeps the programs that wait. The zero value is ready.
	Gate struct {
		waiting    []waiter  // in the order of their arrival
		nextExpiry time.Time // no wait ends before
		credit     float64   // programs that may begin here
		refilled   time.Time // to which credit was reckoned
	}

	waiter struct {
		ticket   uint64
		deadline time.Time
	}
)

func (Arrive) event() {}
func (Change) event() {}
func (Cancel) event() {}
func (Admit) op()     {}
func (Refuse) op()    {}

// Step takes an event and returns what is to be done.
func (g *Gate) Step(now time.Time, e Event) (ops []Op) {
	switch e := e.(type) {
	case Arrive:
		return g.arrive(now, e)
	case Change:
		return g.release(now, g.expire(now, nil), e.Load)
	case Cancel:
		if i := slices.IndexFunc(g.waiting, func(w waiter) bool { return w.ticket == e.Ticket }); i >= 0 {
			g.waiting = slices.Delete(g.waiting, i, i+1)
		}
	}
	return nil
}

// Len returns how many programs wait.
func (g *Gate) Len() int { return len(g.waiting) }

// arrive lets a late program begin or refuses it at once: it loses nothing by
// coming back later, and in the queue it would only stand in the way.
func (g *Gate) arrive(now time.Time, e Arrive) []Op {
	if !now.Before(e.Deadline) {
		if len(g.waiting) == 0 && e.Load.InFlight < int(lateFill*float64(e.Load.Capacity)) {
			return []Op{Admit{Ticket: e.Ticket}}
		}
		return []Op{Refuse{Ticket: e.Ticket, After: After}}
	}
	if len(g.waiting) == 0 || e.Deadline.Before(g.nextExpiry) {
		g.nextExpiry = e.Deadline
	}
	g.waiting = append(g.waiting, waiter{ticket: e.Ticket, deadline: e.Deadline})
	return g.release(now, g.expire(now, nil), e.Load)
}

// release lets programs begin while there is room, the newest first: it has most
// of its time left, while one that has waited long is late even if it begins now.
func (g *Gate) release(now time.Time, ops []Op, l Load) []Op {
	g.refill(now, l)
	for l.InFlight < l.Capacity && g.credit >= 1 && len(g.waiting) > 0 {
		last := len(g.waiting) - 1
		ops = append(ops, Admit{Ticket: g.waiting[last].ticket})
		g.waiting = g.waiting[:last]
		g.credit--
		l.InFlight++
	}
	return ops
}

// refill reckons how many programs may begin here: this daemon's part of the room,
// once in the time in which it hears of the others.
//
// All daemons see the same room, and none sees what the others have just begun. If
// each let one program begin whenever there is room for one, then with 54 daemons 54
// would begin.
func (g *Gate) refill(now time.Time, l Load) {
	avail := float64(max(l.Capacity-l.InFlight, 0))
	if l.Daemons > overcommit {
		avail *= overcommit / float64(l.Daemons)
	}
	elapsed := 1.0
	if l.Daemons > 1 && l.Staleness > 0 && !g.refilled.IsZero() {
		elapsed = min(float64(now.Sub(g.refilled))/float64(l.Staleness), 1)
	}
	g.credit = min(g.credit+avail*elapsed, max(avail, 1))
	g.refilled = now
}

// expire refuses the programs that can't be in time any more.
func (g *Gate) expire(now time.Time, ops []Op) []Op {
	if now.Before(g.nextExpiry) {
		return ops
	}
	g.nextExpiry = time.Time{}
	g.waiting = slices.DeleteFunc(g.waiting, func(w waiter) bool {
		if now.Before(w.deadline) {
			if g.nextExpiry.IsZero() || w.deadline.Before(g.nextExpiry) {
				g.nextExpiry = w.deadline
			}
			return false
		}
		ops = append(ops, Refuse{Ticket: w.ticket, After: After})
		return true
	})
	return ops
}
