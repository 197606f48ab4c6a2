// Package wait orders the requests that wait for their accounts' limits at one front.
//
// Requests of programs that have begun come first, the oldest program first: it has the least
// time left. Then come the requests that begin a program, the shortest program first, as far as
// its time from the start to the latest start tells, and the newest of equal ones. In a flood not
// all can be served: the shortest take the fewest requests, and the newest have the most time
// left. A program past its latest start begins only if none waits at any front.
//
// Queue is a state machine without clock, lock or timer. It takes tokens from package bucket.
package wait

import (
	"cmp"
	"time"

	"github.com/tidwall/btree"

	"github.com/slaterock/slaterock/internal/front/bucket"
)

const (
	// DefaultMax is the number of requests that wait at one front at most. They take 16 MB at
	// most; a front that serves 1,000 requests a second reaches it after several times the
	// 1.5 s that a turn waits.
	DefaultMax = 10000
	// treeDegree keeps the order of an account with few waiting requests small.
	treeDegree = 16
)

type (
	// Request is a request that may wait. Tickets are unique.
	Request struct {
		Ticket  uint64
		Account string
		Class   bucket.Class
		Until   time.Time // latest useful moment
		Start   time.Time // arrival of the program's first attempt; zero if not known
		// Length is the time that a new program is given, from Start to its deadline; 0 if not known.
		Length time.Duration

		size float64 // of the program; see bucket.Buckets.Size
	}

	// Outcome is the decision on a waiting request.
	Outcome struct {
		Ticket   uint64
		Decision bucket.Decision
	}

	// Queue holds the requests that wait at one front. Set Buckets before use.
	Queue struct {
		Buckets *bucket.Buckets
		// Max is the largest number of waiting requests; 0 is DefaultMax.
		Max int
		// Rank orders the new programs of an account, the lowest first; nil is shortest first.
		Rank func(Request) int64

		lines   map[string]*line
		lengths *btree.BTreeG[*line] // lines by length
		waiting map[uint64]*entry
		last    uint64 // sequence number of the last arrival
	}

	// line is the order of the requests that wait for one account.
	line struct {
		account string
		order   *btree.BTreeG[*entry]
		begun   int
	}

	entry struct {
		Request
		rank int64
		seq  uint64
	}
)

func before(a, b *entry) bool {
	newest := 0
	if a.Class == bucket.New {
		newest = b.Start.Compare(a.Start)
	}
	return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.rank, b.rank), newest, cmp.Compare(a.seq, b.seq)) < 0
}

func shorter(a, b *line) bool {
	return cmp.Or(cmp.Compare(a.order.Len(), b.order.Len()), cmp.Compare(a.account, b.account)) < 0
}

func newTree[T any](less func(a, b T) bool) *btree.BTreeG[T] {
	return btree.NewBTreeGOptions(less, btree.Options{NoLocks: true, Degree: treeDegree})
}

// Arrive decides on a request. If it waits, Step, Expire or Cancel end that. Evicted has the
// refusals of requests that had to leave for it.
func (q *Queue) Arrive(now time.Time, r *Request) (d bucket.Decision, waits bool, evicted []Outcome) {
	if r.size = 1; r.Class == bucket.New {
		r.size = q.Buckets.Size(r.Account, r.Length)
	}
	l := q.lines[r.Account]
	late := r.Class == bucket.New && !r.Until.After(now)
	first := (l == nil || q.precedes(now, *r, l)) && (!late || q.Buckets.Waiting(r.Account) == 0)
	if first && q.take(now, r) {
		return bucket.Decision{OK: true}, false, nil
	}
	if q.Buckets.Infeasible(now, r.Account, r.Until.Sub(now)) {
		return q.Buckets.Refuse(now, r.Account, r.Class), false, nil
	}
	d = q.Buckets.Deny(now, r.Account, r.Class)
	q.add(now, *r)
	if len(q.waiting) <= cmp.Or(q.Max, DefaultMax) {
		return d, true, nil
	}
	out := q.evict(now)
	if out.Ticket == r.Ticket {
		return out.Decision, false, nil
	}
	return d, true, []Outcome{out}
}

// precedes reports whether the request comes before all that wait in the line.
func (q *Queue) precedes(now time.Time, r Request, l *line) bool {
	first, _ := l.order.Min()
	return before(&entry{Request: r, rank: q.rank(now, r), seq: q.last + 1}, first)
}

