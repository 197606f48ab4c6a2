package owner_test

import (
	"flag"
	"math/rand/v2"
	"strings"
	"testing"
)

var (
	histories = flag.Int("histories", 400, "random histories to play")
	first     = flag.Int("first", 0, "seed of the first history")
	traced    = flag.Int("traced", 60, "lines to show of a history that broke a promise")
)

// Daemons crash, pause for longer than their lease and lose the store, writes
// land late or lose their acknowledgement, upstreams break off and callers
// repeat what they have no answer to. A user would notice a receipt issued
// twice, an answer that changed or is another's, calls out of order, a budget
// overrun, a refusal that was a lie, or a program that never gets on.
func TestHistories(t *testing.T) {
	var sum stats
	for seed := *first; seed < *first+*histories; seed++ {
		r := rand.New(rand.NewPCG(uint64(seed), 1))
		w := newWorld(r.IntN)
		w.run()
		sum.add(w.stats)
		if len(w.broken) > 0 {
			t.Errorf("seed %d: %d broken promises, first: %s", seed, len(w.broken), w.broken[0])
			t.Logf("the history ends:\n%s", strings.Join(w.trace[max(0, len(w.trace)-*traced):], "\n"))
		}
		if t.Failed() && *histories <= 1000 && len(w.broken) > 0 {
			break
		}
	}
	t.Logf("%d histories: %+v", *histories, sum)
	if sum.takeovers <= *histories || sum.fenced == 0 || sum.handovers == 0 || sum.lost == 0 || sum.crashes == 0 || sum.saves == 0 ||
		sum.kept == 0 || sum.late == 0 || sum.recalled == 0 {
		t.Errorf("the histories lack the faults that they are for: %+v", sum)
	}
}

func (s *stats) add(o stats) {
	s.takeovers += o.takeovers
	s.handovers += o.handovers
	s.fenced += o.fenced
	s.crashes += o.crashes
	s.lost += o.lost
	s.saves += o.saves
	s.replies += o.replies
	s.kept += o.kept
	s.late += o.late
	s.recalled += o.recalled
}
