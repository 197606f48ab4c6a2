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
	reportInterval = 100 * time.Millisecond // between reports of a front
	hubDelay       = 70 * time.Millisecond  // until a report is in what another front is told
	lossRate       = 0.05                   // of reports and of answers
	// Length is how many requests a program has.
	RequestsPerProgram = 10
	thinkTime          = 120 * time.Millisecond // between two of them
	maxTries           = 3                      // of a request
)

// Tolerance is how far above a limit all fronts together may be.
var Tolerance = bucket.Tolerance{Window: 5 * time.Second, Over: 0.1, Slack: 20}

type (
	// World plays fronts that let programs of accounts in.
	Simulation struct {
		AllStarted bool // all requests say that they belong to a program that has begun

		now          time.Time
		rng          *rand.Rand
		fronts       []*front
		limits       map[string]bucket.Limit
		queue        events
		admitted     map[string][]time.Time // requests let in, by account
		scores       map[string]*Score
		programRates map[string]float64       // programs a second, by account
		sideUsage    map[int]bucket.PeerUsage // by side
		sideUsageAt  time.Time
	}

	front struct {
		bucket.Buckets
		up      bool
		side    int // fronts of another side are not heard
		reports []usageReport
	}

	usageReport struct {
		at   time.Time
		used map[string]int
	}

	// Score is what callers of an account got.
	Score struct {
		Programs  int
		Completed int // that ended with all their requests answered
		Refused   int // that were not begun
		Aborted   int // that were begun and then refused
		Retried   int // requests that were refused and came back
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
func New(seed uint64, fronts int, limits map[string]bucket.Limit) *Simulation {
	w := &Simulation{
		now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 7)), limits: limits,
		admitted: map[string][]time.Time{}, scores: map[string]*Score{}, programRates: map[string]float64{},
	}
	for range fronts {
		w.fronts = append(w.fronts, nil)
	}
	for i := range fronts {
		w.start(i)
		w.after(w.jitter(reportInterval), func() { w.report(i) })
	}
	for name := range limits {
		w.scores[name] = &Score{}
	}
	for _, name := range w.names() {
		w.after(w.jitter(thinkTime), func() { w.startProgram(name) })
	}
	return w
}

func (w *Simulation) names() (list []string) {
	for name := range w.limits {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// start begins a front's life: it knows nothing.
func (w *Simulation) start(i int) {
	f := &front{up: true}
	f.Tolerance, f.Rand = Tolerance, w.rng.Float64
	f.Limit(w.now, w.limits)
	w.fronts[i] = f
}

func (w *Simulation) after(d time.Duration, do func()) { heap.Push(&w.queue, event{w.now.Add(d), do}) }

func (w *Simulation) jitter(d time.Duration) time.Duration {
	return time.Duration(w.rng.Float64() * float64(d))
}

// Run plays for a time.
func (w *Simulation) Run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event) //nolint:forcetypeassert // as pushed
		w.now = e.at
		e.do()
	}
	w.now = end
}

// report has a front say what it let in and hear what the others said.
func (w *Simulation) report(i int) {
	w.after(reportInterval, func() { w.report(i) })
	f := w.fronts[i]
	if !f.up {
		return
	}
	if w.rng.Float64() >= lossRate {
		f.reports = append(f.reports, usageReport{w.now, f.Used(w.now)})
	}
	if w.rng.Float64() >= lossRate {
		f.Update(w.now, w.peerUsage(f))
	}
}

// heard is what the hubs tell a front: what those of its side have reported to them.
func (w *Simulation) peerUsage(f *front) bucket.PeerUsage {
	all := w.sumSide(f.side)
	h := bucket.PeerUsage{Used: map[string]int{}, Total: len(w.fronts), Fronts: all.Fronts}
	own := f.lastReport(w.now)
	for name, n := range all.Used {
		h.Used[name] = max(n-own[name], 0)
	}
	return h
}

// sum adds up what the fronts of a side have reported, a few times a second.
func (w *Simulation) sumSide(side int) bucket.PeerUsage {
	if w.now.Sub(w.sideUsageAt) > hubDelay/3 {
		w.sideUsage, w.sideUsageAt = map[int]bucket.PeerUsage{}, w.now
	}
	if h, done := w.sideUsage[side]; done {
		return h
	}
	h := bucket.PeerUsage{Used: map[string]int{}}
	for _, f := range w.fronts {
		if !f.up || f.side != side {
			continue
		}
		h.Fronts++
		for name, n := range f.lastReport(w.now) {
			h.Used[name] += n
		}
	}
	w.sideUsage[side] = h
	return h
}

// said is the last report that has reached the hubs.
func (f *front) lastReport(now time.Time) map[string]int {
	for i := len(f.reports) - 1; i >= 0; i-- {
		if now.Sub(f.reports[i].at) >= hubDelay {
			f.reports = f.reports[i:]
			return f.reports[0].used
		}
	}
	return nil
}

// arrive begins a program of an account.
func (w *Simulation) startProgram(name string) {
	rate := w.programRates[name]
	if rate <= 0 {
		w.after(thinkTime, func() { w.startProgram(name) })
		return
	}
	w.after(time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), func() { w.startProgram(name) })
	w.scores[name].Programs++
	w.sendRequest(name, 0, 0)
}

// ask has a program send one of its requests to any front that is up.
func (w *Simulation) sendRequest(name string, number, try int) {
	s := w.scores[name]
	f := w.fronts[w.rng.IntN(len(w.fronts))]
	if !f.up {
		w.after(20*time.Millisecond, func() { w.sendRequest(name, number, try) })
		return
	}
	v := f.Take(w.now, name, w.AllStarted || number > 0)
	switch {
	case v.OK:
		w.admitted[name] = append(w.admitted[name], w.now)
		if number+1 == RequestsPerProgram {
			s.Completed++
			return
		}
		w.after(thinkTime/2+w.jitter(thinkTime), func() { w.sendRequest(name, number+1, 0) })
	case try+1 < maxTries:
		s.Retried++
		w.after(v.RetryAfter, func() { w.sendRequest(name, number, try+1) })
	case number == 0:
		s.Refused++
	default:
		s.Aborted++
	}
}

// Most is the largest number of requests of an account that were let in within a
// window, as a part of what the operator tolerates.
func (w *Simulation) PeakRatio(name string) float64 {
	l := w.limits[name]
	bound := (l.Rate*Tolerance.Window.Seconds()+l.Burst)*(1+Tolerance.Over) + Tolerance.Slack
	admitted, first, worst := w.admitted[name], 0, 0
	for i, at := range admitted {
		for at.Sub(admitted[first]) > Tolerance.Window {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return float64(worst) / bound
}
