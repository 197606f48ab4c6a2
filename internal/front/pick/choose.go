package pick

import (
	"math"
	"time"

	"github.com/slaterock/slaterock/internal/front/fleet"
)

type (
	// selection is the search for the candidate with the lowest cost.
	selection struct {
		p          *Picker
		r          *Request
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
	s := selection{p: p, r: &r, now: now, confidence: p.confidence(), lowest: math.Inf(1)}
	s.run()
	if s.best == nil {
		return u, false
	}
	p.state(s.best.ID).ownInFlight++
	return *s.best, true
}

func (s *selection) run() {
	switch {
	case s.r.Only != "":
		s.compareID(s.r.Only)
	default:
		s.compareAll()
	}
}

func (s *selection) compareAll() {
	for i := range s.r.Candidates.Len() {
		s.compare(s.r.Candidates.At(i))
	}
}

func (s *selection) compareID(id string) {
	if u, found := s.r.Candidates.Find(id); found {
		s.compare(u)
	}
}

// compare makes an upstream the best one if it is eligible and its cost is the lowest so far.
func (s *selection) compare(u *fleet.Upstream) {
	if s.r.Only == "" && (u.Leaving || s.r.Exclude[u.ID]) {
		return
	}
	if cost := s.p.cost(s.now, u, s.r, s.confidence); cost < s.lowest {
		s.best, s.lowest = u, cost
	}
}
