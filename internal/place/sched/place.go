package sched

import (
	"time"

	"github.com/slaterock/slaterock/internal/place/score"
	"github.com/slaterock/slaterock/internal/place/speed"
	"github.com/slaterock/slaterock/internal/plat/engine"
)

const (
	// sample is the number of upstreams that are compared, besides those that
	// hold a part of the prompt. Owners that all compared the whole fleet by
	// the same reports would all send to the same one.
	sample = 16
	none   = -1
)

type (
	// choice is the cheapest upstream, and the cheapest of those that have
	// room for one more request now.
	choice struct {
		best, free         int
		bestCost, freeCost float64
	}
)

// pick compares upstreams for the request without changing anything.
func (s *Sched) pick(now time.Time, r *request) choice {
	c := choice{best: none, free: none}
	g := s.groups[r.ask.Group]
	if g == nil {
		return c
	}
	total := 0
	for _, b := range r.ask.Blocks {
		total += b.Tokens
	}
	total = max(total, r.ask.Prompt)
	matches := s.index.Match(r.ask.Blocks)
	held := 0
	for _, m := range matches {
		held = max(held, m.Tokens)
	}
	n := len(g.ups)
	if n <= sample {
		first := s.rng.IntN(max(n, 1)) // so that equals are not always taken in order
		for i := range n {
			s.compare(now, &c, g, g.ups[(first+i)%n], r, total, held)
		}
		return c
	}
	for _, m := range matches {
		s.compare(now, &c, g, m.Engine, r, total, held)
	}
	for range sample {
		s.compare(now, &c, g, g.ups[s.rng.IntN(n)], r, total, held)
	}
	if c.best != none {
		return c
	}
	for _, i := range g.ups {
		s.compare(now, &c, g, i, r, total, held)
	}
	return c
}

func (s *Sched) compare(now time.Time, c *choice, g *group, i int, r *request, total, held int) {
	u := s.ups[i]
	if u.group != g || !u.usable(now) || !u.serves(r.ask.Model) || r.avoids(u.name) {
		return
	}
	cost := s.weights.Cost(s.weigh(now, g, i, total, held))
	if c.best == none || cost < c.bestCost {
		c.best, c.bestCost = i, cost
	}
	if u.room(now) && (c.free == none || cost < c.freeCost) {
		c.free, c.freeCost = i, cost
	}
}

func (s *Sched) weigh(now time.Time, g *group, i, total, held int) score.Case {
	u := s.ups[i]
	sp := u.speed.Among(now, &g.speed)
	own, others := float64(u.load.Inflight()), u.load.Others(now)
	cap := float64(u.limit.Value())
	missing := total - s.index.Matched(i)
	return score.Case{
		Inflight: own + others,
		Queued:   max(0, own+1-cap) + u.load.Waiting(now),
		Capacity: cap + others,
		Mean:     sp.Mean(),
		Service:  service(g, &sp),
		PerToken: sp.PerToken(),
		Missing:  missing,
		Lost:     max(0, held-s.index.Matched(i)),
		Evicted:  evicted(u, missing),
	}
}

func service(g *group, sp *speed.Speed) float64 {
	if g.output > 0 {
		return g.output * sp.PerOutput()
	}
	return sp.Mean()
}

func evicted(u *upstream, missing int) int {
	room, known := u.load.Room()
	if !known {
		return 0
	}
	return min(max(0, missing-room), missing)
}

// dispatch sends waiting requests, the first in order first, as long as there
// is room. A request whose best upstream is full is passed over for a while:
// its turn there costs less than its prefill elsewhere.
func (s *Sched) dispatch(now time.Time, g *group) {
	for i, seen := 0, 0; i < g.queue.Len() && seen < dispatchScan; seen++ {
		slot := g.queue.At(i).ID
		up, ok := s.place(now, slot)
		if !ok {
			i++
			continue
		}
		g.queue.RemoveAt(i)
		s.send(now, slot, up, false)
	}
}

// place returns where to send the request now, if it is to be sent now.
func (s *Sched) place(now time.Time, slot int32) (up int, ok bool) {
	r := &s.requests[slot]
	if now.Before(r.due) {
		return none, false
	}
	c := s.pick(now, r)
	if c.free == none {
		return none, false
	}
	if c.free != c.best && c.bestCost < c.freeCost && now.Sub(r.arrived) < holdLimit {
		return none, false
	}
	return c.free, true
}

func (s *Sched) send(now time.Time, slot int32, up int, second bool) {
	r, u := &s.requests[slot], s.ups[up]
	expected := s.uncached(up, r.ask.Blocks, r.ask.Prompt)
	r.start(up, now, expected)
	r.queued = false
	u.load.Start(now)
	u.brk.Sent(now)
	if len(r.ask.Blocks) > 0 {
		s.index.Placed(r.ask.Program, up)
	}
	s.emit(Assign{ID: r.ask.ID, Upstream: u.name, Address: u.conf.Address, Hedge: second})
}

// uncached returns how many tokens of the prompt the upstream must compute.
func (s *Sched) uncached(up int, blocks []engine.Block, prompt int) int {
	if len(blocks) == 0 {
		return prompt
	}
	s.index.Match(blocks)
	total := 0
	for _, b := range blocks {
		total += b.Tokens
	}
	return total - s.index.Matched(up)
}
