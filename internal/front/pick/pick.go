// Package pick selects the upstream of a request.
//
// It tracks the requests in flight of this daemon at each upstream, those that other
// daemons report, and the outcomes of recent requests. Selection uses this state, the
// request, Picker.Age, Picker.Idle and a random jitter; it makes no network requests.
//
// Each upstream has a cost in milliseconds of the caller's time: queueing,
// repeating the prefill of a prompt that is cached at another upstream, and the delay
// expected from recent slowness and failures; a little is added for what costs the
// operator (a new connection, bytes between failure domains). The upstream with the
// lowest cost is selected. So a program stays where its prompt is cached until that
// upstream is nearly full, and calls reuse open connections until another upstream is
// clearly less loaded.
package pick

import (
	"sync"
	"time"

	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/meta"
	"github.com/slaterock/slaterock/internal/place/gate"
)

const (
	// fullBackoff is how long an upstream that shed a request is avoided if another one
	// is available: about the time in which one of its batch slots frees up.
	fullBackoff = 80 * time.Millisecond
	// failureBackoff is the same for one that was unreachable or broke off a response.
	failureBackoff = 600 * time.Millisecond

	// The costs, in milliseconds. They are set for bursts of twice the usual load on
	// engines with batches of 12 to 64 and services with batches of 6; a turn takes 100
	// to 400 ms, a call 40 to 160 ms.

	// loadCost is what a full batch adds at a plain service. It grows with the square
	// of the load: peers' counts are up to 0.1 s old, and a call that finds the batch
	// full waits.
	loadCost = 30.0
	// contentionCost is what each request in flight at an engine adds, whatever the batch
	// size: each has a prefill of 25 to 80 ms, during which the decoding of all other turns
	// at the engine pauses, and several prefills fall into the duration of a turn.
	contentionCost = 10.0
	// queueCost is the wait for each full batch queued ahead of a request.
	queueCost = 200.0
	// prefillPerMs is the prefill rate in tokens per millisecond, the lowest of the
	// engines in use. A prefill delays every other turn at that engine by its duration,
	// so it is counted for each of them too.
	prefillPerMs = 42.0
	// crossDomainCost is added for an upstream in another failure domain, for the price of
	// the bytes in between: for the 10 KB of a turn it is about a hundredth of the value of
	// a program.
	crossDomainCost = 4.0
	// newConnCost is added for a new connection, which takes a millisecond. A cost above
	// contentionCost would have turns share an engine only because a connection is open.
	newConnCost = 5.0
	// noiseCost is the most that the hash of the program or daemon and the upstream adds,
	// and twice the most that jitter adds. It keeps daemons with the same state from all
	// selecting the same upstream.
	noiseCost = 3.0
	// spreadCost is the most that the hash adds on top while peers' reports are older than
	// freshAge. Daemons that relied on such reports would all converge on one upstream.
	spreadCost = 40.0
	// freshAge is the age up to which peers' reports count fully. In a longer time more
	// calls start and end than are in flight.
	freshAge = 80 * time.Millisecond
	// failureCost is the cost of an upstream that fails every request.
	failureCost = 600.0
	// slowThreshold is the multiple of the usual time above which an upstream counts as slow by
	// this daemon's own outcomes, and slowCost the cost of each further multiple. Work differs by
	// a factor of three from call to call, so a lower multiple is not significant. A factor, from
	// the samples of all daemons, is significant as such. Faster upstreams are not preferred:
	// they would be overloaded before the load that they get is known everywhere.
	slowThreshold = 1.8
	slowCost      = 60.0
	// outcomeWeight is the weight of one outcome in the moving average, and
	// outcomeHalfLife the time in which the average decays by half, so that an upstream
	// that has recovered is tried again.
	outcomeWeight   = 0.25
	outcomeHalfLife = 3 * time.Second
)

type (
	// Picker tracks requests in flight and selects upstreams. The zero value is ready.
	Picker struct {
		Name   string // of this daemon
		Domain string // own failure domain
		// Age returns the largest age of other daemons' load reports; nil means 0.
		Age func() time.Duration
		// Idle reports whether a connection to the address is open and unused; nil means
		// that none is.
		Idle func(address string) bool
		// Holders appends the upstreams that are known to have a shared part cached to the list;
		// nil means that none has.
		Holders func(now time.Time, part uint64, list []Holder) []Holder
		// Factor returns the time of an upstream as a multiple of that of its service, 1 if it is
		// not known to differ; nil means 1.
		Factor func(*fleet.Upstream) float64

		mu        sync.Mutex
		upstreams map[string]*state
		peers     map[string]int     // requests of other daemons in flight by upstream, as they reported
		recent    map[string]*recent // upstreams selected last, by service
		fronts    int                // other daemons that are alive
		sharing   sharing
	}

	state struct {
		ownInFlight int       // requests of this daemon
		avoidUntil  time.Time // not selected before then if there is another candidate
		failureRate float64   // moving average of failures, 0 to 1
		slowdown    float64   // moving average of the time taken, in multiples of the usual; 0 is unknown
		lastOutcome time.Time // when an outcome was last recorded
	}

	// Request describes a request for which an upstream is selected.
	Request struct {
		Candidates *fleet.Service  // upstreams of the service; nil for none
		Key        string          // of the program whose turn it is; empty for plain calls
		Prefer     string          // id of the upstream that has the prompt cached; may be empty
		Tokens     int             // length of the prompt, which other upstreams would have to prefill
		Shared     []meta.Part     // parts of the prompt that other programs may share; see meta.Attempt.SharedParts
		Only       string          // id of the only upstream that may run it, even if leaving or excluded; empty for any
		Exclude    map[string]bool // ids that have refused or failed this attempt
		Among      []string        // ids of the only upstreams that may run it, if not leaving; valid with Confined
		Confined   bool
		Version    string // software version that the upstream must have; valid with HasVersion
		HasVersion bool
	}
)

