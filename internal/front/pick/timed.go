package pick

import (
	"github.com/slaterock/slaterock/internal/front/fleet"
)

const (
	// laterWeight is the weight of a later turn, of which maxLater count at most: the program may
	// move or end before, and the load will be another.
	laterWeight = 0.5
	maxLater    = 4.0
	// minFactor and maxFactor bound the factors that are used. While engines are overloaded the mean
	// time of a service is long, and the fast ones look even faster than they are when idle.
	minFactor = 0.5
	maxFactor = 4.0
	// moveMargin is the multiple of the prefill that a program which moves is charged, since the
	// expected times at both upstreams have errors.
	moveMargin = 2.0
	// subsetSize is the number of candidates of the usual speed among which a program chooses;
	// faster ones are in more subsets. So only a part of all programs can go to one upstream before
	// its load is known. Without subsets the fastest engines had up to 37 turns for 16 places, and
	// with loads 0.06 s old programs took 1.5 times as long as with the all-knowing choice.
	subsetSize = 5.0
	// outsideCost is added for the other candidates, more than all but avoidCost.
	outsideCost = 1e5
)

type (
	// Work is what is expected of a request, in milliseconds at an upstream of the mean speed of
	// its service.
	Work struct {
		Alone float64 // time without other requests there and without the prefill of its prompt; 0 if unknown
		Later float64 // further requests of its program that are expected
	}

	// weighed is the cost of an upstream if all are of the same speed, and its parts.
	weighed struct {
		cost       float64
		fixed      float64 // part that does not depend on load and speed
		hash       float64 // of the program or daemon and the upstream, 0 to 1
		own, peers int     // requests in flight there
	}

	// timed is the search for the candidate with the lowest cost by expected time. It is used if
	// the factors of the candidates that were compared differ.
	timed struct {
		best   *fleet.Upstream
		lowest float64
		differ bool
	}
)

// compareTime makes an upstream the best one by expected time if its cost is the lowest so far.
func (s *selection) compareTime(u *fleet.Upstream, w weighed) {
	factor := s.p.Factor(u)
	s.timed.differ = s.timed.differ || factor != 1
	if cost := s.p.timedCost(u, &s.r, s.confidence, w, factor); cost < s.timed.lowest {
		s.timed.best, s.timed.lowest = u, cost
	}
}

// timedCost returns the expected time of the request at an upstream, the time that it costs the
// requests that are there, and for a turn both for the later turns of its program. All requests
// that are known to be in flight count fully, also if the reports are old: a program stays at
// its engine for many times that age, and is hard to move from one that is overloaded.
func (p *Picker) timedCost(u *fleet.Upstream, r *Request, confidence float64, w weighed, factor float64) float64 {
	load, batch := float64(w.own+w.peers), float64(max(u.Batch, 1))
	factor = min(max(factor, minFactor), maxFactor)
	noise := (noiseCost + spreadCost*(1-confidence)) * w.hash
	wait := queueCost * max(load-batch+1, 0) / batch
	if r.Key == "" {
		share := min(load/batch, 1)
		return w.fixed + factor*(r.Work.Alone+loadCost*share*share) + wait + noise
	}
	cost := w.fixed
	if u.ID != r.Prefer {
		prefill := p.prefillTokens(u, r) / prefillPerMs
		cost += prefill * (factor + load)
		if r.Prefer != "" {
			cost += prefill * (moveMargin - 1)
		}
		if !p.inSubset(u, r, w.hash*factor) {
			cost += outsideCost
		}
	}
	turns := 1 + laterWeight*min(r.Work.Later, maxLater)
	if r.Prefer == "" {
		cost += turns * noise
	}
	return cost + turns*(factor*r.Work.Alone+contentionCost*load+wait)
}

// inSubset reports whether the request's program chooses among upstreams that include this one.
// Place is the product of the hash of the program and the upstream and its factor. A new program
// with shared parts also chooses among a part of the upstreams that have the longest beginning of
// them, as large as its part of all. If none has all of them, the other upstreams are the same few
// for all programs with these parts.
func (p *Picker) inSubset(u *fleet.Upstream, r *Request, place float64) bool {
	n := r.Candidates.Len()
	if r.Prefer != "" || len(r.Shared) == 0 {
		return place <= subset(n)
	}
	s := &p.sharing
	if s.holders > 0 && p.heldTokens(u) >= s.longest && place <= subset(s.holders) {
		return true
	}
	if !s.whole {
		place = weightOf(r.Shared[len(r.Shared)-1].ID, u.ID)
	}
	return place <= subset(n)
}

// subset returns the share of so many candidates among which a program chooses.
func subset(candidates int) float64 {
	return subsetSize / float64(min(candidates, sampleSize+recentSize))
}
