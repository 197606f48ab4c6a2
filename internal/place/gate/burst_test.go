package gate

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	engines       = 8
	batch         = 16
	fleetCapacity = engines * 13 // turns in flight at which an event takes 1.6 times as long as alone
	step          = 5 * time.Millisecond
	loadFor       = 20 * time.Second
	drainFor      = 20 * time.Second
)

type (
	// agent is one program: rounds of concurrent turns with a pause after each round.
	agent struct {
		long     bool
		front    *front // at which it arrives
		account  string
		priority int
		start    time.Duration
		deadline time.Duration   // to finish in time
		rounds   [][]float64     // events of the turns of each round
		pauses   []time.Duration // after each round
		round    int
		running  int
		nextAt   time.Duration // time of the next round, or of the next attempt
		tries    int
		started  bool
		waiting  bool
		came     time.Duration // when it last began to wait
		end      time.Duration
		failed   bool
	}

	job struct {
		p    *agent
		left float64
	}

	// sim is a fleet of engines under load, simulated in steps of five milliseconds.
	sim struct {
		rnd    *rand.Rand
		fronts []*front // none admits all
		up     int      // engines in service
		agents []*agent
		run    [engines][]job
		queue  [engines][]job
		byID   map[uint64]*agent
		last   uint64
		now    time.Duration

		sent     []sent
		onBegin  func(*agent) // nil for none
		onRefuse func(*agent) // nil for none
	}
)

// eventTime returns the time between stream events at an engine with n running turns,
// as measured on engines with a batch size of 16.
func eventTime(n int) time.Duration {
	return 26*time.Millisecond + time.Duration(n)*1450*time.Microsecond
}

func (p *sim) agent(at time.Duration, long bool) *agent {
	mean, fan, multiple := 4.0, 0.05, 1.6
	if long {
		mean, fan, multiple = 11, 0.08, 1.7
	}
	a := &agent{start: at, nextAt: at, long: long}
	idle := time.Duration(0)
	for range max(1, int(mean*(0.5+p.rnd.Float64())+0.5)) {
		a.addRound(p, 1, &idle)
		if p.rnd.Float64() < fan {
			for range 2 {
				a.addRound(p, 5, &idle)
			}
		}
	}
	a.deadline = at + time.Duration(multiple*float64(idle)) + 200*time.Millisecond
	return a
}

func (a *agent) addRound(p *sim, turns int, idle *time.Duration) {
	round, most := []float64{}, 0.0
	for range turns {
		n := 1 + min(p.rnd.ExpFloat64()*7, 32)
		round, most = append(round, n), max(most, n)
	}
	pause := time.Duration(20+p.rnd.ExpFloat64()*60) * time.Millisecond
	a.rounds, a.pauses = append(a.rounds, round), append(a.pauses, pause)
	*idle += time.Duration(most*float64(eventTime(1))) + pause + 30*time.Millisecond
}

func (p *sim) clock() time.Time { return time.Unix(1000, 0).Add(p.now) }

// start sends each turn of the next round to the engine with the fewest turns.
func (p *sim) start(a *agent) {
	a.waiting = false
	for _, n := range a.rounds[a.round] {
		best := 0
		for i := range p.up {
			if len(p.run[i])+len(p.queue[i]) < len(p.run[best])+len(p.queue[best]) {
				best = i
			}
		}
		p.queue[best] = append(p.queue[best], job{a, n})
		a.running++
		a.front.count(a.account, 1)
	}
	a.started = true
}

func (p *sim) arrive(a *agent) {
	if a.front == nil || a.started {
		p.start(a)
		return
	}
	p.last++
	p.byID[p.last] = a
	a.waiting, a.came = true, p.now
	p.apply(a.front.gate.Step(p.clock(), Arrive{
		Ticket: p.last, LatestStart: p.clock().Add(a.latestStart() - p.now), Load: p.load(a.front), Account: a.account, Priority: a.priority,
	}))
}

// latestStart returns the latest start with which the program is assumed to finish in
// time: after a fifth of the allowed time.
func (a *agent) latestStart() time.Duration { return a.start + (a.deadline-a.start)/5 }

func (p *sim) apply(ops []Op) {
	for _, op := range ops {
		switch op := op.(type) {
		case Admit:
			p.began(p.byID[op.Ticket])
			p.start(p.byID[op.Ticket])
		case Refuse:
			if p.onRefuse != nil {
				p.onRefuse(p.byID[op.Ticket])
			}
			p.byID[op.Ticket].refused(p, op.After)
		}
	}
}

