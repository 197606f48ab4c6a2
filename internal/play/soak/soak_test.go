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

// Guards against violations under the faults of package soak: a receipt that is
// issued twice, an answer that changes or belongs to another call, calls out of
// order, a budget overrun, a refused request that was executed, or a program that
// makes no progress.
func TestHistories(t *testing.T) {
	var out strings.Builder
	sum, err := soak.Soak{First: *first, Histories: *histories, Workers: 4, TraceLines: *traced, Out: &out}.Run()
	if err != nil {
		t.Errorf("%v\n%s", err, out.String())
	}
	t.Logf("%d histories: %+v", *histories, sum)
	if sum.Takeovers <= *histories || sum.Fenced == 0 || sum.Handovers == 0 || sum.Lost == 0 || sum.Crashes == 0 || sum.Saves == 0 ||
		sum.Kept == 0 || sum.Late == 0 || sum.Recalled == 0 {
		t.Errorf("some kinds of events did not occur, or takeovers not often enough: %+v", sum)
	}
}
