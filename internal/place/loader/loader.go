// Package stock has each engine load the models that it is declared to serve.
//
// The weight store admits few loads at a time, so each load is asked for before
// it is ordered, one at a time for an engine. An engine that started anew has
// lost what it had loaded and is ordered again; so is one whose orders another
// daemon gave before, because nobody here knows what it has. Loading a model
// that is loaded does no harm.
//
// Stock is a state machine: Step takes the time and one message and returns
// effects.
package loader

import (
	"maps"
	"slices"
	"time"
)

const (
	minBackoff = time.Second
	maxBackoff = time.Minute
)

type (
	// Stock is the machine. The zero value orders nothing.
	Loader struct {
		engines map[string]*engine
	}

	// Message is what Stock reacts to.
	Message interface{ message() }

	// Declare gives the models that each engine is to serve.
	Declare struct{ Models map[string][]string }

	// Here tells whether this daemon gives the engine its orders.
	Responsible struct {
		Upstream string
		OK       bool
	}

	// Restarted tells that the engine started anew.
	Restarted struct{ Upstream string }

	// Admitted answers Admit. Wait is zero if the load may start.
	Admitted struct {
		Upstream string
		Wait     time.Duration
		Err      error
	}

	// Loaded answers Load.
	Loaded struct {
		Upstream string
		Model    string
		Err      error
	}

	// Tick lets time pass.
	Tick struct{}

	// Effect is what Stock wants done.
	Effect interface{ effect() }

	// Admit asks the weight store whether the model may be loaded.
	Admit struct{ Upstream, Model string }

	// Load orders the engine to load the model.
	Load struct{ Upstream, Model string }

	engine struct {
		models      []string
		loaded      map[string]bool
		responsible bool
		busy        bool
		next        time.Time
		backoff     time.Duration
	}
)

func (Declare) message()     {}
func (Responsible) message() {}
func (Restarted) message()   {}
func (Admitted) message()    {}
func (Loaded) message()      {}
func (Tick) message()        {}

func (Admit) effect() {}
func (Load) effect()  {}

// Step applies one message.
func (s *Loader) Step(now time.Time, m Message) []Effect {
	switch m := m.(type) {
	case Declare:
		s.declare(m.Models)
	case Responsible:
		if e := s.engines[m.Upstream]; e != nil && e.responsible != m.OK {
			e.responsible = m.OK
			e.reset()
		}
	case Restarted:
		if e := s.engines[m.Upstream]; e != nil {
			e.reset()
		}
	case Admitted:
		return s.admitted(now, m)
	case Loaded:
		s.loadDone(now, m)
	case Tick:
		return s.tick(now)
	}
	return nil
}

func (s *Loader) declare(models map[string][]string) {
	old := s.engines
	s.engines = map[string]*engine{}
	for name, ms := range models {
		e := old[name]
		if e == nil {
			e = &engine{loaded: map[string]bool{}}
		}
		e.models = ms
		s.engines[name] = e
	}
}

func (e *engine) reset() {
	e.loaded = map[string]bool{}
	e.next, e.backoff = time.Time{}, 0
}

// wanted is the next model to load, if there is one.
func (e *engine) nextModel() (string, bool) {
	for _, m := range e.models {
		if !e.loaded[m] {
			return m, true
		}
	}
	return "", false
}

func (s *Loader) tick(now time.Time) (effs []Effect) {
	for _, name := range slices.Sorted(maps.Keys(s.engines)) {
		e := s.engines[name]
		m, ok := e.nextModel()
		if !ok || !e.responsible || e.busy || now.Before(e.next) {
			continue
		}
		e.busy = true
		effs = append(effs, Admit{Upstream: name, Model: m})
	}
	return effs
}

func (s *Loader) admitted(now time.Time, m Admitted) []Effect {
	e := s.engines[m.Upstream]
	if e == nil {
		return nil
	}
	want, ok := e.nextModel()
	switch {
	case m.Err != nil:
		e.fail(now)
	case m.Wait > 0 || !ok || !e.responsible:
		e.busy = false
		e.next = now.Add(m.Wait)
	default:
		return []Effect{Load{Upstream: m.Upstream, Model: want}}
	}
	return nil
}

func (s *Loader) loadDone(now time.Time, m Loaded) {
	e := s.engines[m.Upstream]
	switch {
	case e == nil:
	case m.Err != nil:
		e.fail(now)
	default:
		e.busy, e.backoff = false, 0
		e.loaded[m.Model] = true
	}
}

// fail backs off, so that an engine or a weight store that is down isn't asked
// at every tick.
func (e *engine) fail(now time.Time) {
	e.busy = false
	e.backoff = min(max(2*e.backoff, minBackoff), maxBackoff)
	e.next = now.Add(e.backoff)
}
