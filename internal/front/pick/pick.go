// Package pick chooses the upstream of a request.
//
// It knows what this daemon has under way at each upstream, what other daemons
// say they have, and how upstreams have done lately. Choosing is a pure function
// of that and of the request; nothing is asked for on the way.
//
// Each upstream has a cost in milliseconds of the caller's time: waiting for a
// place, reading again what another upstream has cached, what slowness and
// failures of late let expect; a little is added for what costs the operator
// (a new connection, bytes between failure domains). The lowest cost wins. So a
// program stays where its prompt is cached until that upstream is nearly full,
// and calls keep to connections that are open until others are clearly idler.
package pick

import (
	"cmp"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/place/gate"
)

const (
	// fullFor is how long an upstream that shed a request is passed over, if
	// another one can be had: about the time in which one of its places frees.
	fullBackoff = 80 * time.Millisecond
	// failedFor is the same for one that could not be reached or broke off.
	failureBackoff = 600 * time.Millisecond

	// The costs, in milliseconds. They answer bursts of twice the usual load on
	// engines of 12 to 64 places and services of 6; a turn takes 100 to 400 ms,
	// a call 40 to 160 ms.

	// crowd is what a full batch adds at a plain service, rising with the square
	// of the load: what is known of others' calls is up to 0.1 s old, and a call
	// that finds no place waits.
	loadCost = 30.0
	// beside is what each request under way at an engine adds, whatever its
	// batch: prompts are read between the steps of all others, 25 to 80 ms for
	// each turn, and a turn meets several.
	contentionCost = 10.0
	// queued is the wait for each batch that is before a request.
	queueCost = 200.0
	// prefill is how many tokens of a prompt are read in a millisecond, the
	// least of the engines in use. What is read delays every other turn at that
	// engine as long, so it is counted for each of them too: bursts on eight engines of
	// 16 places gained 0.063 ±0.016 of a day's worth by it (eight paired plays).
	prefillPerMs = 42.0
	// otherDomain stands for bytes between failure domains: 10 KB of a turn cost
	// about as much as a hundredth of a program's benefit.
	crossDomainCost = 4.0
	// newConn stands for a new connection and the millisecond that it takes. At
	// 15 callers of eight busy engines lost 0.020 of a day's worth (six paired
	// plays): turns kept to connections that were open, beside others.
	newConnCost = 5.0
	// noise keeps daemons that know the same from all choosing the same, and
	// apart is the most that a daemon or a program adds to an upstream of its
	// own accord where little is known of the others. What they said last is up to
	// a pause old; beyond fresh, more calls have come and gone since than are
	// under way, and those who went by it would all meet at one upstream.
	noiseCost  = 3.0
	spreadCost = 40.0
	freshAge   = 80 * time.Millisecond
	// failing is what an upstream costs that fails every request.
	failureCost = 600.0
	// slowFrom is from which multiple of the usual time an upstream counts as
	// slow, and slow what each multiple beyond costs. Work differs by a factor of
	// three from call to call, so less says nothing.
	slowThreshold = 1.8
	slowCost      = 60.0
	// weigh is the weight of one outcome in the average of the last, and
	// forget the time after which half of the average counts no more, so that
	// an upstream that has recovered is tried again.
	outcomeWeight   = 0.25
	outcomeHalfLife = 3 * time.Second
)

type (
	// Picker keeps what is under way. The zero value is ready.
	Picker struct {
		Name   string // of this daemon
		Domain string // own failure domain
		// Age is how old what other daemons tell of their loads may be; nil for
		// no time.
		Age func() time.Duration
		// Idle tells whether a connection to the address is open and unused;
		// nil for no.
		Idle func(address string) bool

		mu        sync.Mutex
		upstreams map[string]*state
		fronts    int // other daemons that are alive
	}

	state struct {
		ownInFlight   int       // requests of this daemon under way there
		peersInFlight int       // of other daemons, as they said
		avoidUntil    time.Time // not before, if there is another
		failureRate   float64   // share of the last requests that failed
		slowdown      float64   // how many times as long as usual the last took; 0 is unknown
		lastOutcome   time.Time // of the last outcome
	}

	// Case is one request.
	Request struct {
		Candidates []fleet.Upstream // of the service
		Key        string           // what should stay together; empty for plain calls
		Prefer     string           // id of the upstream that has the prompt cached
		Tokens     int              // of the prompt, which others would have to read
		Only       string           // id of the one that may run it; empty for any
		Exclude    map[string]bool  // ids that have refused or failed this attempt
	}
)

// Choose returns an upstream and counts the request there. It is false if there
// is none. The caller says Done when the request has ended.
func (p *Picker) Choose(now time.Time, c Request) (fleet.Upstream, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	confidence := p.confidence()
	best, lowest := -1, math.Inf(1)
	for i := range c.Candidates {
		u := &c.Candidates[i]
		if c.Only != "" && u.ID != c.Only || c.Only == "" && (u.Leaving || c.Exclude[u.ID]) {
			continue
		}
		if cost := p.cost(now, u, c, confidence); cost < lowest {
			best, lowest = i, cost
		}
	}
	if best < 0 {
		return fleet.Upstream{}, false
	}
	p.state(c.Candidates[best].ID).ownInFlight++
	return c.Candidates[best], true
}

// avoided is added for an upstream that is to be passed over while there are
// others: more than all other costs together.
const avoidCost = 1e6

// trust is how much of what others have said counts, from 0 to 1.
func (p *Picker) confidence() float64 {
	if p.Age == nil {
		return 1
	}
	return min(1, float64(freshAge)/float64(max(p.Age(), 1)))
}

