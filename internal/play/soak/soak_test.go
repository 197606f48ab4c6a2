package soak_test

import (
	"flag"
	"strings"
	"testing"

	"github.com/slaterock/slaterock/internal/play/soak"
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
	var out strings.Builder
	sum, err := soak.Soak{First: *first, Histories: *histories, Workers: 4, TraceLines: *traced, Out: &out}.Run()
	if err != nil {
		t.Errorf("%v\n%s", err, out.String())
	}
	t.Logf("%d histories: %+v", *histories, sum)
	if sum.Takeovers <= *histories || sum.Fenced == 0 || sum.Handovers == 0 || sum.Lost == 0 || sum.Crashes == 0 || sum.Saves == 0 ||
		sum.Kept == 0 || sum.Late == 0 || sum.Recalled == 0 {
		t.Errorf("the histories lack the faults that they are for: %+v", sum)
	}
}
