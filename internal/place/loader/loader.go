// Package loader makes each engine load the models that it is configured to serve.
//
// The weight store admits few loads at a time, so a load needs its admission
// first, and each engine gets one load at a time. An engine that restarted has
// lost its models and gets all loads again; so does one for which another daemon
// was responsible before, because its state is unknown here. Loading a model that
// is already loaded has no effect.
//
// Loader is a state machine: Step takes the time and one message and returns
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
	// Loader holds the state of the engines. The zero value has none.
	Loader struct {
		engines map[string]*engine
	}

	// Message is an input of Step.
	Message interface{ message() }

	// Declare sets the models that each engine is to serve, by upstream name.
	Declare struct{ Models map[string][]string }

	// Responsible reports whether this daemon orders the engine's loads.
	Responsible struct {
		Upstream string
		OK       bool // this daemon is responsible
	}

	// Restarted reports that the engine restarted.
	Restarted struct{ Upstream string }

	// AdmitResult is the answer to Admit. Without an Err and a Wait the load may start;
	// after a Wait it is to be requested again.
	AdmitResult struct {
		Upstream string
		Wait     time.Duration
		Err      error
	}

	// LoadResult is the answer to Load.
	LoadResult struct {
		Upstream string
		Model    string
		Err      error
	}

	// Tick starts the loads that are due.
	Tick struct{}

	// Effect is an output of Step, for the caller to carry out.
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
func (AdmitResult) message() {}
func (LoadResult) message()  {}
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
	case AdmitResult:
		return s.admitted(now, m)
	case LoadResult:
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

// nextModel returns the first model that is not loaded.
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

func (s *Loader) admitted(now time.Time, m AdmitResult) []Effect {
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

func (s *Loader) loadDone(now time.Time, m LoadResult) {
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

// fail backs off exponentially, so that an engine or a weight store that is down
// doesn't get a request at every tick.
func (e *engine) fail(now time.Time) {
	e.busy = false
	e.backoff = min(max(2*e.backoff, minBackoff), maxBackoff)
	e.next = now.Add(e.backoff)
}
