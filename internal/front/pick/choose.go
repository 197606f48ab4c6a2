package pick

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/slaterock/slaterock/internal/front/fleet"
)

const (
	// maxWalk is the number of candidates up to which all are compared. Of more, these are:
	// the one that has the prompt cached, maxHolders that have its shared parts, those selected
	// last, which may have an open connection, and sampleSize others at random. The least loaded
	// of so many is among the least loaded sixth of all but once in a thousand times.
	maxWalk    = 128
	sampleSize = 40
	// recentSize is the number of upstreams selected last that are compared, less the holders.
	recentSize = 32
)

type (
	// recent holds the ids of the upstreams that were selected last for a service. The zero
	// value is empty.
	recent struct {
		ids  [recentSize]string
		next int // index of the oldest id
	}

	// selection is the search for the candidate with the lowest cost.
	selection struct {
		p          *Picker
		r          Request // a copy, so that the caller's need not be on the heap
		now        time.Time
		confidence float64
		best       *fleet.Upstream
		lowest     float64
	}
)

// Choose selects the candidate with the lowest cost and counts the request as in flight
// there. It returns false if there is no eligible candidate. The caller must call Done
// when the request has ended.
func (p *Picker) Choose(now time.Time, r Request) (u fleet.Upstream, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := p.best(now, r)
	if best == nil {
		return u, false
	}
	p.state(best.ID).ownInFlight++
	p.remember(best)
	return *best, true
}

// Preview returns the candidate that Choose would select now, apart from chance.
func (p *Picker) Preview(now time.Time, r Request) (u fleet.Upstream, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := p.best(now, r)
	if best == nil {
		return u, false
	}
	return *best, true
}

// best returns the candidate with the lowest cost, nil if none is eligible.
func (p *Picker) best(now time.Time, r Request) *fleet.Upstream {
	s := selection{p: p, r: r, now: now, confidence: p.confidence(), lowest: math.Inf(1)}
	p.findHolders(now, &s.r)
	s.run()
	return s.best
}

func (s *selection) run() {
	all := s.r.Candidates
	switch n := all.Len(); {
	case s.r.Only != "":
		s.compareID(s.r.Only)
	case s.r.Confined:
		for _, id := range s.r.Among {
			s.compareID(id)
		}
	case n <= maxWalk:
		s.compareAll()
	default:
		s.compareSome(n)
		if s.lowest >= avoidCost { // none, or one that is to be avoided
			s.compareAll()
		}
	}
}

func (s *selection) compareAll() {
	for i := range s.r.Candidates.Len() {
		s.compare(s.r.Candidates.At(i))
	}
}

func (s *selection) compareSome(n int) {
	s.compareID(s.r.Prefer)
	holders := s.compareHolders()
	for range sampleSize {
		s.compare(s.r.Candidates.At(rand.IntN(n)))
	}
	last := s.p.recent[s.r.Candidates.At(0).Service]
	if last == nil {
		return
	}
	for _, id := range last.ids[holders:] {
		s.compareID(id)
	}
}

func (s *selection) compareID(id string) {
	if u, found := s.r.Candidates.Find(id); found {
		s.compare(u)
	}
}

// compare makes an upstream the best one if it is eligible and its cost is the lowest so far.
func (s *selection) compare(u *fleet.Upstream) {
	if s.r.HasVersion && u.Version != s.r.Version {
		return
	}
	if s.r.Only == "" && (u.Leaving || s.r.Exclude[u.ID]) {
		return
	}
	if cost := s.p.cost(s.now, u, &s.r, s.confidence); cost < s.lowest {
		s.best, s.lowest = u, cost
	}
}

// remember records that an upstream was selected.
func (p *Picker) remember(u *fleet.Upstream) {
	last := p.recent[u.Service]
	if last == nil {
		if p.recent == nil {
			p.recent = map[string]*recent{}
		}
		last = &recent{}
		p.recent[u.Service] = last
	}
	for _, id := range last.ids {
		if id == u.ID {
			return
		}
	}
	last.ids[last.next] = u.ID
	last.next = (last.next + 1) % recentSize
}
