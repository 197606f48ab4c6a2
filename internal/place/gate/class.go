package gate

import (
	"math"
	"slices"
	"time"

	"github.com/slaterock/slaterock/internal/place/fair"
)

const (
	// classTTL is how long after the last arrival of a program of a priority other
	// priorities are still treated as unlike it: programs run for a few seconds.
	classTTL = 5 * time.Second
	// headroom is the part of the capacity that, while programs wait, is kept for the more
	// urgent ones and for accounts that ask for less: in standard deviations of a Poisson
	// number of turns. These then begin at once at whatever daemon they arrive, while what
	// is known of the others is 0.1 to 0.3 s old. With 2 an account at 7.5 times its usual
	// demand made the others' programs 1.16 times as slow (95th percentile, 20 daemons),
	// with 3 1.09 times.
	headroom = 3.0
	// minorShare is how many programs of less urgent priorities begin in a second for each
	// turn of capacity although more urgent ones wait. Programs have 3 to 9 turns of a third
	// of a second, so about half a program for each turn of capacity begins in a second:
	// the share is one in twenty-five.
	minorShare = 0.02
	// minMinorRate is the least number of them in a second, so that each priority gets its
	// part within a few seconds with few engines too.
	minMinorRate = 1.0 / 3
	// maxDueTime is the longest time for which that is added at once. While programs wait,
	// the load changes several times a second.
	maxDueTime = 500 * time.Millisecond
)

type (
	// classes are the priorities of recent programs. There are few.
	classes []class

	class struct {
		priority int
		seen     time.Time // when a program last arrived here
		due      float64   // programs that may begin although more urgent ones wait
		dueAt    time.Time // when due was last updated
	}
)

// see records the arrival of a program. It drops the priorities that were last seen long
// ago when a new one appears. What is due to the new one begins at a random value: hundreds of daemons
// that all begin at 0 would admit none for many seconds.
func (c *classes) see(now time.Time, priority int, ticket uint64) {
	for i := range *c {
		if (*c)[i].priority == priority {
			(*c)[i].seen = now
			return
		}
	}
	*c = slices.DeleteFunc(*c, func(o class) bool { return now.Sub(o.seen) > classTTL })
	*c = append(*c, class{priority: priority, seen: now, due: chance(now, ticket), dueAt: now})
}

// served records that a program of a priority began in its turn: nothing is due to that
// priority yet.
func (c classes) served(now time.Time, priority int) {
	for i := range c {
		if c[i].priority == priority {
			c[i].due = min(c[i].due, chance(now, uint64(i)))
		}
	}
}

// above reports whether programs of a more urgent priority arrived recently.
func (c classes) above(now time.Time, priority int) bool {
	for _, o := range c {
		if o.priority < priority && now.Sub(o.seen) <= classTTL {
			return true
		}
	}
	return false
}

// several reports whether programs of several priorities arrived recently.
func (c classes) several(now time.Time) bool {
	n := 0
	for _, o := range c {
		if now.Sub(o.seen) <= classTTL {
			n++
		}
	}
	return n > 1
}

// refill adds to what is due to the waiting programs that are not the most urgent ones: this
// daemon's part, by the number that waits here.
func (c classes) refill(now time.Time, l Load, waiting *fair.Queue) {
	if len(c) < 2 && l.Queued == nil {
		return
	}
	rate := max(minorShare*float64(l.Capacity), minMinorRate)
	for i := range c {
		o := &c[i]
		elapsed := min(now.Sub(o.dueAt), maxDueTime)
		o.dueAt = now
		n := waiting.LenAt(o.priority)
		urgent, waits := waiting.Urgent()
		if n == 0 || !waits || urgent >= o.priority && !l.outranked(o.priority) {
			continue
		}
		o.due = min(o.due+rate*elapsed.Seconds()*float64(n)/float64(n+l.Queued[o.priority]), 1)
	}
}

// outranked reports whether a more urgent program waits at another daemon.
func (l Load) outranked(priority int) bool {
	for p, n := range l.Queued {
		if n > 0 && p < priority {
			return true
		}
	}
	return false
}

