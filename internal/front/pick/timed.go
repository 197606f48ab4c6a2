package pick

import (
	"time"

	"github.com/slaterock/slaterock/internal/front/fleet"
)

// usualTime is the time constant of the average load of an upstream: about the time that a
// program stays there.
const usualTime = time.Second

const (
	// laterWeight is the weight of a later request, and laterLoad that of the present load in its
	// time: the program may move before, and the load will be another. With weights of 1 programs
	// followed the load around and moved more than once each (trial of TestProgramTime).
	laterWeight = 0.5
	laterLoad   = 0.5
	// moveMargin is the multiple of the prefill that a program which moves is charged, since the
	// expected times at both upstreams have errors.
	moveMargin = 2.0
	// subsetSize is the number of candidates of the usual speed among which a program chooses;
	// faster ones are in more subsets. So only a part of all programs can go to one upstream before
	// its load is known. Without subsets the fastest engines had up to 37 turns for 16 places, and
	// with loads 0.06 s old programs took 1.5 times as long as with the all-knowing choice.
	subsetSize = 5.0
	// minRise is the least that is assumed for Work.Rise of a turn, in milliseconds: the learned
	// line may be flat while the load hardly varies, and fast engines would then be overloaded.
	minRise = contentionCost
	// outsideCost is added for the other candidates, more than all but avoidCost.
	outsideCost = 1e5
)

type (
	// Work is what is expected of a request, in milliseconds at an upstream of the mean speed of
	// its service.
	Work struct {
		Alone float64 // time without other requests there and without the prefill of its prompt; 0 if unknown
		Rise  float64 // additional time for each other request in flight there
		Later float64 // further requests of its program that are expected
	}

	// weighed is the cost of an upstream if all are of the same speed, and its parts.
	weighed struct {
		cost       float64
		fixed      float64 // part that does not depend on load and speed
		hash       float64 // of the program or daemon and the upstream, 0 to 1
		own, peers int     // requests in flight there
		state      *state  // nil if there is none yet
	}

	// timed is the search for the candidate with the lowest cost by expected time. It is used if
	// the factors of the candidates that were compared differ.
	timed struct {
		best   *fleet.Upstream
		lowest float64
		differ bool
	}

	// average is a moving average over time. The zero value has no values yet.
	average struct {
		value float64
		at    time.Time
	}
)

// update adds the value at a time and returns the average.
func (a *average) update(now time.Time, value float64) float64 {
	age := now.Sub(a.at)
	switch {
	case a.at.IsZero():
		a.value, a.at = value, now
	case age > 0:
		a.value += (value - a.value) * float64(age) / float64(age+usualTime)
		a.at = now
	}
	return a.value
}

// compareTime makes an upstream the best one by expected time if its cost is the lowest so far.
func (s *selection) compareTime(u *fleet.Upstream, w weighed) {
	factor := s.p.Factor(u)
	s.timed.differ = s.timed.differ || factor != 1
	if cost := s.p.timedCost(s.now, u, &s.r, s.confidence, w, factor); cost < s.timed.lowest {
		s.timed.best, s.timed.lowest = u, cost
	}
}

// timedCost returns the expected time of the request at an upstream, the time that it costs the
// requests that are there, and both for the later requests of its program.
//
// The load is that of other daemons as reported now, or their average where the report is old:
// daemons that relied on old reports would all select the same fast upstream, and daemons that
// ignored them would overload all fast ones.
func (p *Picker) timedCost(now time.Time, u *fleet.Upstream, r *Request, confidence float64, w weighed, factor float64) float64 {
	own, peers, batch := float64(w.own), float64(w.peers), float64(max(u.Batch, 1))
	if w.state == nil {
		w.state = p.state(u.ID)
	}
	usual := w.state.usual.update(now, peers)
	load, work := own+usual+confidence*(peers-usual), r.Work
	if r.Key != "" {
		work.Rise = max(work.Rise, minRise)
	}
	cost := work.at(load, batch) + laterWeight*work.Later*work.at(laterLoad*(own+usual), batch)
	if r.Key == "" {
		share := min(load/batch, 1)
		return w.fixed + factor*(cost+loadCost*share*share) + (noiseCost+spreadCost*(1-confidence))*w.hash
	}
	if u.ID != r.Prefer {
		prefill := p.prefillTokens(u, r) / prefillPerMs
		cost += prefill * (1 + load)
		if r.Prefer != "" {
			cost += prefill * (moveMargin - 1)
		}
		if !p.inSubset(u, r, w.hash*factor) {
			w.fixed += outsideCost
		}
	}
	if r.Prefer == "" {
		cost += (noiseCost + spreadCost*(1-confidence)*max(2*work.Rise/contentionCost, 1)) * w.hash
	}
	return w.fixed + factor*cost
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

// at returns the time of a request with so many others at the upstream, and the time that it costs
// these. Those beyond the batch size wait for a place.
func (w *Work) at(load, batch float64) float64 {
	wait := max(load-batch+1, 0) / batch
	return w.Alone + 2*w.Rise*load + wait*(w.Alone+w.Rise*batch)
}
