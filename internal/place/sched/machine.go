package sched

import (
	"math/rand/v2"
	"time"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/place/pace"
	"github.com/slaterock/slaterock/internal/place/prefix"
	"github.com/slaterock/slaterock/internal/place/retry"
	"github.com/slaterock/slaterock/internal/place/score"
	"github.com/slaterock/slaterock/internal/place/sweep"
)

type (
	// Sched is the scheduler. The zero value refuses every request until it is
	// configured.
	Sched struct {
		paces pace.Table // times of upstreams relative to their groups
		Seed  uint64     // of the random choices; must differ between daemons

		cfg       file.File
		weights   score.Weights
		start     time.Time
		rng       *rand.Rand
		ups       []*upstream
		byName    map[string]int
		engines   []int // indices of the upstreams that are swept
		groups    map[string]*group
		requests  []request // by slot
		freeSlots []int32
		byID      map[string]int32
		accounts  map[string]int // requests queued or in flight
		failed    map[string]failure
		pruned    time.Time
		services  map[string]*serviceStats
		retries   retry.Budget
		hedges    retry.Budget
		index     prefix.Index
		sweep     sweep.Sweep
		// freedUpstream is the upstream at which an attempt has just ended. In a large
		// and full group a small sample rarely contains one of the few
		// upstreams with room.
		freedUpstream int
		out           []Effect
	}

	// failure records the failed attempts of a request.
	failure struct {
		at       time.Time
		upstream string
		sent     bool
		tries    int
	}
)

// Step applies one message and returns the effects in the order in which they
// must be carried out.
func (s *Sched) Step(now time.Time, m Message) []Effect {
	s.setup(now)
	switch m := m.(type) {
	case Configure:
		s.configure(now, m.File)
	case Submit:
		s.submit(now, m)
	case Cancel:
		s.cancel(now, m.ID)
	case First:
		s.first(now, m)
	case Done:
		s.done(now, m)
	case Load:
		s.load(now, m)
	case Cache:
		s.cache(m)
	case VMs:
		s.vms(now, m)
	case ProgramEnded:
		s.programEnded(m)
	case ProgramMoved:
		s.programMoved(m.Program)
	case Held:
		s.held(m)
	case Tick:
		s.tick(now)
	}
	return s.out
}

func (s *Sched) setup(now time.Time) {
	s.out = nil // not reused: the caller may still hold the last effects
	if s.rng != nil {
		return
	}
	s.rng = rand.New(rand.NewPCG(s.Seed, 1))
	s.start, s.freedUpstream = now, none
	s.byName = map[string]int{}
	s.groups = map[string]*group{}
	s.byID = map[string]int32{}
	s.accounts = map[string]int{}
	s.failed = map[string]failure{}
	s.services = map[string]*serviceStats{}
	s.sweep.Start = s.Seed
}

func (s *Sched) emit(e Effect) { s.out = append(s.out, e) }

func (s *Sched) tick(now time.Time) {
	for _, name := range s.groupNames() {
		g := s.groups[name]
		g.measure(s, now)
		s.expire(now, g)
		s.dispatch(now, g)
	}
	s.hedge(now)
	if i, ok := s.sweep.Due(now, len(s.engines)); ok {
		s.emit(List{Upstream: s.ups[s.engines[i]].name})
	}
	s.prune(now)
}

// prune removes, once per failureMemory, the failures that are older than that, so
// that those whose request is not submitted again don't accumulate.
func (s *Sched) prune(now time.Time) {
	if now.Sub(s.pruned) < failureMemory {
		return
	}
	s.pruned = now
	for id, f := range s.failed {
		if now.Sub(f.at) > failureMemory {
			delete(s.failed, id)
		}
	}
}
