// Package gate is the admission control for new programs while engines are busy: it
// queues, admits or refuses them.
//
// The more turns an engine runs, the longer each stream event takes. A program's
// deadline is a multiple of the time that it needs on idle engines, so beyond some
// number of concurrent turns all programs miss theirs, and beyond the batch size
// further turns only queue in the engine. The gate keeps the turns in flight near
// that number: a new program waits while it can still meet its deadline and is
// refused afterwards. Programs that were admitted then finish in time, and a refused
// program has not run anything. Load within the capacity is not affected.
//
// Programs of unlike priorities and of several accounts begin in the order of package
// fair, and a program that certainly waits too long is refused at once. With one priority
// and no accounts none of this applies.
//
// It is a state machine without clock, lock or network: Step takes an event and
// returns operations.
package gate

import (
	"time"

	"github.com/slaterock/slaterock/internal/place/fair"
)

const (
	// lateFill is the share of the capacity below which a program that has already
	// missed its latest start is still admitted; it only uses capacity that is left over.
	lateFill = 0.85
	// overcommit is the multiple of its equal share of the free capacity that a daemon
	// may use: not every daemon has programs waiting, so equal shares would leave capacity free.
	overcommit = 3
	// After is the longest time after which the caller of a refused program may retry, and
	// the one without a forecast. It should be long, as bursts last for seconds. But a
	// caller retries only once per refusal and waits for that at most a third of its timeout
	// for a turn, which is four seconds or more: with 1.3 s every caller can comply.
	After = 1300 * time.Millisecond
)

type (
	// Load is the load and the capacity of a service's engines.
	Load struct {
		InFlight int // turns in flight, sent by all daemons
		Capacity int // concurrent turns up to which programs meet their deadlines
		Daemons  int // daemons that share the capacity, including this one
		// Staleness is the interval between two updates from another daemon, hence the
		// greatest age of its share of InFlight.
		Staleness time.Duration
		// Queued is the number of programs that wait at other daemons, by priority; nil if
		// none does.
		Queued map[int]int
		// Running is the number of turns in flight by account, sent by all daemons; nil if
		// there are no accounts or no program waits. Weights has those of these accounts
		// that have another weight than 1.
		Running map[string]int
		Weights map[string]float64
	}

	// Event is an input of Step.
	Event interface{ event() }

	// Arrive requests the admission of a program. LatestStart is the latest start with
	// which the program can meet its deadline; it may have passed. Priority 0 is the most
	// urgent. Account is empty if the caller has none; a weight of 0 is 1.
	Arrive struct {
		Ticket      uint64
		LatestStart time.Time
		Priority    int
		Account     string
		Weight      float64
		Load        Load
	}

	// Change reports a new load, after turns have ended or another daemon's update.
	Change struct{ Load Load }

	// Expire refuses the programs whose latest start has passed. The load has not changed.
	Expire struct{}

	// Cancel removes a waiting program whose caller has disconnected.
	Cancel struct{ Ticket uint64 }

	// Op is an output of Step: the decision on one program.
	Op interface{ op() }

	// Admit starts a program.
	Admit struct{ Ticket uint64 }

	// Refuse rejects a program; its caller may retry after After.
	Refuse struct {
		Ticket uint64
		After  time.Duration
	}

	// Gate holds the waiting programs of one service. The zero value is ready.
	Gate struct {
		waiting    fair.Queue
		nextExpiry time.Time // no latest start is earlier
		credit     float64   // programs that this daemon may admit
		spare      float64   // the same for those that leave room for others
		shares     fair.Shares
		refilled   time.Time // when credit was last updated
		classes    classes   // the priorities of recent programs
		accountAt  time.Time // when a program of an account last arrived
		begun      meter     // programs admitted
	}
)

func (Arrive) event() {}
func (Change) event() {}
func (Expire) event() {}
func (Cancel) event() {}
func (Admit) op()     {}
func (Refuse) op()    {}

// Step applies an event and returns the resulting decisions.
func (g *Gate) Step(now time.Time, e Event) (ops []Op) {
	switch e := e.(type) {
	case Arrive:
		return g.arrive(now, e)
	case Change:
		return g.release(now, g.expire(now, nil), e.Load)
	case Expire:
		return g.expire(now, nil)
	case Cancel:
		g.waiting.Remove(e.Ticket)
	}
	return nil
}

