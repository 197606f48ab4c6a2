// Package flood simulates accounts whose programs exceed their rate limits, at many
// fronts on a virtual clock. It measures which requests are admitted and how many
// programs complete, to check that package bucket enforces limits while fronts crash,
// freeze and are partitioned.
package flood

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/slaterock/slaterock/internal/front/bucket"
)

const (
	reportInterval = 100 * time.Millisecond // between two reports of a front
	hubDelay       = 70 * time.Millisecond  // from a report until it is in the updates of other fronts
	lossRate       = 0.05                   // part of the reports and of the updates that are lost
	// RequestsPerProgram is the number of requests of a program.
	RequestsPerProgram = 10
	thinkTime          = 120 * time.Millisecond // mean time from a response to the next request of a program
	maxTries           = 3                      // tries per request
)

// Tolerance is the excess over a limit that is allowed for all fronts together.
var Tolerance = bucket.Tolerance{Window: 5 * time.Second, Over: 0.1, Slack: 20}

type (
	// Simulation simulates fronts that admit requests of programs of accounts.
	Simulation struct {
		AllStarted bool // all requests claim to belong to a program that has started

		now              time.Time
		rng              *rand.Rand
		fronts           []*front
		limits           map[string]bucket.Limit
		queue            events
		admitted         map[string][]time.Time // times of admitted requests, by account
		scores           map[string]*Score
		programRates     map[string]float64       // programs per second, by account
		partitionUsage   map[int]bucket.PeerUsage // by side
		partitionUsageAt time.Time
	}

	front struct {
		bucket.Buckets
		up        bool
		partition int // network partition; reports reach fronts of the same partition only
		reports   []usageReport
	}

	usageReport struct {
		at   time.Time
		used map[string]int
	}

	// Score counts the results of an account's programs.
	Score struct {
		Programs  int
		Completed int // programs whose requests were all admitted
		Refused   int // programs whose first request was refused
		Aborted   int // programs of which a later request was refused
		Retried   int // refused requests that were sent again
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
func (q *events) Push(x any)        { *q = append(*q, x.(event)) } //nolint:forcetypeassert // only events are pushed
func (q *events) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// New returns a simulation of fronts that have just started and of accounts with the given
// limits, which send no requests yet.
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
	for _, name := range w.accountNames() {
		w.after(w.jitter(thinkTime), func() { w.startProgram(name) })
	}
	return w
}

func (w *Simulation) accountNames() (list []string) {
	for name := range w.limits {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// start starts or restarts a front without state.
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

// Run advances the simulation by d.
func (w *Simulation) Run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event) //nolint:forcetypeassert // as pushed
		w.now = e.at
		e.do()
	}
	w.now = end
}

// report sends a front's report of its usage, and updates the front with the reports of the
// others. Either may be lost.
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

// peerUsage returns the update that the hubs send to a front: the sum of the last reports of
// the other fronts of its partition.
func (w *Simulation) peerUsage(f *front) bucket.PeerUsage {
	all := w.sumPartition(f.partition)
	h := bucket.PeerUsage{Used: map[string]int{}, Total: len(w.fronts), Fronts: all.Fronts}
	own := f.lastReport(w.now)
	for name, n := range all.Used {
		h.Used[name] = max(n-own[name], 0)
	}
	return h
}

// sumSide returns the sum of the last reports of the fronts of a partition. It is cached for
// a third of hubDelay.
func (w *Simulation) sumPartition(partition int) bucket.PeerUsage {
	if w.now.Sub(w.partitionUsageAt) > hubDelay/3 {
		w.partitionUsage, w.partitionUsageAt = map[int]bucket.PeerUsage{}, w.now
	}
	if h, done := w.partitionUsage[partition]; done {
		return h
	}
	h := bucket.PeerUsage{Used: map[string]int{}}
	for _, f := range w.fronts {
		if !f.up || f.partition != partition {
			continue
		}
		h.Fronts++
		for name, n := range f.lastReport(w.now) {
			h.Used[name] += n
		}
	}
	w.partitionUsage[partition] = h
	return h
}

// lastReport returns the last report that has reached the hubs and drops older ones.
func (f *front) lastReport(now time.Time) map[string]int {
	for i := len(f.reports) - 1; i >= 0; i-- {
		if now.Sub(f.reports[i].at) >= hubDelay {
			f.reports = f.reports[i:]
			return f.reports[0].used
		}
	}
	return nil
}

// startProgram starts a program of an account and schedules the next.
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

// sendRequest sends a request of a program to a random front. If that is down, another is
// tried 20 ms later.
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

// PeakRatio returns the largest number of requests of an account that were admitted within
// any window of Tolerance, as a ratio to the number that the limit and Tolerance allow.
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
