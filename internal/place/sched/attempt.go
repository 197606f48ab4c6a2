package sched

import (
	"slices"
	"time"

	"github.com/slaterock/slaterock/internal/place/hedge"
	"github.com/slaterock/slaterock/internal/place/retry"
	"github.com/slaterock/slaterock/internal/place/speed"
)

type (
	// request is one request from its Submit to the end of its attempts.
	request struct {
		submit     Submit
		arrived    time.Time
		notBefore  time.Time // end of the backoff after a failed attempt
		lastFailed string    // upstream of the last failed attempt
		queued     bool
		used       bool       // the slot holds a request
		attempts   [2]attempt // the second is a hedge
	}

	// serviceStats holds the statistics of one service over all its upstreams.
	serviceStats struct {
		hedge hedge.Hedge
		speed speed.Speed
	}

	attempt struct {
		up         int
		at         time.Time
		first      time.Time
		uncached   int     // tokens expected to be computed
		concurrent float64 // other requests at the upstream when it was sent
		active     bool
	}
)

func (r *request) avoids(name string) bool {
	return name == r.lastFailed || slices.Contains(r.submit.Avoid, name)
}

func (r *request) start(t attempt) {
	if r.attempts[0].active {
		r.attempts[1] = t
		return
	}
	r.attempts[0] = t
}

func (r *request) active() bool { return r.attempts[0].active || r.attempts[1].active }

func (r *request) attempt(up int) *attempt {
	for i := range r.attempts {
		if t := &r.attempts[i]; t.active && t.up == up {
			return t
		}
	}
	return nil
}

// open allocates a slot for the request.
func (s *Sched) open(now time.Time, a Submit, lastFailed failure, again bool) int32 {
	var slot int32
	if n := len(s.freeSlots); n > 0 {
		slot, s.freeSlots = s.freeSlots[n-1], s.freeSlots[:n-1]
	} else {
		slot = int32(len(s.requests))
		s.requests = append(s.requests, request{})
	}
	r := &s.requests[slot]
	*r = request{submit: a, arrived: now, notBefore: now, used: true}
	if again {
		r.lastFailed = lastFailed.upstream
		r.notBefore = now.Add(retry.Delay(lastFailed.tries, s.rng.Float64()))
	}
	s.byID[a.ID] = slot
	s.accounts[a.Account]++
	return slot
}

func (s *Sched) close(slot int32) {
	r := &s.requests[slot]
	delete(s.byID, r.submit.ID)
	s.accounts[r.submit.Account]--
	if s.accounts[r.submit.Account] <= 0 {
		delete(s.accounts, r.submit.Account)
	}
	*r = request{}
	s.freeSlots = append(s.freeSlots, slot)
}

func (s *Sched) cancel(now time.Time, id string) {
	slot, ok := s.byID[id]
	if !ok {
		return
	}
	r := &s.requests[slot]
	g := s.groups[r.submit.Group]
	if r.queued {
		g.queue.Remove(slot)
	}
	for i := range r.attempts {
		if t := &r.attempts[i]; t.active {
			s.end(now, t)
			s.ups[t.up].breaker.Abandon()
		}
	}
	s.close(slot)
	s.dispatch(now, g)
}

func (s *Sched) end(now time.Time, t *attempt) {
	t.active = false
	s.ups[t.up].load.End(now)
}

func (s *Sched) first(now time.Time, m First) {
	slot, ok := s.byID[m.ID]
	if !ok {
		return
	}
	r := &s.requests[slot]
	t := r.attempt(s.upstream(m.Upstream))
	if t == nil || !t.first.IsZero() {
		return
	}
	t.first = now
	if r.submit.Service != "" {
		return
	}
	u := s.ups[t.up]
	sp := u.speed.Blend(now, &u.group.speed)
	u.limit.Observe(now.Sub(t.at).Seconds(), sp.Expected(t.uncached), u.load.Inflight())
}

func (s *Sched) upstream(name string) int {
	if i, ok := s.byName[name]; ok {
		return i
	}
	return none
}

