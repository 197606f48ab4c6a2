package pick

import "sync"

const (
	// turnsWeight is the weight of one turn in the means of its route.
	turnsWeight = 0.01
	// defaultTurns is the number of turns of a program before any is known.
	defaultTurns = 4
)

type (
	// Turns learns how many turns the programs of a route have, and how many events a turn. The zero
	// value is ready.
	Turns struct {
		mu     sync.Mutex
		routes map[string]*turns
	}

	turns struct {
		first  float64 // share of the turns that are the first of their program
		events float64 // mean number of events, 0 if unknown
	}
)

// Began records that a turn begins, and whether it is the first of its program.
func (t *Turns) Began(route string, first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, x := t.route(route), 0.0
	if first {
		x = 1
	}
	s.first += turnsWeight * (x - s.first)
}

// Ended records a complete turn and its number of events.
func (t *Turns) Ended(route string, events int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.route(route)
	s.events = mix(s.events, float64(events))
}

// Expected returns the mean number of turns of a program, and of events of a turn; 0 if unknown.
func (t *Turns) Expected(route string) (turns, events float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.route(route)
	return 1 / max(s.first, turnsWeight), s.events
}

func (t *Turns) route(name string) *turns {
	if t.routes == nil {
		t.routes = map[string]*turns{}
	}
	s := t.routes[name]
	if s == nil {
		s = &turns{first: 1.0 / defaultTurns}
		t.routes[name] = s
	}
	return s
}

// mix moves a mean towards a value, or returns the value if the mean is unknown.
func mix(mean, value float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + turnsWeight*(value-mean)
}
