package gate

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a program that waits although so many come before it that it can't begin in
// time, against callers that all retry in the same moment, and against a priority of which
// none waits any more for its part.
func TestForecast(t *testing.T) {
	is := is.New(t)
	var g Gate
	now := start
	begin := func(e Arrive) []Op {
		e.LatestStart = now.Add(400 * time.Millisecond)
		e.Load.Capacity = 100
		return g.Step(now, e)
	}
	for i := range uint64(30) { // ten a second
		now = now.Add(100 * time.Millisecond)
		is.Equal(begin(Arrive{Ticket: i, Load: Load{InFlight: 10}}), []Op{Admit{i}})
	}
	for i := range uint64(12) {
		is.Equal(begin(Arrive{Ticket: 100 + i, Load: Load{InFlight: 100}}), nil)
	}
	is.Equal(begin(Arrive{Ticket: 200, Priority: 1, Load: Load{InFlight: 100}}), nil)
	times := map[time.Duration]bool{}
	for i := range uint64(20) {
		ops := begin(Arrive{Ticket: 201 + i, Priority: 1, Load: Load{InFlight: 100}})
		is.Equal(len(ops), 1)
		r, refused := ops[0].(Refuse)
		is.True(refused && r.After >= minAfter*8/10 && r.After <= After)
		times[r.After] = true
	}
	is.True(len(times) > 10)
	is.Equal(begin(Arrive{Ticket: 300, Load: Load{InFlight: 100}}), nil) // urgent ones still wait
}
