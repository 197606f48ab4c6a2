package shards

import (
	"testing"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/record"
	"github.com/slaterock/slaterock/internal/prog/state"
)

// After a takeover callers repeat calls whose answers were lost. Calls that were admitted
// before must not be charged again. One that runs again must be, or an account could run a
// failing call any number of times without a charge.
func TestChargedBelow(t *testing.T) {
	cases := map[string]struct {
		p    state.Program
		next int
	}{
		"no call yet":          {state.Program{}, 0},
		"the newest is final":  {state.Program{Next: 3, Final: true}, 3},
		"the newest may rerun": {state.Program{Next: 3}, 2},
		"one goes on":          {state.Program{Next: 3, Final: true, Moved: &record.Moved{Call: hist.Call{Number: 3}}}, 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(chargedBelow(&c.p), c.next)
		})
	}
}

// A program that ended is kept in its shard's memory for a while. If a takeover counted it as
// open, it would use up the account's limit of open programs.
func TestOpenAtTakeover(t *testing.T) {
	f := state.Fold{Programs: map[string]*state.Program{
		"p": {Open: call.Open{Account: "acct"}, Next: 2, Final: true},
		"q": {Open: call.Open{Account: "acct"}, Closed: "finished"},
	}}
	is.New(t).Equal(openPrograms(f), []openProgram{{account: "acct", program: "p", next: 2}})
}
