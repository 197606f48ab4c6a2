// Package flood plays accounts whose programs ask for more than their limits, at many
// fronts on a virtual clock: what is let in, and what callers get. It answers whether
// package bucket keeps limits while fronts die, freeze and are cut apart.
package flood

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/slaterock/slaterock/internal/front/bucket"
)

const (
	reportEach = 100 * time.Millisecond // between reports of a front
	hubTime    = 70 * time.Millisecond  // until a report is in what another front is told
	lost       = 0.05                   // of reports and of answers
	// Length is how many requests a program has.
	Length = 10
	pause  = 120 * time.Millisecond // between two of them
	tries  = 3                      // of a request
)

// Tolerance is how far above a limit all fronts together may be.
var Tolerance = bucket.Tolerance{Window: 5 * time.Second, Over: 0.1, Slack: 20}

type (
	// World plays fronts that let programs of accounts in.
	World struct {
		Calls bool // all requests say that they belong to a program that has begun

		now    time.Time
		rng    *rand.Rand
		fronts []*front
		limits map[string]bucket.Limit
		queue  events
		sent   map[string][]time.Time // requests let in, by account
		told   map[string]*Score
		asks   map[string]float64       // programs a second, by account
		sums   map[int]bucket.PeerUsage // by side
		summed time.Time
	}

	front struct {
		bucket.Buckets
		up       bool
		side     int // fronts of another side are not heard
		reported []said
	}

	said struct {
		at   time.Time
		used map[string]int
	}

	// Score is what callers of an account got.
	Score struct {
		Programs int
		Whole    int // that ended with all their requests answered
		Refused  int // that were not begun
		Broken   int // that were begun and then refused
		Turned   int // requests that were refused and came back
	}

	event struct {
		at time.Time
		do func()
	}

	events []event
)

func (q events) Len() int           { return len(q) }
func (q events) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q events) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)        { *q = append(*q, x.(event)) } //nolint:forcetypeassert // heap.Push is given nothing else
func (q *events) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// New returns a world of fronts that have just started, and accounts that ask for nothing
// yet.
func New(seed uint64, fronts int, limits map[string]bucket.Limit) *World {
	w := &World{
		now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 7)), limits: limits,
		sent: map[string][]time.Time{}, told: map[string]*Score{}, asks: map[string]float64{},
	}
	for range fronts {
		w.fronts = append(w.fronts, nil)
	}
	for i := range fronts {
		w.start(i)
		w.after(w.jitter(reportEach), func() { w.report(i) })
	}
	for name := range limits {
		w.told[name] = &Score{}
	}
	for _, name := range w.names() {
		w.after(w.jitter(pause), func() { w.arrive(name) })
	}
	return w
}

func (w *World) names() (list []string) {
	for name := range w.limits {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// start begins a front's life: it knows nothing.
func (w *World) start(i int) {
	f := &front{up: true}
	f.Tolerance, f.Rand = Tolerance, w.rng.Float64
	f.Limit(w.now, w.limits)
	w.fronts[i] = f
}

func (w *World) after(d time.Duration, do func()) { heap.Push(&w.queue, event{w.now.Add(d), do}) }

func (w *World) jitter(d time.Duration) time.Duration {
	return time.Duration(w.rng.Float64() * float64(d))
}

// Run plays for a time.
func (w *World) Run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event) //nolint:forcetypeassert // as pushed
		w.now = e.at
		e.do()
	}
	w.now = end
}

// report has a front say what it let in and hear what the others said.
func (w *World) report(i int) {
	w.after(reportEach, func() { w.report(i) })
	f := w.fronts[i]
	if !f.up {
		return
	}
	if w.rng.Float64() >= lost {
		f.reported = append(f.reported, said{w.now, f.Used(w.now)})
	}
	if w.rng.Float64() >= lost {
		f.Update(w.now, w.heard(f))
	}
}

// heard is what the hubs tell a front: what those of its side have reported to them.
func (w *World) heard(f *front) bucket.PeerUsage {
	all := w.sum(f.side)
	h := bucket.PeerUsage{Used: map[string]int{}, Total: len(w.fronts), Fronts: all.Fronts}
	own := f.said(w.now)
	for name, n := range all.Used {
		h.Used[name] = max(n-own[name], 0)
	}
	return h
}

// sum adds up what the fronts of a side have reported, a few times a second.
func (w *World) sum(side int) bucket.PeerUsage {
	if w.now.Sub(w.summed) > hubTime/3 {
		w.sums, w.summed = map[int]bucket.PeerUsage{}, w.now
	}
	if h, done := w.sums[side]; done {
		return h
	}
	h := bucket.PeerUsage{Used: map[string]int{}}
	for _, f := range w.fronts {
		if !f.up || f.side != side {
			continue
		}
		h.Fronts++
		for name, n := range f.said(w.now) {
			h.Used[name] += n
		}
	}
	w.sums[side] = h
	return h
}

// said is the last report that has reached the hubs.
func (f *front) said(now time.Time) map[string]int {
	for i := len(f.reported) - 1; i >= 0; i-- {
		if now.Sub(f.reported[i].at) >= hubTime {
			f.reported = f.reported[i:]
			return f.reported[0].used
		}
	}
	return nil
}

// arrive begins a program of an account.
func (w *World) arrive(name string) {
	rate := w.asks[name]
	if rate <= 0 {
		w.after(pause, func() { w.arrive(name) })
		return
	}
	w.after(time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), func() { w.arrive(name) })
	w.told[name].Programs++
	w.ask(name, 0, 0)
}

// ask has a program send one of its requests to any front that is up.
func (w *World) ask(name string, number, try int) {
	s := w.told[name]
	f := w.fronts[w.rng.IntN(len(w.fronts))]
	if !f.up {
		w.after(20*time.Millisecond, func() { w.ask(name, number, try) })
		return
	}
	v := f.Take(w.now, name, w.Calls || number > 0)
	switch {
	case v.OK:
		w.sent[name] = append(w.sent[name], w.now)
		if number+1 == Length {
			s.Whole++
			return
		}
		w.after(pause/2+w.jitter(pause), func() { w.ask(name, number+1, 0) })
	case try+1 < tries:
		s.Turned++
		w.after(v.RetryAfter, func() { w.ask(name, number, try+1) })
	case number == 0:
		s.Refused++
	default:
		s.Broken++
	}
}

// Most is the largest number of requests of an account that were let in within a
// window, as a part of what the operator tolerates.
func (w *World) Most(name string) float64 {
	l := w.limits[name]
	bound := (l.Rate*Tolerance.Window.Seconds()+l.Burst)*(1+Tolerance.Over) + Tolerance.Slack
	sent, first, worst := w.sent[name], 0, 0
	for i, at := range sent {
		for at.Sub(sent[first]) > Tolerance.Window {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return float64(worst) / bound
}
