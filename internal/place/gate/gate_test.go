package gate

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.UnixMilli(1_000_000)

func arrive(ticket uint64, slack time.Duration, under int) Arrive {
	return Arrive{Ticket: ticket, Until: start.Add(slack), Load: load(under, 1)}
}

func load(under, fronts int) Load { return Load{Under: under, Places: 100, Fronts: fronts} }

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
			{0, arrive(1, second, 90), nil},
			{second / 2, Change{load(10, 1)}, []Op{Admit{1}}},
		},
		"no room in time": {
			{0, arrive(1, second, 90), nil},
			{second, Change{load(90, 1)}, []Op{refuse(1)}},
		},
		"in time no more, although there is room now": {
			{0, arrive(1, second, 90), nil},
			{second, Change{load(10, 1)}, []Op{refuse(1)}},
		},
		"the newest first": {
			{0, arrive(1, second, 90), nil},
			{0, arrive(2, second, 90), nil},
			{0, Change{load(int(100*share)-1, 1)}, []Op{Admit{2}}},
			{0, Change{load(int(100*share)-1, 1)}, []Op{Admit{1}}},
		},
		"late, and room":                 {{0, arrive(1, 0, 10), []Op{Admit{1}}}},
		"late, and little room":          {{0, arrive(1, 0, int(100*lateShare)), []Op{refuse(1)}}},
		"late, behind those that wait":   {{0, arrive(1, second, 90), nil}, {0, arrive(2, 0, 10), []Op{refuse(2)}}},
		"a caller that has left":         {{0, arrive(1, second, 90), nil}, {0, Leave{1}, nil}, {0, Change{load(10, 1)}, nil}},
		"others take their part of room": {{0, arrive(1, second, 90), nil}, {0, arrive(2, second, 90), nil}, {0, Change{load(int(100*share)-3, 3)}, []Op{Admit{2}}}},
		"no engines":                     {{0, Arrive{Ticket: 1, Until: start.Add(second)}, nil}, {second, Change{}, []Op{refuse(1)}}},
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
