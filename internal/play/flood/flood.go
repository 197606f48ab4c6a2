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
	hubDelay       = 70 * time.Millisecond  // from a report until the updates of other fronts include it
	lossRate       = 0.05                   // fraction of the reports and of the updates that are lost
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
		partitionUsage   map[int]bucket.PeerUsage // cache of sumPartition, by partition
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
		Refused   int // programs whose first request was refused maxTries times
		Aborted   int // programs that were admitted, but had a later request refused maxTries times
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
	sim := &Simulation{
		now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 7)), limits: limits,
		admitted: map[string][]time.Time{}, scores: map[string]*Score{}, programRates: map[string]float64{},
	}
	for range fronts {
		sim.fronts = append(sim.fronts, nil)
	}
	for i := range fronts {
		sim.start(i)
		sim.after(sim.jitter(reportInterval), func() { sim.report(i) })
	}
	for account := range limits {
		sim.scores[account] = &Score{}
	}
	for _, account := range sim.accountNames() {
		sim.after(sim.jitter(thinkTime), func() { sim.startProgram(account) })
	}
	return sim
}

func (sim *Simulation) accountNames() (list []string) {
	for account := range sim.limits {
		list = append(list, account)
	}
	slices.Sort(list)
	return list
}

// start starts a front, or restarts it with its state lost.
func (sim *Simulation) start(i int) {
	f := &front{up: true}
	f.Tolerance, f.Rand = Tolerance, sim.rng.Float64
	f.Limit(sim.now, sim.limits)
	sim.fronts[i] = f
}

func (sim *Simulation) after(d time.Duration, do func()) {
	heap.Push(&sim.queue, event{sim.now.Add(d), do})
}

func (sim *Simulation) jitter(d time.Duration) time.Duration {
	return time.Duration(sim.rng.Float64() * float64(d))
}

// Run advances the simulation by d.
func (sim *Simulation) Run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.queue) > 0 && !sim.queue[0].at.After(end) {
		e := heap.Pop(&sim.queue).(event) //nolint:forcetypeassert // as pushed
		sim.now = e.at
		e.do()
	}
	sim.now = end
}

// report sends a front's report of its usage, and updates the front with the reports of the
// others. Either may be lost.
func (sim *Simulation) report(i int) {
	sim.after(reportInterval, func() { sim.report(i) })
	f := sim.fronts[i]
	if !f.up {
		return
	}
	if sim.rng.Float64() >= lossRate {
		f.reports = append(f.reports, usageReport{sim.now, f.Used(sim.now)})
	}
	if sim.rng.Float64() >= lossRate {
		f.Update(sim.now, sim.peerUsage(f))
	}
}

// peerUsage returns the update that the hubs send to a front: the sum of the last reports of
// the other fronts of its partition.
func (sim *Simulation) peerUsage(f *front) bucket.PeerUsage {
	all := sim.sumPartition(f.partition)
	u := bucket.PeerUsage{Used: map[string]int{}, Total: len(sim.fronts), Fronts: all.Fronts}
	own := f.lastReport(sim.now)
	for account, n := range all.Used {
		u.Used[account] = max(n-own[account], 0)
	}
	return u
}

// sumPartition returns the sum of the last reports of the fronts of a partition that are up.
// It is cached for a third of hubDelay.
func (sim *Simulation) sumPartition(partition int) bucket.PeerUsage {
	if sim.now.Sub(sim.partitionUsageAt) > hubDelay/3 {
		sim.partitionUsage, sim.partitionUsageAt = map[int]bucket.PeerUsage{}, sim.now
	}
	if u, ok := sim.partitionUsage[partition]; ok {
		return u
	}
	u := bucket.PeerUsage{Used: map[string]int{}}
	for _, f := range sim.fronts {
		if !f.up || f.partition != partition {
			continue
		}
		u.Fronts++
		for account, n := range f.lastReport(sim.now) {
			u.Used[account] += n
		}
	}
	sim.partitionUsage[partition] = u
	return u
}

// lastReport returns the last report that has reached the hubs, sent at least hubDelay ago,
// and drops older ones.
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
func (sim *Simulation) startProgram(account string) {
	rate := sim.programRates[account]
	if rate <= 0 {
		sim.after(thinkTime, func() { sim.startProgram(account) })
		return
	}
	sim.after(time.Duration(sim.rng.ExpFloat64()/rate*float64(time.Second)), func() { sim.startProgram(account) })
	sim.scores[account].Programs++
	sim.sendRequest(account, 0, 0)
}

// sendRequest sends a request of a program to a random front. If that is down, it picks a
// front again 20 ms later, which does not count as a try. A refused request is sent to a
// random front again after RetryAfter, up to maxTries tries in total.
func (sim *Simulation) sendRequest(account string, number, try int) {
	s := sim.scores[account]
	f := sim.fronts[sim.rng.IntN(len(sim.fronts))]
	if !f.up {
		sim.after(20*time.Millisecond, func() { sim.sendRequest(account, number, try) })
		return
	}
	v := f.Take(sim.now, account, sim.AllStarted || number > 0)
	switch {
	case v.OK:
		sim.admitted[account] = append(sim.admitted[account], sim.now)
		if number+1 == RequestsPerProgram {
			s.Completed++
			return
		}
		sim.after(thinkTime/2+sim.jitter(thinkTime), func() { sim.sendRequest(account, number+1, 0) })
	case try+1 < maxTries:
		s.Retried++
		sim.after(v.RetryAfter, func() { sim.sendRequest(account, number, try+1) })
	case number == 0:
		s.Refused++
	default:
		s.Aborted++
	}
}

// PeakRatio returns the largest number of requests of an account that were admitted within
// any Tolerance.Window, as a ratio to the number that the limit and Tolerance allow.
func (sim *Simulation) PeakRatio(account string) float64 {
	l := sim.limits[account]
	bound := (l.Rate*Tolerance.Window.Seconds()+l.Burst)*(1+Tolerance.Over) + Tolerance.Slack
	admitted, first, worst := sim.admitted[account], 0, 0
	for i, at := range admitted {
		for at.Sub(admitted[first]) > Tolerance.Window {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return float64(worst) / bound
}
