// Package flood simulates accounts whose programs exceed their rate limits, at many
// fronts on a virtual clock. It measures which requests are admitted and how many
// programs complete, to check that packages bucket and wait enforce limits while fronts
// crash, freeze and are partitioned, and use them for whole programs.
package flood

import (
	"cmp"
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/slaterock/slaterock/internal/front/bucket"
	"github.com/slaterock/slaterock/internal/front/wait"
)

const (
	reportInterval = 100 * time.Millisecond // between two reports of a front
	hubDelay       = 70 * time.Millisecond  // from a report until the updates of other fronts include it
	lossRate       = 0.05                   // fraction of the reports and of the updates that are lost
	// RequestsPerProgram is the number of requests of a program.
	RequestsPerProgram = 10
	thinkTime          = 120 * time.Millisecond // mean time from a response to the next request of a program
	maxTries           = 3                      // tries per request
	// programTime is the time in which a program is to be finished, 2.4 times what it takes
	// without waiting, and startTime the part of it within which it must begin.
	programTime = 2600 * time.Millisecond
	startTime   = programTime / 5
	// maxWait is the time after which a caller abandons a silent front, less a margin.
	maxWait = 1500 * time.Millisecond
	// resendDelay is the time after which a caller whose connection broke asks another front.
	resendDelay = 20 * time.Millisecond
)

// Tolerance is the excess over a limit that is allowed for all fronts together.
var Tolerance = bucket.Tolerance{Window: 5 * time.Second, Over: 0.1, Slack: 20}

type (
	// Simulation simulates fronts that admit requests of programs of accounts.
	Simulation struct {
		AllStarted bool                     // all requests claim to belong to a program that has started
		Loss       float64                  // fraction of the reports and of the updates that are lost; 0 is lossRate
		Varied     bool                     // programs have 4 to 16 requests
		Serving    int                      // fronts that serve callers, the first ones; 0 is all
		Rank       func(wait.Request) int64 // order of new programs, as in wait.Queue

		now              time.Time
		rng              *rand.Rand
		fronts           []*front
		limits           map[string]bucket.Limit
		queue            events
		admitted         map[string][]time.Time // times of admitted requests, by account
		scores           map[string]*Score
		lastTicket       uint64
		arrived          map[uint64]time.Time     // waiting requests, by ticket
		programRates     map[string]float64       // programs per second, by account
		partitionUsage   map[int]bucket.PeerUsage // cache of sumPartition, by partition
		partitionUsageAt time.Time
	}

	front struct {
		bucket.Buckets
		queue     wait.Queue
		pending   map[uint64]*attempt  // waiting requests, by ticket
		wakeAt    map[string]time.Time // when the first request of an account is decided next
		up        bool
		partition int // network partition; reports reach fronts of the same partition only
		reports   []usageReport
	}

	usageReport struct {
		at    time.Time
		usage bucket.PeerUsage
	}

	// attempt is one try of a request of a program.
	attempt struct {
		account     string
		start       time.Time // of the program
		requests    int       // of the program
		number, try int
	}

	// Score counts the results of an account's programs.
	Score struct {
		Programs  int
		Completed int           // programs whose requests were all admitted
		InTime    int           // programs that completed within programTime
		Begun     int           // programs whose first request was admitted
		Refused   int           // programs whose first request was refused maxTries times
		Aborted   int           // programs that were admitted, but had a later request refused maxTries times
		Retried   int           // refused requests that were sent again
		Waited    time.Duration // by admitted requests, in total

		Short, ShortCompleted int // programs with at most half of the mean number of requests
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
		admitted: map[string][]time.Time{}, scores: map[string]*Score{}, arrived: map[uint64]time.Time{}, programRates: map[string]float64{},
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
	f := &front{up: true, pending: map[uint64]*attempt{}, wakeAt: map[string]time.Time{}}
	f.Tolerance, f.Rand = Tolerance, sim.rng.Float64
	f.Limit(sim.now, sim.limits)
	f.queue.Buckets, f.queue.Rank = &f.Buckets, sim.Rank
	if old := sim.fronts[i]; old != nil {
		for _, ticket := range slices.Sorted(maps.Keys(old.pending)) {
			a := old.pending[ticket]
			sim.after(resendDelay, func() { sim.send(*a) })
		}
		old.pending = nil
	}
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
	loss := cmp.Or(sim.Loss, lossRate)
	if sim.rng.Float64() >= loss {
		u := bucket.PeerUsage{Used: f.Used(sim.now), Begun: f.Begun(sim.now)}
		u.Waiting, u.WaitingBegun = f.queue.Waiting()
		f.reports = append(f.reports, usageReport{sim.now, u})
	}
	if sim.rng.Float64() >= loss {
		f.Update(sim.now, sim.peerUsage(f))
		for _, account := range slices.Sorted(slices.Values(f.queue.Accounts())) {
			sim.step(f, account)
		}
	}
}

// peerUsage returns the update that the hubs send to a front: the sum of the last reports of
// the other fronts of its partition.
func (sim *Simulation) peerUsage(f *front) bucket.PeerUsage {
	all := sim.sumPartition(f.partition)
	u := newUsage()
	u.Fronts, u.Total = all.Fronts, len(sim.fronts)
	add(u, all, 1)
	add(u, f.lastReport(sim.now), -1)
	return u
}

func newUsage() bucket.PeerUsage {
	return bucket.PeerUsage{Used: map[string]int{}, Begun: map[string]int{}, Waiting: map[string]int{}, WaitingBegun: map[string]int{}}
}

// add adds the counts of u, times n, to those of total.
func add(total, u bucket.PeerUsage, n int) {
	for _, c := range []struct{ to, from map[string]int }{
		{total.Used, u.Used}, {total.Begun, u.Begun}, {total.Waiting, u.Waiting}, {total.WaitingBegun, u.WaitingBegun},
	} {
		for account, count := range c.from {
			c.to[account] = max(c.to[account]+n*count, 0)
		}
	}
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
	u := newUsage()
	for _, f := range sim.fronts {
		if !f.up || f.partition != partition {
			continue
		}
		u.Fronts++
		add(u, f.lastReport(sim.now), 1)
	}
	sim.partitionUsage[partition] = u
	return u
}

// lastReport returns the last report that has reached the hubs, sent at least hubDelay ago,
// and drops older ones.
func (f *front) lastReport(now time.Time) (u bucket.PeerUsage) {
	for i := len(f.reports) - 1; i >= 0; i-- {
		if now.Sub(f.reports[i].at) >= hubDelay {
			f.reports = f.reports[i:]
			return f.reports[0].usage
		}
	}
	return u
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
