package pick

import (
	"math"
	"time"
)

// RecordFull records that an upstream shed a request.
func (p *Picker) RecordFull(now time.Time, id string) { p.avoidUntil(now.Add(fullBackoff), id) }

// RecordFailure records that an upstream was unreachable or broke off a response.
func (p *Picker) RecordFailure(now time.Time, id string) {
	p.avoidUntil(now.Add(failureBackoff), id)
	p.RecordOutcome(now, id, 0, true)
}

// RecordOutcome records the outcome of a request: the time taken as a multiple of the
// usual, 0 if unknown, and whether it failed.
func (p *Picker) RecordOutcome(now time.Time, id string, slowdown float64, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(id)
	fade := math.Exp2(-float64(now.Sub(s.lastOutcome)) / float64(outcomeHalfLife))
	if s.lastOutcome.IsZero() {
		fade = 0
	}
	s.lastOutcome = now
	s.failureRate *= fade * (1 - outcomeWeight)
	if failed {
		s.failureRate += outcomeWeight
	}
	if slowdown <= 0 {
		return
	}
	if s.slowdown == 0 {
		s.slowdown = 1
	}
	s.slowdown = 1 + (s.slowdown-1)*fade
	s.slowdown += outcomeWeight * (min(slowdown, 10) - s.slowdown)
}

func (p *Picker) avoidUntil(until time.Time, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.state(id); until.After(s.avoidUntil) {
		s.avoidUntil = until
	}
}

// outcomes returns the costs expected from recent failures and recent slowness, which decay with
// time.
func (s *state) outcomes(now time.Time) (failing, slow float64) {
	if s.lastOutcome.IsZero() {
		return 0, 0
	}
	fade := math.Exp2(-float64(now.Sub(s.lastOutcome)) / float64(outcomeHalfLife))
	return fade * failureCost * s.failureRate, fade * slowCost * max(s.slowdown-slowThreshold, 0)
}
