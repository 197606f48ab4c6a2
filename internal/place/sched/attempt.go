package sched

import (
	"slices"
	"time"

	"github.com/slaterock/slaterock/internal/place/hedge"
	"github.com/slaterock/slaterock/internal/place/retry"
	"github.com/slaterock/slaterock/internal/place/speed"
)

type (
	// request is one request from its Ask to the end of its attempts.
	request struct {
		ask     Ask
		arrived time.Time
		due     time.Time // not sent before
		last    string    // the upstream that failed it last
		queued  bool
		used    bool
		tries   [2]try // the second is a hedge
	}

	// service is what was learnt of one service, wherever it ran.
	service struct {
		hedge hedge.Hedge
		speed speed.Speed
	}

	try struct {
		up       int
		at       time.Time
		first    time.Time
		uncached int     // tokens expected to be computed
		beside   float64 // requests at the upstream when it was sent
		active   bool
	}
)

func (r *request) avoids(name string) bool {
	return name == r.last || slices.Contains(r.ask.Avoid, name)
}

func (r *request) start(t try) {
	if r.tries[0].active {
		r.tries[1] = t
		return
	}
	r.tries[0] = t
}

func (r *request) active() bool { return r.tries[0].active || r.tries[1].active }

func (r *request) try(up int) *try {
	for i := range r.tries {
		if t := &r.tries[i]; t.active && t.up == up {
			return t
		}
	}
	return nil
}

// open takes a slot for the request.
func (s *Sched) open(now time.Time, a Ask, last failure, again bool) int32 {
	var slot int32
	if n := len(s.free); n > 0 {
		slot, s.free = s.free[n-1], s.free[:n-1]
	} else {
		slot = int32(len(s.requests))
		s.requests = append(s.requests, request{})
	}
	r := &s.requests[slot]
	*r = request{ask: a, arrived: now, due: now, used: true}
	if again {
		r.last = last.upstream
		r.due = now.Add(retry.Delay(last.tries, s.rng.Float64()))
	}
	s.byID[a.ID] = slot
	s.accounts[a.Account]++
	return slot
}

func (s *Sched) close(slot int32) {
	r := &s.requests[slot]
	delete(s.byID, r.ask.ID)
	s.accounts[r.ask.Account]--
	if s.accounts[r.ask.Account] <= 0 {
		delete(s.accounts, r.ask.Account)
	}
	*r = request{}
	s.free = append(s.free, slot)
}

func (s *Sched) withdraw(now time.Time, id string) {
	slot, ok := s.byID[id]
	if !ok {
		return
	}
	r := &s.requests[slot]
	g := s.groups[r.ask.Group]
	if r.queued {
		g.queue.Remove(slot)
	}
	for i := range r.tries {
		if t := &r.tries[i]; t.active {
			s.end(now, t)
			s.ups[t.up].brk.Abandon()
		}
	}
	s.close(slot)
	s.dispatch(now, g)
}

func (s *Sched) end(now time.Time, t *try) {
	t.active = false
	s.ups[t.up].load.End(now)
}

func (s *Sched) first(now time.Time, m First) {
	slot, ok := s.byID[m.ID]
	if !ok {
		return
	}
	r := &s.requests[slot]
	t := r.try(s.upstream(m.Upstream))
	if t == nil || !t.first.IsZero() {
		return
	}
	t.first = now
	if r.ask.Service != "" {
		return
	}
	u := s.ups[t.up]
	sp := u.speed.Among(now, &u.group.speed)
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
	t := r.try(s.upstream(m.Upstream))
	if t == nil {
		return
	}
	g := s.groups[r.ask.Group]
	s.end(now, t)
	s.judge(now, r, t, m)
	if !r.active() && !r.queued {
		s.late(r, m.Upstream)
		s.close(slot)
	}
	s.freed = s.upstream(m.Upstream)
	s.dispatch(now, g)
	s.freed = none
}

// judge learns from how the attempt ended.
func (s *Sched) judge(now time.Time, r *request, t *try, m Done) {
	u := s.ups[t.up]
	switch m.Outcome {
	case Succeeded:
		u.brk.Succeed()
		delete(s.failed, m.ID)
		s.learn(now, r, t, m)
	case Failed, Unsent:
		u.brk.Fail(now, s.rng.Float64())
		u.limit.Drop()
		f := s.failed[m.ID]
		s.failed[m.ID] = failure{at: now, upstream: u.name, sent: f.sent || m.Outcome == Failed, tries: f.tries + 1}
	case Withdrawn:
		u.brk.Abandon()
	}
}

func (s *Sched) learn(now time.Time, r *request, t *try, m Done) {
	u, took := s.ups[t.up], now.Sub(t.at)
	g := u.group
	u.speed.Call(now, took)
	g.speed.Call(now, took)
	if r.ask.Service != "" {
		u.speed.Pace(took.Seconds(), g.call.At(t.beside))
		g.call.Observe(t.beside, took.Seconds())
		sv := s.service(r.ask.Service)
		sv.speed.Call(now, took)
		sv.hedge.Observe(now, took)
		u.limit.Observe(took.Seconds(), sv.speed.Usual(), u.load.Inflight()+1)
		return
	}
	s.index.Found(t.up, r.ask.Blocks, m.Usage.Cached)
	if t.first.IsZero() {
		return
	}
	u.speed.Prefill(t.first.Sub(t.at), m.Usage.Prompt-m.Usage.Cached)
	g.speed.Prefill(t.first.Sub(t.at), m.Usage.Prompt-m.Usage.Cached)
	if g.output == 0 {
		g.output = float64(m.Usage.Output)
	}
	g.output += outputShare * (float64(m.Usage.Output) - g.output)
	if m.Usage.Output > 1 {
		each := now.Sub(t.first).Seconds() / float64(m.Usage.Output)
		beside := (t.beside + float64(u.load.Inflight()) + u.load.Others(now)) / 2
		u.speed.Pace(each, g.decode.At(beside))
		g.decode.Observe(beside, each)
	}
}

const outputShare = 0.05

func (s *Sched) service(name string) *service {
	v := s.services[name]
	if v == nil {
		v = &service{}
		s.services[name] = v
	}
	return v
}

// hedge starts a second attempt of idempotent service calls that have taken
// longer than 95 of 100, while the hedge budget lasts.
func (s *Sched) hedge(now time.Time) {
	for slot := range s.requests {
		r := &s.requests[slot]
		t := &r.tries[0]
		if !r.used || !t.active || r.tries[1].active || !r.ask.Idempotent || !s.cfg.Services[r.ask.Service].Hedge {
			continue
		}
		after, ok := s.service(r.ask.Service).hedge.After()
		if !ok || now.Sub(t.at) <= after || !t.first.IsZero() {
			continue
		}
		s.second(now, int32(slot))
	}
}

func (s *Sched) second(now time.Time, slot int32) {
	r := &s.requests[slot]
	last := r.last
	r.last = s.ups[r.tries[0].up].name
	c := s.pick(now, r)
	r.last = last
	if c.free == none || !s.hedges.Spend() {
		return
	}
	s.send(now, slot, c.free, true)
}