func (p *Picker) cost(now time.Time, u *fleet.Upstream, c Request, confidence float64) float64 {
	cost := noiseCost / 2 * jitter()
	if u.Domain != p.Domain {
		cost += crossDomainCost
	}
	if p.Idle == nil || !p.Idle(u.Address) {
		cost += newConnCost
	}
	prefillCost := 0.0
	if c.Prefer != "" && u.ID != c.Prefer {
		prefillCost = float64(c.Tokens) / prefillPerMs
	}
	cost += prefillCost
	if c.Prefer == "" {
		cost += (noiseCost + spreadCost*(1-confidence)) * weight(cmp.Or(c.Key, p.Name), u.ID)
	}
	s := p.upstreams[u.ID]
	if s == nil {
		return cost
	}
	cost += prefillCost * float64(s.ownInFlight+s.peersInFlight)
	batch := float64(max(u.Batch, 1))
	inFlight := float64(s.ownInFlight) + confidence*float64(s.peersInFlight)
	if c.Key != "" {
		cost += contentionCost * inFlight
	} else {
		share := min(inFlight/batch, 1)
		cost += loadCost * share * share
	}
	cost += queueCost * max(inFlight-batch+1, 0) / batch
	cost += s.outcomes(now)
	if now.Before(s.avoidUntil) {
		cost += avoidCost
	}
	return cost
}

// outcomes is what the last outcomes let expect. They fade with time.
func (s *state) outcomes(now time.Time) float64 {
	if s.lastOutcome.IsZero() {
		return 0
	}
	fade := math.Exp2(-float64(now.Sub(s.lastOutcome)) / float64(outcomeHalfLife))
	return fade * (failureCost*s.failureRate + slowCost*max(s.slowdown-slowThreshold, 0))
}

// weight orders upstreams by a key, differently for each key, and so that one
// that comes or goes moves only its own keys.
func weight(key, id string) float64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(id)
	return float64(d.Sum64()>>11) / (1 << 53)
}

func (p *Picker) state(id string) *state {
	if p.upstreams == nil {
		p.upstreams = map[string]*state{}
	}
	s := p.upstreams[id]
	if s == nil {
		s = &state{}
		p.upstreams[id] = s
	}
	return s
}

// Under returns how many requests are under way at an upstream.
func (p *Picker) InFlight(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.upstreams[id]; s != nil {
		return s.ownInFlight + s.peersInFlight
	}
	return 0
}

// Load returns what is under way at the upstreams that take work, how many turns
// they should run when each is filled to a share of its places, which share tells,
// and how many daemons share them.
func (p *Picker) Load(list []fleet.Upstream, share func(places int) float64) (l gate.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.Fronts = 1 + p.fronts
	if p.Age != nil {
		l.News = p.Age()
	}
	room := 0.0
	for i := range list {
		if list[i].Leaving {
			continue
		}
		room += share(list[i].Batch) * float64(list[i].Batch)
		if s := p.upstreams[list[i].ID]; s != nil {
			l.Under += s.ownInFlight + s.peersInFlight
		}
	}
	l.Room = int(room)
	return l
}

// Done ends a request.
func (p *Picker) Done(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.upstreams[id]; s != nil && s.ownInFlight > 0 {
		s.ownInFlight--
	}
}

// Full notes that an upstream shed a request.
func (p *Picker) RecordFull(now time.Time, id string) { p.avoidUntil(now.Add(fullBackoff), id) }

// Failed notes that an upstream could not be reached or broke off.
func (p *Picker) RecordFailure(now time.Time, id string) {
	p.avoidUntil(now.Add(failureBackoff), id)
	p.RecordOutcome(now, id, 0, true)
}

// Took notes an outcome: how many times as long as usual the upstream took, 0 if
// that says nothing, and whether it failed.
func (p *Picker) RecordOutcome(now time.Time, id string, slowdown float64, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(id)
	fade := math.Exp2(-float64(now.Sub(s.lastOutcome)) / float64(outcomeHalfLife))
	if s.lastOutcome.IsZero() {
		fade = 0
	}
	s.lastOutcome = now
	s.failureRate *= fade * (1 - outcomeWeight)
	if failed {
		s.failureRate += outcomeWeight
	}
	if slowdown <= 0 {
		return
	}
	if s.slowdown == 0 {
		s.slowdown = 1
	}
	s.slowdown = 1 + (s.slowdown-1)*fade
	s.slowdown += outcomeWeight * (min(slowdown, 10) - s.slowdown)
}

func (p *Picker) avoidUntil(until time.Time, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.state(id); until.After(s.avoidUntil) {
		s.avoidUntil = until
	}
}

// Own returns what this daemon has under way at each upstream.
func (p *Picker) OwnInFlight() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]int{}
	for id, s := range p.upstreams {
		if s.ownInFlight > 0 {
			out[id] = s.ownInFlight
		}
	}
	return out
}

// Heard takes what all other daemons together have under way, in place of what they
// had, and how many they are.
func (p *Picker) PeersUpdated(load map[string]int, fronts int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fronts = fronts
	for id, s := range p.upstreams {
		s.peersInFlight = load[id]
	}
	for id, n := range load {
		p.state(id).peersInFlight = n
	}
}

// Forget drops what is known of upstreams that are not listed any more and have
// nothing under way.
func (p *Picker) Forget(listed func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.upstreams {
		if s.ownInFlight == 0 && s.peersInFlight == 0 && !listed(id) {
			delete(p.upstreams, id)
		}
	}
}
