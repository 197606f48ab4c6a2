package proxy

import (
	"time"

	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/place/pace"
)

type (
	// Paces compares the speeds of upstreams over all daemons.
	Paces interface {
		Observe(now time.Time, id pace.ID, measured, expected float64, confirmed bool) (long bool)
		Factor(id string, born int64) float64
	}

	// streamPace divides the events of a stream into samples of the upstream's speed.
	streamPace struct {
		stream pace.Stream
		id     pace.ID
	}
)

// factor returns the time of an upstream as a multiple of that of its service.
func (e *Endpoint) factor(u *fleet.Upstream) float64 {
	if e.Paces == nil {
		return 1
	}
	return e.Paces.Factor(u.ID, u.Born)
}

// event adds an event. It is compared with the mean time of the service, whatever the load: a line
// over load that is too steep would make an engine look the faster the more turns it runs, and
// draw still more to it. Compared with the mean, an engine that runs many turns looks slower.
func (p *streamPace) event(t *turn, s *exchange) {
	if t.e.Paces == nil {
		return
	}
	now := time.Now()
	if p.stream.Last.IsZero() {
		p.stream.Last, p.id = now, pace.IDOf(s.up.ID, s.up.Born)
		return
	}
	usual := t.e.Queue.MeanEventTime(t.service.Name)
	if usual <= 0 {
		p.stream.Last = now
		return
	}
	p.stream.Event(now, usual, p.observe(t, now))
}

// end adds what is left of a complete stream.
func (p *streamPace) end(t *turn) {
	if t.e.Paces != nil {
		p.stream.End(p.observe(t, time.Now()))
	}
}

func (p *streamPace) observe(t *turn, now time.Time) func(measured, expected float64, confirmed bool) bool {
	return func(measured, expected float64, confirmed bool) bool {
		return t.e.Paces.Observe(now, p.id, measured, expected, confirmed)
	}
}

// observeCall adds the duration of a complete call, which is a multiple (slowdown) of the mean of its
// route. A long one is no sign of a change, since work differs from call to call.
func (q *request) observeCall(s *exchange, slowdown float64) {
	if q.e.Paces == nil || slowdown <= 0 {
		return
	}
	took := time.Since(s.began).Seconds()
	q.e.Paces.Observe(time.Now(), pace.IDOf(s.up.ID, s.up.Born), took, took/slowdown, false)
}