// Len returns the number of waiting programs.
func (g *Gate) Len() int { return g.waiting.Len() }

// Queued calls f with each priority of which programs wait and their number.
func (g *Gate) Queued(f func(priority, n int)) { g.waiting.Each(f) }

// arrive queues a program. One whose latest start has passed is admitted or refused at
// once: retrying later costs it nothing more, and in the queue it would only delay
// others.
func (g *Gate) arrive(now time.Time, e Arrive) []Op {
	g.classes.see(now, e.Priority, e.Ticket)
	if e.Account != "" {
		g.accountAt = now
		g.shares.Ask(now, e.Account, e.Weight)
	}
	if !now.Before(e.LatestStart) {
		return g.arriveLate(now, e)
	}
	ops := g.expire(now, nil)
	g.refill(now, e.Load)
	if g.Len() == 0 && g.mayBegin(now, e.Load, e.Priority, e.Account, e.Weight) {
		return append(ops, Admit{Ticket: e.Ticket})
	}
	if g.Len() == 0 || e.LatestStart.Before(g.nextExpiry) {
		g.nextExpiry = e.LatestStart
	}
	g.waiting.Add(fair.Program{
		Ticket: e.Ticket, LatestStart: e.LatestStart, Priority: e.Priority, Account: e.Account, Weight: e.Weight,
	}, e.Load.Running)
	ops = g.admit(now, ops, e.Load)
	if g.infeasible(now, e) && g.waiting.Remove(e.Ticket) {
		ops = append(ops, Refuse{Ticket: e.Ticket, After: g.retryAfter(now, e.Ticket, g.Ahead(e))})
	}
	return ops
}

// arriveLate decides on a program whose latest start has passed.
func (g *Gate) arriveLate(now time.Time, e Arrive) []Op {
	if e.Load.InFlight < int(lateFill*float64(e.Load.Capacity)) && g.leftOver(e) {
		g.begun.add(now)
		return []Op{Admit{Ticket: e.Ticket}}
	}
	return []Op{Refuse{Ticket: e.Ticket, After: g.retryAfter(now, e.Ticket, g.Len())}}
}

// release admits waiting programs after a change of the load.
func (g *Gate) release(now time.Time, ops []Op, l Load) []Op {
	g.refill(now, l)
	return g.admit(now, ops, l)
}

// admit admits waiting programs while there is capacity, in the order of package fair.
func (g *Gate) admit(now time.Time, ops []Op, l Load) []Op {
	if l.InFlight >= l.Capacity || g.Len() == 0 {
		return ops
	}
	g.waiting.Update(l.Running)
	for g.Len() > 0 {
		priority, ok := g.next(now, l)
		if !ok {
			return ops
		}
		ops = append(ops, Admit{Ticket: g.waiting.Pop(priority)})
		l.InFlight++
	}
	return ops
}

// refill adds to the credit in proportion to the time since the last call: this daemon's
// share of the free capacity in each Staleness interval.
//
// All daemons see the same free capacity, and none sees what the others have just
// admitted. If each admitted one program whenever there is capacity for one, 54 daemons
// would admit 54.
func (g *Gate) refill(now time.Time, l Load) {
	avail := float64(max(l.Capacity-l.InFlight, 0))
	if l.Daemons > overcommit {
		avail *= max(overcommit/float64(l.Daemons), g.part(now, l))
	}
	elapsed := 1.0
	if l.Daemons > 1 && l.Staleness > 0 && !g.refilled.IsZero() {
		elapsed = min(float64(now.Sub(g.refilled))/float64(l.Staleness), 1)
	}
	g.credit = min(g.credit+avail*elapsed, max(avail, 1))
	g.refillSpare(l, elapsed)
	for priority, n := range l.Queued {
		if n > 0 {
			g.classes.see(now, priority, uint64(n))
		}
	}
	if l.Running != nil {
		g.shares.Observe(now, l.Running, l.Weights)
	}
	g.refilled = now
	g.classes.refill(now, l, &g.waiting)
}

// expire refuses the programs whose latest start has passed.
func (g *Gate) expire(now time.Time, ops []Op) []Op {
	if now.Before(g.nextExpiry) {
		return ops
	}
	n := g.Len()
	g.nextExpiry = g.waiting.Expire(now, func(ticket uint64) {
		ops = append(ops, Refuse{Ticket: ticket, After: g.retryAfter(now, ticket, n)})
	})
	return ops
}