func (s *Sched) done(now time.Time, m Done) {
	slot, ok := s.byID[m.ID]
	if !ok {
		return
	}
	r := &s.requests[slot]
	t := r.attempt(s.upstream(m.Upstream))
	if t == nil {
		return
	}
	g := s.groups[r.submit.Group]
	s.end(now, t)
	s.recordOutcome(now, r, t, m)
	if !r.active() && !r.queued {
		s.releaseLate(r, m.Upstream)
		s.close(slot)
	}
	s.freedUpstream = s.upstream(m.Upstream)
	s.dispatch(now, g)
	s.freedUpstream = none
}

// recordOutcome updates the breaker, the limit and the estimates.
func (s *Sched) recordOutcome(now time.Time, r *request, t *attempt, m Done) {
	u := s.ups[t.up]
	switch m.Outcome {
	case Succeeded:
		u.breaker.Succeed()
		delete(s.failed, m.ID)
		s.observe(now, r, t, m)
	case Failed, Unsent:
		u.breaker.Fail(now, s.rng.Float64())
		u.limit.Drop()
		f := s.failed[m.ID]
		s.failed[m.ID] = failure{at: now, upstream: u.name, sent: f.sent || m.Outcome == Failed, tries: f.tries + 1}
	case Cancelled:
		u.breaker.Abandon()
	}
}

func (s *Sched) observe(now time.Time, r *request, t *attempt, m Done) {
	u, took := s.ups[t.up], now.Sub(t.at)
	g := u.group
	u.speed.ObserveCall(now, took)
	g.speed.ObserveCall(now, took)
	if r.submit.Service != "" {
		s.observeTime(now, u, &g.callTime, t.concurrent, took.Seconds())
		sv := s.serviceStats(r.submit.Service)
		sv.speed.ObserveCall(now, took)
		sv.hedge.Observe(now, took)
		u.limit.Observe(took.Seconds(), sv.speed.LongMean(), u.load.Inflight()+1)
		return
	}
	s.index.Confirm(t.up, r.submit.Blocks, m.Usage.Cached)
	if t.first.IsZero() {
		return
	}
	u.speed.ObservePrefill(t.first.Sub(t.at), m.Usage.Prompt-m.Usage.Cached)
	g.speed.ObservePrefill(t.first.Sub(t.at), m.Usage.Prompt-m.Usage.Cached)
	if g.answerTokens == 0 {
		g.answerTokens = float64(m.Usage.Output)
	}
	g.answerTokens += outputAlpha * (float64(m.Usage.Output) - g.answerTokens)
	if m.Usage.Output > 1 {
		each := now.Sub(t.first).Seconds() / float64(m.Usage.Output)
		concurrent := (t.concurrent + float64(u.load.Inflight()) + u.load.Others(now)) / 2
		s.observeTime(now, u, &g.tokenTime, concurrent, each)
	}
}

const outputAlpha = 0.05

func (s *Sched) serviceStats(name string) *serviceStats {
	v := s.services[name]
	if v == nil {
		v = &serviceStats{}
		s.services[name] = v
	}
	return v
}

// hedge starts a second attempt of idempotent service calls that have taken
// longer than the 95th percentile, while the hedge budget lasts.
func (s *Sched) hedge(now time.Time) {
	for slot := range s.requests {
		r := &s.requests[slot]
		t := &r.attempts[0]
		if !r.used || !t.active || r.attempts[1].active || !r.submit.Idempotent || !s.cfg.Services[r.submit.Service].Hedge {
			continue
		}
		after, ok := s.serviceStats(r.submit.Service).hedge.After()
		if !ok || now.Sub(t.at) <= after || !t.first.IsZero() {
			continue
		}
		s.sendHedge(now, int32(slot))
	}
}

func (s *Sched) sendHedge(now time.Time, slot int32) {
	r := &s.requests[slot]
	lastFailed := r.lastFailed
	r.lastFailed = s.ups[r.attempts[0].up].name // pick must avoid the upstream of the first attempt
	c := s.pick(now, r)
	r.lastFailed = lastFailed
	if c.withRoom == none || !s.hedges.Spend() {
		return
	}
	s.send(now, slot, c.withRoom, true)
}
