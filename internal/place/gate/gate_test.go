package gate

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.UnixMilli(1_000_000)

func arrive(ticket uint64, slack time.Duration, inFlight int) Arrive {
	return Arrive{Ticket: ticket, LatestStart: start.Add(slack), Load: load(inFlight, 1)}
}

func load(inFlight, daemons int) Load {
	return Load{InFlight: inFlight, Capacity: 100, Daemons: daemons, Staleness: 100 * time.Millisecond}
}

func TestStep(t *testing.T) {
	const second = time.Second
	refuse := func(ticket uint64) Op { return Refuse{Ticket: ticket, After: After} }
	type at struct {
		after time.Duration
		event Event
		want  []Op
	}
	cases := map[string][]at{
		"room": {{0, arrive(1, second, 10), []Op{Admit{1}}}},
		"no room, then room": {
			{0, arrive(1, second, 100), nil},
			{second / 2, Change{load(10, 1)}, []Op{Admit{1}}},
		},
		"no room in time": {
			{0, arrive(1, second, 100), nil},
			{second, Change{load(100, 1)}, []Op{refuse(1)}},
		},
		"in time no more, although there is room now": {
			{0, arrive(1, second, 100), nil},
			{second, Change{load(10, 1)}, []Op{refuse(1)}},
		},
		"the newest first": {
			{0, arrive(1, second, 100), nil},
			{0, arrive(2, second, 100), nil},
			{0, Change{load(100-1, 1)}, []Op{Admit{2}}},
			{0, Change{load(100-1, 1)}, []Op{Admit{1}}},
		},
		"late, and room":               {{0, arrive(1, 0, 10), []Op{Admit{1}}}},
		"late, and little room":        {{0, arrive(1, 0, int(100*lateFill)), []Op{refuse(1)}}},
		"late, behind those that wait": {{0, arrive(1, second, 100), nil}, {0, arrive(2, 0, 10), []Op{refuse(2)}}},
		"a caller that has left":       {{0, arrive(1, second, 100), nil}, {0, Cancel{1}, nil}, {0, Change{load(10, 1)}, nil}},
		"no engines":                   {{0, Arrive{Ticket: 1, LatestStart: start.Add(second)}, nil}, {second, Change{}, []Op{refuse(1)}}},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			var g Gate
			for _, s := range steps {
				is.New(t).Equal(g.Step(start.Add(s.after), s.event), s.want)
			}
		})
	}
}

// Programs wait at many daemons while the shared engines have capacity for three more
// turns. Every daemon sees those three free and learns only later what the others have
// admitted. If each admitted one program, the engines would be as overloaded as without
// a gate.
func TestDaemonsShareCapacity(t *testing.T) {
	const daemons, waiting, staleness = 54, 5, 370 * time.Millisecond
	is := is.New(t)
	gates := make([]Gate, daemons)
	full := Load{InFlight: 100, Capacity: 100, Daemons: daemons, Staleness: staleness}
	for i := range gates {
		for n := range uint64(waiting) {
			gates[i].Step(start, Arrive{Ticket: n, LatestStart: start.Add(time.Minute), Load: full})
		}
		gates[i].credit = float64(i) / daemons // spread as in steady state
	}
	admitted := 0
	for after := staleness / 100; after <= 10*staleness; after += staleness / 100 {
		for i := range gates {
			l := full
			l.InFlight = 97
			admitted += len(gates[i].Step(start.Add(after), Change{Load: l}))
		}
	}
	is.True(admitted >= 80 && admitted <= 100) // about overcommit times 3 in each of ten intervals, not 54
}