// over reports whether an account of this weight asks for more than its share of the engines.
func (g *Gate) over(l Load, account string, weight float64) bool {
	return l.Running != nil && g.shares.Over(account, weight)
}

// leftOver reports whether a late program may use capacity that is free: no program that
// comes before it waits. Less urgent ones, and those of accounts with more than their share,
// come after the late ones of others.
func (g *Gate) leftOver(e Arrive) bool {
	if e.Load.outranked(e.Priority) {
		return false
	}
	if g.over(e.Load, e.Account, e.Weight) {
		return g.Len() == 0 && e.Load.Queued == nil
	}
	if g.Len() == 0 {
		return true
	}
	urgent, _ := g.waiting.Urgent()
	account, weight := g.waiting.First(urgent)
	return urgent > e.Priority || urgent == e.Priority && g.over(e.Load, account, weight)
}

// mixed reports whether priorities other than the given one compete for the engines.
func (g *Gate) mixed(now time.Time, l Load, priority int) bool {
	for p, n := range l.Queued {
		if n > 0 && p != priority {
			return true
		}
	}
	for _, c := range g.classes {
		if c.priority != priority && now.Sub(c.seen) <= classTTL {
			return true
		}
	}
	return false
}

// part returns this daemon's part of the programs that wait at all daemons with the most
// urgent priority, by which it shares the free capacity if it exceeds its equal part. With
// one priority it is 0.
func (g *Gate) part(now time.Time, l Load) float64 {
	if l.Queued == nil {
		return 0
	}
	urgent, waits := g.waiting.Urgent()
	if !waits || l.outranked(urgent) || !g.mixed(now, l, urgent) {
		return 0
	}
	own := float64(g.waiting.LenAt(urgent))
	return own / (own + float64(l.Queued[urgent]))
}

// refillSpare adds to the credit of the programs that leave room for others: this daemon's part
// of the programs that wait, in the capacity that is free for them. Such programs wait at
// most daemons, so that more than its part would exceed that capacity.
func (g *Gate) refillSpare(l Load, elapsed float64) {
	if g.Len() == 0 && l.Queued == nil {
		return
	}
	own, all := float64(g.Len()), float64(g.Len())
	for _, n := range l.Queued {
		all += float64(n)
	}
	avail := float64(max(l.restricted()-l.InFlight, 0)) * max(own, 1) / max(all, 1)
	g.spare = min(g.spare+avail*elapsed, max(avail, 1))
}

// restricted returns the number of turns in flight below which programs may begin that leave
// room for others.
func (l Load) restricted() int {
	return l.Capacity - int(math.Ceil(headroom*math.Sqrt(float64(l.Capacity))))
}

// next returns the priority of the waiting program that begins next, if one may.
func (g *Gate) next(now time.Time, l Load) (priority int, ok bool) {
	urgent, _ := g.waiting.Urgent()
	for i := range g.classes {
		c := &g.classes[i]
		if c.due >= 1 && g.waiting.LenAt(c.priority) > 0 && (c.priority > urgent || l.outranked(c.priority)) && g.take(now, &g.credit, l.InFlight < l.Capacity) {
			c.due--
			return c.priority, true
		}
	}
	account, weight := g.waiting.First(urgent)
	return urgent, g.mayBegin(now, l, urgent, account, weight)
}

// mayBegin reports whether a program may begin, and takes it from the credit.
func (g *Gate) mayBegin(now time.Time, l Load, priority int, account string, weight float64) bool {
	if l.outranked(priority) {
		return false
	}
	credit, limit := &g.credit, l.Capacity
	contended := g.Len() > 0 || l.Queued != nil
	if contended && (g.over(l, account, weight) || g.classes.above(now, priority)) {
		credit, limit = &g.spare, l.restricted()
	}
	if !g.take(now, credit, l.InFlight < limit) {
		return false
	}
	g.classes.served(now, priority)
	return true
}

// take takes a program from a credit if there is room and reports whether it did.
func (g *Gate) take(now time.Time, credit *float64, room bool) bool {
	if !room || *credit < 1 {
		return false
	}
	*credit--
	g.begun.add(now)
	return true
}