// avoidCost is added for an upstream that is selected only if there is no other: it
// exceeds the sum of all other costs.
const avoidCost = 1e6

// confidence is the weight of peers' load reports, from 0 to 1, by their age.
func (p *Picker) confidence() float64 {
	if p.Age == nil {
		return 1
	}
	return min(1, float64(freshAge)/float64(max(p.Age(), 1)))
}

func (p *Picker) cost(now time.Time, u *fleet.Upstream, r *Request, confidence float64) float64 {
	cost := noiseCost / 2 * jitter()
	if u.Domain != p.Domain {
		cost += crossDomainCost
	}
	if p.Idle == nil || !p.Idle(u.Address) {
		cost += newConnCost
	}
	prefillCost := p.prefillCost(u, r)
	cost += prefillCost
	if r.Prefer == "" {
		cost += p.order(u, r, prefillCost, confidence)
	}
	slow := 0.0
	if p.Factor != nil {
		slow = slowCost * max(p.Factor(u)-1, 0)
	}
	own, peers := 0, p.peers[u.ID]
	if s := p.upstreams[u.ID]; s != nil {
		own = s.ownInFlight
		failing, ownSlow := s.outcomes(now)
		slow = max(slow, ownSlow)
		cost += failing
		if now.Before(s.avoidUntil) {
			cost += avoidCost
		}
	}
	cost += slow
	if own+peers == 0 {
		return cost
	}
	cost += prefillCost * float64(own+peers)
	batch := float64(max(u.Batch, 1))
	inFlight := float64(own) + confidence*float64(peers)
	if r.Key != "" {
		cost += contentionCost*inFlight + laterCost(r, own+peers)
	} else {
		share := min(inFlight/batch, 1)
		cost += loadCost * share * share
	}
	return cost + queueCost*max(inFlight-batch+1, 0)/batch
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

// InFlight returns the number of requests of all daemons in flight at an upstream.
func (p *Picker) InFlight(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inFlight(id)
}

func (p *Picker) inFlight(id string) int {
	n := p.peers[id]
	if s := p.upstreams[id]; s != nil {
		n += s.ownInFlight
	}
	return n
}

// Load returns the sums over all upstreams of a service that are not leaving: the requests in
// flight (InFlight) and the capacity in requests (Capacity), which is for each the batch size
// times share(batch size). It adds the number of daemons, this one included (Daemons), and the
// value of Age (Staleness).
func (p *Picker) Load(s *fleet.Service, share func(batch int) float64) (l gate.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.Daemons = 1 + p.fronts
	if p.Age != nil {
		l.Staleness = p.Age()
	}
	l.Capacity = s.Capacity(share)
	if s.Len() <= len(p.peers)+len(p.upstreams) {
		for i := range s.Len() {
			if u := s.At(i); !u.Leaving {
				l.InFlight += p.inFlight(u.ID)
			}
		}
		return l
	}
	for id, n := range p.peers {
		if u, found := s.Find(id); found && !u.Leaving {
			l.InFlight += n
		}
	}
	for id, state := range p.upstreams {
		if state.ownInFlight == 0 {
			continue
		}
		if u, found := s.Find(id); found && !u.Leaving {
			l.InFlight += state.ownInFlight
		}
	}
	return l
}

// Avoids reports whether an upstream is selected only if there is no other: it has failed, or was
// full, a moment ago.
func (p *Picker) Avoids(now time.Time, id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.upstreams[id]
	return s != nil && now.Before(s.avoidUntil)
}

// Done removes a request of this daemon from those in flight.
func (p *Picker) Done(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.upstreams[id]; s != nil && s.ownInFlight > 0 {
		s.ownInFlight--
	}
}

// OwnInFlight returns the number of requests of this daemon in flight, by upstream id.
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

// PeersUpdated replaces the numbers of requests that all other daemons together have in
// flight, by upstream id, and the number of these daemons. The map must not be changed
// afterwards.
func (p *Picker) PeersUpdated(load map[string]int, fronts int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fronts, p.peers = fronts, load
}

// Forget drops the state of upstreams that are no longer listed and have no requests in
// flight.
func (p *Picker) Forget(listed func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.upstreams {
		if s.ownInFlight == 0 && !listed(id) {
			delete(p.upstreams, id)
		}
	}
}