// refused schedules the caller's next attempt: a turn is sent twice, the whole program
// three times, so the sixth refusal is final.
func (a *agent) refused(p *sim, after time.Duration) {
	a.waiting = false
	if a.tries++; a.tries == 6 {
		a.failed, a.end = true, p.now
		return
	}
	if a.tries%2 == 0 {
		after = time.Duration(100+p.rnd.IntN(300)) * time.Millisecond
	}
	a.nextAt = p.now + after
}

func (p *sim) tick() {
	for i := range engines {
		for len(p.run[i]) < batch && len(p.queue[i]) > 0 {
			p.run[i], p.queue[i] = append(p.run[i], p.queue[i][0]), p.queue[i][1:]
		}
		made := float64(step) / float64(eventTime(len(p.run[i])))
		for k := range p.run[i] {
			p.run[i][k].left -= made
		}
		p.run[i] = slices.DeleteFunc(p.run[i], func(j job) bool {
			if j.left > 0 {
				return false
			}
			p.turnEnded(j.p)
			return true
		})
	}
	p.exchange()
	for _, f := range p.fronts {
		if !f.suspended {
			p.apply(f.gate.Step(p.clock(), Change{Load: p.load(f)}))
		}
	}
	for _, a := range p.agents {
		if a.end == 0 && a.running == 0 && !a.waiting && a.nextAt <= p.now && a.start <= p.now {
			p.arrive(a)
		}
	}
	p.now += step
}

func (p *sim) turnEnded(a *agent) {
	a.front.count(a.account, -1)
	if a.running--; a.running > 0 {
		return
	}
	a.nextAt = p.now + a.pauses[a.round]
	if a.round++; a.round == len(a.rounds) {
		a.end = p.now
	}
}

// simulate runs the load and returns the earned share of the value of all programs, over
// the whole run and for the programs that arrived in the worst two seconds. A program
// earns its full value by its deadline and a tenth up to twice the allowed time.
func simulate(seed uint64, g *Gate) (all, worst float64) {
	p := &sim{rnd: rand.New(rand.NewPCG(seed, 1)), up: engines, byID: map[uint64]*agent{}}
	var f *front
	if g != nil {
		f = &front{gate: g}
		p.fronts = []*front{f}
	}
	for at := time.Duration(0); at < loadFor; at += step {
		short, long := 15.5, 6.05
		if at > 5*time.Second && at < 11*time.Second {
			short, long = 1.5*short, 1.5*long
		}
		if at > 6*time.Second && at < 11*time.Second {
			long *= 2.3
		}
		if p.rnd.Float64() < short*step.Seconds() {
			p.agents = append(p.agents, p.agent(at, false))
		}
		if p.rnd.Float64() < long*step.Seconds() {
			p.agents = append(p.agents, p.agent(at, true))
		}
	}
	for _, a := range p.agents {
		a.front = f
	}
	for p.now < loadFor+drainFor {
		p.tick()
	}
	return p.score()
}

func (p *sim) score() (all, worst float64) {
	const window = 2 * time.Second
	sum, n := map[time.Duration]float64{}, map[time.Duration]float64{}
	total, count := 0.0, 0.0
	for _, a := range p.agents {
		value := 3.0
		if a.long {
			value = 10
		}
		earned := 0.0
		switch {
		case a.failed || a.end == 0:
		case a.end <= a.deadline:
			earned = value
		case a.end <= a.deadline+(a.deadline-a.start):
			earned = value / 10
		}
		w := a.start / window
		sum[w] += earned
		n[w] += value
		total += earned
		count += value
	}
	worst = 1
	for w := range n {
		worst = min(worst, sum[w]/n[w])
	}
	return total / count, worst
}

// For six seconds programs arrive at 1.5 times the usual rate, and for five of them long
// ones at about 3.5 times. Without the gate all share the engines, and nearly all miss
// their deadlines until long after the burst; with it most of the admitted ones finish in
// time. The thresholds were measured on engines of this kind and number.
func TestBurst(t *testing.T) {
	is := is.New(t)
	var without, with, worst0, worst1 float64
	const seeds = 10
	for seed := range uint64(seeds) {
		a, w := simulate(seed, nil)
		without, worst0 = without+a/seeds, worst0+w/seeds
		a, w = simulate(seed, &Gate{})
		with, worst1 = with+a/seeds, worst1+w/seeds
	}
	t.Logf("earned value: %.3f without the gate, %.3f with it; arrivals of the worst two seconds: %.3f, %.3f", without, with, worst0, worst1)
	is.True(with > without+0.1)
	is.True(worst1 > worst0+0.1)
}
