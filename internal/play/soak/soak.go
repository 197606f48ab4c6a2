// Package soak simulates random histories of one shard and verifies its invariants
// in them.
//
// A history runs the production state machines (owner, journal writer, lease,
// takeover and snapshots) of several daemons in virtual time, with one store in
// memory. During the fault period daemons crash, pause for longer than their
// lease, hand the shard over and lose the connection to the store or to each other,
// writes take effect late or lose their acknowledgement, and attempts at upstreams
// fail; callers repeat requests that have no outcome. In the recovery period
// nothing fails, and every caller must get a correct outcome. All random choices
// derive from the history's seed, so that a violation can be reproduced.
package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sync"

	"github.com/cockroachdb/errors"
)

type (
	// Soak runs Histories histories, with seeds from First on, in Workers
	// goroutines (zero means one).
	Soak struct {
		First      int
		Histories  int
		Workers    int
		TraceLines int       // maximum number of trace lines printed per history with a violation
		Out        io.Writer // receives the violations; may be nil
	}

	// Stats counts events in all histories.
	Stats struct {
		Takeovers, Handovers, Fenced, Crashes int
		Lost                                  int // lost acknowledgements of store calls
		Saves                                 int // saved snapshots
		Replies                               int
		Kept, Late, Recalled                  int // texts stored in data folders; texts released by owners; replies looked up in the journal
		Broken                                int // histories with a violation
	}
)

// ErrViolation reports that an invariant was violated.
var ErrViolation = errors.New("soak: invariant violated")

// Run runs the histories. It returns ErrViolation if there was a violation in any
// of them.
func (s Soak) Run() (sum Stats, err error) {
	var mu sync.Mutex
	var work sync.WaitGroup
	seeds := make(chan int)
	for range max(1, s.Workers) {
		work.Go(func() {
			for seed := range seeds {
				sim := runHistory(seed)
				mu.Lock()
				sum.add(sim.stats)
				s.report(seed, sim, &sum)
				mu.Unlock()
			}
		})
	}
	for i := range s.Histories {
		seeds <- s.First + i
	}
	close(seeds)
	work.Wait()
	if sum.Broken > 0 {
		return sum, ErrViolation
	}
	return sum, nil
}

func runHistory(seed int) *simulation {
	r := rand.New(rand.NewPCG(uint64(seed), 1))
	sim := newSimulation(r.IntN)
	sim.run()
	return sim
}

func (s Soak) report(seed int, sim *simulation, sum *Stats) {
	if len(sim.violations) == 0 {
		return
	}
	sum.Broken++
	if s.Out == nil {
		return
	}
	_, _ = fmt.Fprintf(s.Out, "seed %d: %d broken promises, first: %s\n", seed, len(sim.violations), sim.violations[0])
	for _, l := range sim.trace[max(0, len(sim.trace)-s.TraceLines):] {
		_, _ = fmt.Fprintln(s.Out, "  "+l)
	}
}

func (s *Stats) add(o Stats) {
	s.Takeovers += o.Takeovers
	s.Handovers += o.Handovers
	s.Fenced += o.Fenced
	s.Crashes += o.Crashes
	s.Lost += o.Lost
	s.Saves += o.Saves
	s.Replies += o.Replies
	s.Kept += o.Kept
	s.Late += o.Late
	s.Recalled += o.Recalled
}
