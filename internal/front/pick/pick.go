// Package pick chooses the upstream of a request.
//
// It knows what this daemon has under way at each upstream, what other daemons
// say they have, and how upstreams have done lately. Choosing is a pure function
// of that and of the request; nothing is asked for on the way.
//
// Calls to plain services go where the fewest are under way for the places that
// there are. Turns of a program stay where the program ran before, because there
// its prompt is cached; a program without a past goes where a hash of its id
// points, so that all daemons agree without talk. Either moves on when its
// upstream has clearly more to do than the others.
package pick

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/slaterock/slaterock/internal/front/fleet"
)

const (
	// spill is how far beyond the mean load an upstream may be before programs
	// that would stay there go elsewhere: a share of the mean, and requests.
	spillShare = 1.3
	spillMore  = 2.0
	// fullFor is how long an upstream that shed a request is passed over, if
	// another one can be had: about the time in which one of its places frees.
	fullFor = 80 * time.Millisecond
	// failedFor is the same for one that could not be reached or broke off.
	failedFor = 600 * time.Millisecond
	// peerAge is how long what another daemon said of its requests counts.
	peerAge = 1500 * time.Millisecond
	// otherDomain is what a place in another failure domain costs, in shares of
	// a batch: bytes between domains are paid for.
	otherDomain = 0.04
)

type (
	// Picker keeps what is under way. The zero value is ready.
	Picker struct {
		Domain string // own failure domain

		mu    sync.Mutex
		known map[string]*state
		peers map[string]peer
	}

	state struct {
		own    int       // requests of this daemon under way there
		others int       // of other daemons, as they said
		avoid  time.Time // not before, if there is another
	}

	peer struct {
		at   time.Time
		load map[string]int
	}

	// Case is one request.
	Case struct {
		List    []fleet.Upstream // of the service
		Key     string           // what should stay together; empty for plain calls
		Prefer  string           // id of the upstream that ran the program's turn before
		Only    string           // id of the one that may run it; empty for any
		Exclude map[string]bool  // ids that have refused or failed this attempt
	}
)

// Choose returns an upstream and counts the request there. It is false if there
// is none. The caller says Done when the request has ended.
func (p *Picker) Choose(now time.Time, c Case) (fleet.Upstream, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.usable(now, c)
	if len(list) == 0 {
		return fleet.Upstream{}, false
	}
	var best fleet.Upstream
	if c.Key == "" {
		best = p.least(list)
	} else {
		best = p.stay(list, c)
	}
	p.state(best.ID).own++
	return best, true
}

// usable leaves out upstreams that take no new work, and those to be avoided
// unless there are no others.
func (p *Picker) usable(now time.Time, c Case) []fleet.Upstream {
	var good, poor []fleet.Upstream
	for _, u := range c.List {
		if c.Only == u.ID {
			return []fleet.Upstream{u}
		}
		if c.Only != "" || u.Leaving || c.Exclude[u.ID] {
			continue
		}
		if s := p.known[u.ID]; s != nil && now.Before(s.avoid) {
			poor = append(poor, u)
			continue
		}
		good = append(good, u)
	}
	if len(good) == 0 {
		return poor
	}
	return good
}

// load is what is under way at an upstream, in shares of its batch.
func (p *Picker) load(u fleet.Upstream) float64 {
	s := p.known[u.ID]
	if s == nil {
		return 0
	}
	return float64(s.own+s.others) / float64(max(u.Batch, 1))
}

func (p *Picker) least(list []fleet.Upstream) (best fleet.Upstream) {
	lowest := math.Inf(1)
	for _, u := range list {
		cost := p.load(u)
		if u.Domain != p.Domain {
			cost += otherDomain
		}
		cost += 0.01 * jitter() // daemons that know the same don't all choose the same
		if cost < lowest {
			best, lowest = u, cost
		}
	}
	return best
}

// stay returns the preferred upstream, or the first in the order of the key's
// hash, that has not clearly more to do than the others.
func (p *Picker) stay(list []fleet.Upstream, c Case) fleet.Upstream {
	total := 0.0
	for _, u := range list {
		total += p.load(u) * float64(u.Batch)
	}
	mean := total / float64(len(list))
	limit := mean*spillShare + spillMore
	var best fleet.Upstream
	top := -1.0
	for _, u := range list {
		if p.load(u)*float64(u.Batch) > limit {
			continue
		}
		if u.ID == c.Prefer {
			return u
		}
		if w := weight(c.Key, u.ID); w > top {
			best, top = u, w
		}
	}
	if top < 0 {
		return p.least(list)
	}
	return best
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
	if p.known == nil {
		p.known = map[string]*state{}
	}
	s := p.known[id]
	if s == nil {
		s = &state{}
		p.known[id] = s
	}
	return s
}

// Done ends a request.
func (p *Picker) Done(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.known[id]; s != nil && s.own > 0 {
		s.own--
	}
}

// Full notes that an upstream shed a request.
func (p *Picker) Full(now time.Time, id string) { p.avoid(now.Add(fullFor), id) }

// Failed notes that an upstream could not be reached or broke off.
func (p *Picker) Failed(now time.Time, id string) { p.avoid(now.Add(failedFor), id) }

func (p *Picker) avoid(until time.Time, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.state(id); until.After(s.avoid) {
		s.avoid = until
	}
}

// Own returns what this daemon has under way at each upstream.
func (p *Picker) Own() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]int{}
	for id, s := range p.known {
		if s.own > 0 {
			out[id] = s.own
		}
	}
	return out
}

// Heard takes what another daemon has under way.
func (p *Picker) Heard(now time.Time, from string, load map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers == nil {
		p.peers = map[string]peer{}
	}
	p.peers[from] = peer{at: now, load: load}
	p.sum(now)
}

// sum adds up what others have under way, without those not heard of for long.
func (p *Picker) sum(now time.Time) {
	for _, s := range p.known {
		s.others = 0
	}
	for name, other := range p.peers {
		if now.Sub(other.at) > peerAge {
			delete(p.peers, name)
			continue
		}
		for id, n := range other.load {
			p.state(id).others += n
		}
	}
}

// Forget drops what is known of upstreams that are not listed any more and have
// nothing under way.
func (p *Picker) Forget(listed func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.known {
		if s.own == 0 && !listed(id) {
			delete(p.known, id)
		}
	}
}
