// Package soak plays random histories of one shard and checks that no promise
// is broken in them.
//
// A history runs the production machines (owner, journal writer, lease, takeover
// and snapshots) of several daemons in virtual time, before one store in memory.
// For a while daemons crash, pause for longer than their lease, hand over and
// lose the store or each other, writes land late or lose their acknowledgement,
// and upstreams break off; callers repeat what they have no answer to. Then all
// heals, and every caller must get a true outcome. Every choice is drawn from
// the history's seed, so that a broken promise can be played again.
package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sync"

	"github.com/cockroachdb/errors"
)

type (
	// Soak plays Histories histories, with the seeds from First on, on Workers
	// goroutines (zero is one).
	Soak struct {
		First      int
		Histories  int
		Workers    int
		TraceLines int       // lines to show of a history that broke a promise
		Out        io.Writer // gets what was broken; may be nil
	}

	// Stats counts what happened in the histories.
	Stats struct {
		Takeovers, Handovers, Fenced, Crashes int
		Lost                                  int // acknowledgements
		Saves                                 int // snapshots
		Replies                               int
		Kept, Late, Recalled                  int // long texts in folders
		Broken                                int // histories with a broken promise
	}
)

// ErrBroken reports that a promise was broken.
var ErrViolation = errors.New("soak: a promise was broken")

// Run plays the histories.
func (s Soak) Run() (sum Stats, err error) {
	var mu sync.Mutex
	var work sync.WaitGroup
	seeds := make(chan int)
	for range max(1, s.Workers) {
		work.Go(func() {
			for seed := range seeds {
				w := runHistory(seed)
				mu.Lock()
				sum.add(w.stats)
				s.report(seed, w, &sum)
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
	w := newSimulation(r.IntN)
	w.run()
	return w
}

func (s Soak) report(seed int, w *simulation, sum *Stats) {
	if len(w.violations) == 0 {
		return
	}
	sum.Broken++
	if s.Out == nil {
		return
	}
	_, _ = fmt.Fprintf(s.Out, "seed %d: %d broken promises, first: %s\n", seed, len(w.violations), w.violations[0])
	for _, l := range w.trace[max(0, len(w.trace)-s.TraceLines):] {
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
