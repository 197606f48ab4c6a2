// Package fair is the order in which waiting programs begin: by priority, and within one
// priority by weighted max-min fair shares of accounts.
//
// The account with the fewest turns in flight for its weight comes first, so one that asks
// for more than its share gets only what the others leave. Within one account the newest
// program comes first: it has the most time left, while one that has waited long is likely
// to finish late even if it starts now.
//
// It is a plain data structure without clock or lock.
package fair

import (
	"cmp"
	"slices"
	"time"
)

type (
	// Program is a waiting program.
	Program struct {
		Ticket      uint64
		LatestStart time.Time
		Priority    int    // 0 is the most urgent
		Account     string // empty for none
		Weight      float64
	}

	// Queue holds the waiting programs. The zero value is empty.
	Queue struct {
		levels []*level // by priority, none is empty
		len    int
		last   uint64 // sequence number of the last program
	}

	// level holds the programs of one priority.
	level struct {
		priority int
		lines    []*line // none is empty
		accounts map[string]*line
		len      int
	}

	// line holds the programs of one account and priority.
	line struct {
		account string
		weight  float64
		share   float64 // turns in flight for each unit of weight
		index   int     // in the level's lines
		waiting []waiter
	}

	waiter struct {
		ticket      uint64
		latestStart time.Time
		sequence    uint64 // order of arrival
	}
)

// Len returns the number of waiting programs.
func (q *Queue) Len() int { return q.len }

// LenAt returns the number of waiting programs of one priority.
func (q *Queue) LenAt(priority int) int {
	if l := q.level(priority); l != nil {
		return l.len
	}
	return 0
}

// Urgent returns the most urgent priority of a waiting program, and false if none waits.
func (q *Queue) Urgent() (priority int, ok bool) {
	if len(q.levels) == 0 {
		return 0, false
	}
	return q.levels[0].priority, true
}

// Each calls f with each priority of which programs wait and their number, the most urgent
// first.
func (q *Queue) Each(f func(priority, n int)) {
	for _, l := range q.levels {
		f(l.priority, l.len)
	}
}

// Add adds a program. Running is as in Update.
func (q *Queue) Add(p Program, running map[string]int) {
	i, found := slices.BinarySearchFunc(q.levels, p.Priority, func(l *level, priority int) int { return cmp.Compare(l.priority, priority) })
	if !found {
		q.levels = slices.Insert(q.levels, i, &level{priority: p.Priority, accounts: map[string]*line{}})
	}
	l := q.levels[i]
	n := l.accounts[p.Account]
	if n == nil {
		n = &line{account: p.Account, index: len(l.lines)}
		l.lines, l.accounts[p.Account] = append(l.lines, n), n
	}
	n.weight = weight(p.Weight)
	n.share = Share(running[p.Account], p.Weight)
	q.last++
	n.waiting = append(n.waiting, waiter{ticket: p.Ticket, latestStart: p.LatestStart, sequence: q.last})
	l.len++
	q.len++
}

// Update sets the turns in flight by account.
func (q *Queue) Update(running map[string]int) {
	for _, l := range q.levels {
		for _, n := range l.lines {
			n.share = float64(running[n.account]) / n.weight
		}
	}
}

// First returns the account whose program of the priority, of which there must be one, comes
// first, and its weight. Of accounts with equal shares the one with the newest program does.
func (q *Queue) First(priority int) (account string, weight float64) {
	n := q.level(priority).first()
	return n.account, n.weight
}

// Pop removes the program of the priority that comes first, of which there must be one, and
// counts it as one turn more of its account. It returns its ticket.
func (q *Queue) Pop(priority int) (ticket uint64) {
	l := q.level(priority)
	n := l.first()
	last := len(n.waiting) - 1
	ticket = n.waiting[last].ticket
	n.waiting = n.waiting[:last]
	n.share += 1 / n.weight
	q.removed(l, n, 1)
	return ticket
}

// Remove removes a program and reports whether it waited.
func (q *Queue) Remove(ticket uint64) bool {
	for _, l := range q.levels {
		for _, n := range l.lines {
			for i := range n.waiting {
				if n.waiting[i].ticket == ticket {
					n.waiting = slices.Delete(n.waiting, i, i+1)
					q.removed(l, n, 1)
					return true
				}
			}
		}
	}
	return false
}

// Expire removes the programs whose latest start is not after now and calls f with each. It
// returns the earliest latest start of the others, zero if none waits.
func (q *Queue) Expire(now time.Time, f func(ticket uint64)) (next time.Time) {
	for i := len(q.levels) - 1; i >= 0; i-- {
		l := q.levels[i]
		for k := len(l.lines) - 1; k >= 0; k-- {
			n := l.lines[k]
			before := len(n.waiting)
			n.waiting = slices.DeleteFunc(n.waiting, func(w waiter) bool {
				if !now.Before(w.latestStart) {
					f(w.ticket)
					return true
				}
				if next.IsZero() || w.latestStart.Before(next) {
					next = w.latestStart
				}
				return false
			})
			q.removed(l, n, before-len(n.waiting))
		}
	}
	return next
}

// Ahead returns how many waiting programs come before a new one of the priority whose account
// has this share: the more urgent ones, and those of accounts with a smaller share.
func (q *Queue) Ahead(priority int, share float64) (n int) {
	for _, l := range q.levels {
		switch {
		case l.priority < priority:
			n += l.len
		case l.priority == priority:
			for _, o := range l.lines {
				if o.share < share {
					n += len(o.waiting)
				}
			}
		}
	}
	return n
}

// Share returns the turns in flight of an account for each unit of its weight.
func Share(running int, w float64) float64 { return float64(running) / weight(w) }

// weight replaces the weight of an account that has none.
func weight(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}

// level returns the programs of a priority, or nil if none waits. There are few levels.
func (q *Queue) level(priority int) *level {
	for _, l := range q.levels {
		if l.priority == priority {
			return l
		}
	}
	return nil
}

// first returns the line whose newest program comes first.
func (l *level) first() *line {
	best := l.lines[0]
	for _, n := range l.lines[1:] {
		if n.share < best.share || n.share == best.share && n.newest() > best.newest() {
			best = n
		}
	}
	return best
}

func (n *line) newest() uint64 { return n.waiting[len(n.waiting)-1].sequence }

// removed counts programs that were removed from a line, and drops the line and its level if
// they are empty.
func (q *Queue) removed(l *level, n *line, count int) {
	l.len -= count
	q.len -= count
	if len(n.waiting) > 0 {
		return
	}
	last := l.lines[len(l.lines)-1]
	l.lines[n.index], last.index = last, n.index
	l.lines = l.lines[:len(l.lines)-1]
	delete(l.accounts, n.account)
	if l.len == 0 {
		q.levels = slices.DeleteFunc(q.levels, func(o *level) bool { return o == l })
	}
}