// take takes the token of a request that comes first and reports whether there is one.
func (q *Queue) take(now time.Time, r *Request) bool {
	if !q.Buckets.Admit(now, r.Account, r.Class, r.size) {
		return false
	}
	if !r.Start.IsZero() {
		q.Buckets.Observe(r.Account, now.Sub(r.Start))
	}
	return true
}

// Step decides on the requests that wait for an account whose limit may have changed.
func (q *Queue) Step(now time.Time, account string) (out []Outcome) {
	l := q.lines[account]
	for l != nil && l.order.Len() > 0 {
		first, _ := l.order.Min()
		admitted := q.take(now, &first.Request)
		if !admitted && !q.Buckets.Infeasible(now, account, first.Until.Sub(now)) {
			break
		}
		q.remove(now, first)
		d := bucket.Decision{OK: true}
		if !admitted {
			d = q.Buckets.Refuse(now, account, first.Class)
		}
		out = append(out, Outcome{first.Ticket, d})
	}
	return out
}

// Next returns in what time the first request that waits for an account may be admitted.
func (q *Queue) Next(now time.Time, account string) (after time.Duration, waits bool) {
	l := q.lines[account]
	if l == nil {
		return 0, false
	}
	first, _ := l.order.Min()
	return q.Buckets.Next(now, account, first.Class), true
}

// Expire refuses a request that has waited for as long as it may.
func (q *Queue) Expire(now time.Time, ticket uint64) (d bucket.Decision, waited bool) {
	e, waited := q.waiting[ticket]
	if !waited {
		return d, false
	}
	q.remove(now, e)
	return q.Buckets.Refuse(now, e.Account, e.Class), true
}

// Cancel removes a request whose caller has disconnected, and reports whether it waited.
func (q *Queue) Cancel(now time.Time, ticket uint64) bool {
	e, waited := q.waiting[ticket]
	if waited {
		q.remove(now, e)
	}
	return waited
}

// Accounts returns the accounts for which requests wait.
func (q *Queue) Accounts() []string {
	out := make([]string, 0, len(q.lines))
	for name := range q.lines {
		out = append(out, name)
	}
	return out
}

// Waiting returns how many requests wait, by account, and how many of them are of programs that
// have begun.
func (q *Queue) Waiting() (all, begun map[string]int) {
	all, begun = make(map[string]int, len(q.lines)), map[string]int{}
	for name, l := range q.lines {
		all[name] = l.order.Len()
		if l.begun > 0 {
			begun[name] = l.begun
		}
	}
	return all, begun
}

// Len returns the number of requests that wait.
func (q *Queue) Len() int { return len(q.waiting) }

func (q *Queue) rank(now time.Time, r Request) int64 {
	start := r.Start
	if start.IsZero() {
		start = now
	}
	switch {
	case r.Class == bucket.Begun:
		return start.UnixNano()
	case q.Rank != nil:
		return q.Rank(r)
	case r.Length > 0:
		return int64(r.Length)
	default:
		return int64(r.Until.Sub(start))
	}
}

func (q *Queue) add(now time.Time, r Request) {
	if q.lines == nil {
		q.lines, q.waiting, q.lengths = map[string]*line{}, map[uint64]*entry{}, newTree(shorter)
	}
	l := q.lines[r.Account]
	if l == nil {
		l = &line{account: r.Account, order: newTree(before)}
		q.lines[r.Account] = l
	}
	q.last++
	e := &entry{r, q.rank(now, r), q.last}
	q.lengths.Delete(l)
	l.order.Set(e)
	q.lengths.Set(l)
	q.waiting[r.Ticket] = e
	q.count(now, l, r.Class, 1)
}

func (q *Queue) remove(now time.Time, e *entry) {
	l := q.lines[e.Account]
	q.lengths.Delete(l)
	l.order.Delete(e)
	delete(q.waiting, e.Ticket)
	q.count(now, l, e.Class, -1)
	if l.order.Len() == 0 {
		delete(q.lines, e.Account)
		return
	}
	q.lengths.Set(l)
}

// count passes the number of waiting requests to the limiter.
func (q *Queue) count(now time.Time, l *line, class bucket.Class, n int) {
	if class == bucket.Begun {
		l.begun += n
	}
	q.Buckets.SetWaiting(now, l.account, l.begun, l.order.Len()-l.begun)
}

// evict refuses the last request of the account that has the most waiting.
func (q *Queue) evict(now time.Time) Outcome {
	longest, _ := q.lengths.Max()
	last, _ := longest.order.Max()
	q.remove(now, last)
	return Outcome{last.Ticket, q.Buckets.Refuse(now, last.Account, last.Class)}
}
