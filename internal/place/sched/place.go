package sched

import (
	"time"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/place/score"
	"github.com/slaterock/slaterock/internal/plat/engine"
)

const (
	// sample is the number of upstreams drawn for comparison from the whole
	// group, and again from those that hold a part of the prompt. Owners that
	// compared all upstreams by the same reports would all choose the same one.
	sample = 3
	none   = -1
	// Maximum number of calls per program that laterCalls assumes, as a program
	// may move before it ends.
	maxCalls = 8
	// Weight of other owners' average load in the cost of later calls. The
	// estimate is so noisy that programs would move after each fluctuation.
	othersWeight = 0.3
	// Assumptions before the first measurements: the calls of a program, the
	// share of its lifetime that it has one in flight, and the relative slowdown
	// by each concurrent request. With zeros, an owner would place all its first
	// programs on the upstream of the first one.
	defaultCalls     = 4
	defaultBusyShare = 0.3
	defaultRise      = 0.1
)

type (
	// choice holds the cheapest upstream and the cheapest of those that have
	// room for one more request now.
	choice struct {
		home                   int // where the program was last placed, or none
		best, withRoom         int
		bestCost, withRoomCost float64
	}
)

// pick compares a sample of the upstreams for the request, or all of them if none of
// the sample is usable. It records no placement.
func (s *Sched) pick(now time.Time, r *request) choice {
	c := choice{best: none, withRoom: none}
	g := s.groups[r.submit.Group]
	if g == nil || len(g.ups) == 0 {
		return c
	}
	promptTokens := 0
	for _, b := range r.submit.Blocks {
		promptTokens += b.Tokens
	}
	promptTokens = max(promptTokens, r.submit.Prompt)
	matches := s.index.Match(r.submit.Blocks)
	c.home = none
	if home, ok := s.index.Home(r.submit.Program); ok {
		c.home = home
	}
	bestWeight := 0.0
	for _, m := range matches {
		bestWeight = max(bestWeight, m.Weight)
	}
	if c.home != none {
		s.compare(now, &c, g, c.home, r, promptTokens, bestWeight)
	}
	if s.freedUpstream != none {
		s.compare(now, &c, g, s.freedUpstream, r, promptTokens, bestWeight)
	}
	for range min(sample, len(matches)) {
		s.compare(now, &c, g, matches[s.rng.IntN(len(matches))].Engine, r, promptTokens, bestWeight)
	}
	for range sample {
		s.compare(now, &c, g, g.ups[s.rng.IntN(len(g.ups))], r, promptTokens, bestWeight)
	}
	if c.best != none {
		return c
	}
	for _, i := range g.ups {
		s.compare(now, &c, g, i, r, promptTokens, bestWeight)
	}
	return c
}

func (s *Sched) compare(now time.Time, c *choice, g *group, i int, r *request, promptTokens int, bestWeight float64) {
	u := s.ups[i]
	if u.group != g || !u.usable(now) || !u.serves(r.submit.Model) || r.avoids(u.name) {
		return
	}
	cost := s.weights.Cost(s.estimate(now, g, i, promptTokens, bestWeight, s.index.TotalWeight(), i == c.home))
	if c.home != none && c.home != i {
		cost += s.weights.MoveThreshold()
	}
	if c.best == none || cost < c.bestCost {
		c.best, c.bestCost = i, cost
	}
	if u.hasRoom(now) && (c.withRoom == none || cost < c.withRoomCost) {
		c.withRoom, c.withRoomCost = i, cost
	}
}

