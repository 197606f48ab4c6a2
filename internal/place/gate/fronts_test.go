package gate

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	reportEvery = 100 * time.Millisecond
	reportAge   = 200 * time.Millisecond
	reportTTL   = 500 * time.Millisecond
)

type (
	// front is one daemon of a simulation with what it knows of the others.
	front struct {
		gate      *Gate
		own       report
		known     map[*front]report
		suspended bool
	}

	// report is what a front tells the others.
	report struct {
		at       time.Duration
		inFlight int
		running  map[string]int
		queued   map[int]int
	}

	// stream is a kind of program of one account.
	stream struct {
		account  string
		priority int
		rate     float64 // programs a second
	}
)

// count adds to the turns in flight of an account; a nil front counts none.
func (f *front) count(account string, n int) {
	if f == nil {
		return
	}
	f.own.inFlight += n
	if account == "" {
		return
	}
	if f.own.running == nil {
		f.own.running = map[string]int{}
	}
	if f.own.running[account] += n; f.own.running[account] == 0 {
		delete(f.own.running, account)
	}
}

// exchange has each front report to each other one. A report arrives with a delay, and one in
// five is lost.
func (p *sim) exchange() {
	if len(p.fronts) < 2 || p.now%reportEvery != 0 {
		return
	}
	for _, f := range p.fronts {
		if f.suspended {
			continue
		}
		r := report{at: p.now, inFlight: f.own.inFlight, running: map[string]int{}, queued: map[int]int{}}
		f.gate.Queued(func(priority, n int) { r.queued[priority] = n })
		for account, n := range f.own.running {
			r.running[account] = n
		}
		p.sent = append(p.sent, sent{f, r})
	}
	for len(p.sent) > 0 && p.sent[0].at+reportAge <= p.now {
		for _, to := range p.fronts {
			if to != p.sent[0].from && p.rnd.Float64() >= 0.2 {
				to.known[p.sent[0].from] = p.sent[0].report
			}
		}
		p.sent = p.sent[1:]
	}
}

// sent is a report under way.
type sent struct {
	from *front
	report
}

// load returns the load of the engines as a front knows it.
func (p *sim) load(f *front) Load {
	l := Load{Capacity: fleetCapacity * p.up / engines, Daemons: len(p.fronts), InFlight: f.own.inFlight, Running: map[string]int{}}
	if len(p.fronts) > 1 {
		l.Staleness = reportAge
	}
	add := func(r report) {
		for account, n := range r.running {
			l.Running[account] += n
		}
	}
	add(f.own)
	for from, r := range f.known {
		if p.now-r.at > reportAge+reportTTL {
			delete(f.known, from)
			continue
		}
		l.InFlight += r.inFlight
		add(r)
		for priority, n := range r.queued {
			if l.Queued == nil {
				l.Queued = map[int]int{}
			}
			l.Queued[priority] += n
		}
	}
	if len(l.Running) == 0 || f.gate.Len() == 0 && l.Queued == nil {
		l.Running = nil
	}
	return l
}

// began records that a program begins while others wait, by priority.
func (p *sim) began(a *agent) {
	if p.onBegin != nil {
		p.onBegin(a)
	}
}

// newFronts returns a simulation of so many fronts and engines with programs of the streams
// that arrive at random fronts for loadFor. The programs of a stream depend on the seed and
// its position only.
func newFronts(seed uint64, fronts, up int, streams []stream) *sim {
	p := &sim{up: up, byID: map[uint64]*agent{}}
	for range fronts {
		p.fronts = append(p.fronts, &front{gate: &Gate{}, known: map[*front]report{}})
	}
	for i, s := range streams {
		p.rnd = rand.New(rand.NewPCG(seed, uint64(i)))
		for at := time.Duration(0); at < loadFor; at += step {
			if p.rnd.Float64() < s.rate*step.Seconds() {
				a := p.agent(at, false)
				a.account, a.priority, a.front = s.account, s.priority, p.fronts[p.rnd.IntN(fronts)]
				p.agents = append(p.agents, a)
			}
		}
	}
	slices.SortStableFunc(p.agents, func(a, b *agent) int { return int(a.start - b.start) })
	p.rnd = rand.New(rand.NewPCG(seed, 99))
	return p
}