func (s *Sched) estimate(now time.Time, g *group, i, promptTokens int, bestWeight, promptWeight float64, stays bool) score.Candidate {
	u := s.ups[i]
	sp := u.speed.Blend(now, &g.speed)
	n := float64(u.load.Inflight()) + u.load.Others(now)
	capacity := u.load.Slots()
	if capacity == 0 {
		capacity = float64(u.limit.Value()) + u.load.Others(now)
	}
	m := s.index.Matched(i)
	missing := promptTokens - m.Tokens
	requestTime, rise := g.requestTime(n)
	factor := s.paces.Factor(now, u.pace())
	return score.Candidate{
		Queued:      max(0, n+1-capacity),
		Capacity:    capacity,
		Mean:        sp.Mean(),
		ServiceTime: requestTime * factor,
		Slowdown:    rise * n,
		LaterCalls:  s.laterCalls(now, g, i, factor, stays),
		PerToken:    sp.PerToken(),
		Missing:     missing,
		Shared:      max(0, float64(missing)-(promptWeight-m.Weight)),
		Lost:        max(0, bestWeight-m.Weight),
		Evicted:     evicted(u, missing),
	}
}

// laterCalls estimates the cost in seconds of a program's later calls at the
// upstream: the time of each and the slowdown that it causes to others. Their
// number is the group's mean minus one, however many the program has made.
// Programs stay where their prefix is cached, so the cost depends not on the
// current load but on the average one and the programs placed there.
func (s *Sched) laterCalls(now time.Time, g *group, i int, factor float64, stays bool) float64 {
	programCalls := min(g.programCalls, maxCalls)
	if programCalls == 0 {
		programCalls = defaultCalls
	}
	programCalls--
	if programCalls <= 0 {
		return 0
	}
	homes := s.index.Homes(i)
	if stays {
		homes-- // itself
	}
	n := othersWeight*s.ups[i].load.AverageOthers(now) + g.busyShare*float64(homes)
	requestTime, rise := g.requestTime(n)
	return programCalls * (requestTime*factor + rise*n)
}

// requestTime returns the seconds that one request takes with n others in flight,
// for engines after its prefill, and how much each of them adds.
func (g *group) requestTime(n float64) (seconds, rise float64) {
	if g.conf.Kind == file.Services {
		return g.callTime.At(n), g.callTime.Rise()
	}
	if !g.tokenTime.Known() {
		return g.speed.Mean(), defaultRise * g.speed.Mean()
	}
	return g.answerTokens * g.tokenTime.At(n), g.answerTokens * g.tokenTime.Rise()
}

func evicted(u *upstream, missing int) int {
	free, known := u.load.FreeTokens()
	if !known {
		return 0
	}
	return min(max(0, missing-free), missing)
}

// dispatch sends queued requests in order while there is room. A request whose
// cheapest upstream is full is skipped for up to maxHold: waiting there costs
// less than its prefill elsewhere.
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

// place returns the upstream to which to send the request; ok is false if it
// is not to be sent now.
func (s *Sched) place(now time.Time, slot int32) (up int, ok bool) {
	r := &s.requests[slot]
	if now.Before(r.notBefore) {
		return none, false
	}
	c := s.pick(now, r)
	if c.withRoom == none {
		return none, false
	}
	if c.withRoom != c.best && c.bestCost < c.withRoomCost && now.Sub(r.arrived) < maxHold {
		return none, false
	}
	return c.withRoom, true
}

func (s *Sched) send(now time.Time, slot int32, up int, second bool) {
	r, u := &s.requests[slot], s.ups[up]
	expected := s.uncached(up, r.submit.Blocks, r.submit.Prompt)
	concurrent := float64(u.load.Inflight()) + u.load.Others(now)
	r.start(attempt{up: up, at: now, uncached: expected, concurrent: concurrent, active: true})
	r.queued = false
	u.load.Start(now)
	u.breaker.Sent(now)
	if len(r.submit.Blocks) > 0 {
		s.index.Placed(r.submit.Program, up)
	}
	s.emit(Assign{ID: r.submit.ID, Upstream: u.name, Address: u.conf.Address, Hedge: second})
}

// uncached returns the tokens of the prompt that the upstream must compute.
func (s *Sched) uncached(up int, blocks []engine.Block, prompt int) int {
	if len(blocks) == 0 {
		return prompt
	}
	s.index.Match(blocks)
	total := 0
	for _, b := range blocks {
		total += b.Tokens
	}
	return total - s.index.Matched(up).Tokens
}
