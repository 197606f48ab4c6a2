package soak

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/slaterock/slaterock/internal/place/sched"
	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/record"
	"github.com/slaterock/slaterock/internal/shard/jrnl"
	"github.com/slaterock/slaterock/internal/shard/owner"
)

// execute simulates the execution of an attempt at an upstream and sets the result
// in t. It verifies the order of calls, the budget, that a call that isn't
// idempotent is executed at most once, and that no request is executed after it was
// reported as not run.
func (sim *simulation) execute(d owner.Dispatch, t *owner.AttemptEnded) {
	sim.executions[d.Request]++
	sim.tracef("upstream runs %s (%s %d)", d.Request, d.Call.Program, d.Call.Number)
	if reason, ok := sim.refusals[d.Request]; ok {
		sim.addViolation("%s ran after its caller was told that it did not: %s", d.Request, reason)
	}
	id := fmt.Sprintf("%s %d", d.Call.Program, d.Call.Number)
	if d.Call.Number < sim.lastCalls[d.Call.Program] {
		sim.addViolation("call %s reached an upstream after call %d", id, sim.lastCalls[d.Call.Program])
	}
	sim.lastCalls[d.Call.Program] = max(sim.lastCalls[d.Call.Program], d.Call.Number)
	t.Outcome = sched.Succeeded
	t.Body = []byte(fmt.Sprintf("%s %s %d", id, d.Request, sim.executions[d.Request]))
	if d.Call.Kind == call.Model {
		t.Usage = engine.Usage{Prompt: 1 + sim.choose(len(d.Call.Body)), Output: 1 + sim.choose(d.MaxTokens), Finish: "stop"}
		root := call.Root(d.Call.Program)
		sim.spent[root] += int64(t.Usage.Prompt + t.Usage.Output)
		if sim.spent[root] > tokenBudget {
			sim.addViolation("%s spent %d tokens of %d", root, sim.spent[root], tokenBudget)
		}
		return
	}
	if d.Call.Service == "receipt" {
		sim.sideEffects[id]++
		if sim.sideEffects[id] > 1 {
			sim.addViolation("call %s, which isn't idempotent, ran twice", id)
		}
	}
}

// verify verifies, at the end of a history, the order of the journal's epochs and
// calls, a takeover, that every caller has finished, and that the journal has each
// answer that a caller received.
func (sim *simulation) verify() {
	recorded := map[string]string{}
	heads := map[string]int{}
	refs := map[string]hist.Blob{}
	var j record.Reassembler
	epoch := uint64(0)
	for n := uint64(1); ; n++ {
		v, err := sim.st.Get(context.Background(), jrnl.Key(0, n))
		if err != nil {
			break
		}
		e, err := record.Decode(v.Data)
		if err != nil {
			sim.addViolation("journal entry %d: %v", n, err)
			return
		}
		if e.Epoch < epoch {
			sim.addViolation("journal entry %d of epoch %d after epoch %d", n, e.Epoch, epoch)
		}
		epoch = e.Epoch
		rs, err := j.Records(e)
		if err != nil {
			sim.addViolation("journal entry %d: %v", n, err)
		}
		for _, r := range rs {
			if r, ok := r.(record.Holders); ok {
				refs[r.Blob.Digest] = r.Blob
			}
			r, ok := r.(record.Ended)
			if !ok {
				continue
			}
			if r.InOrder && r.Call.Number < heads[r.Program] {
				sim.addViolation("the journal has call %d of %s after call %d", r.Call.Number, r.Program, heads[r.Program])
			}
			if r.InOrder {
				heads[r.Program] = r.Call.Number
			}
			c := sim.resolve(refs, r)
			if c.Result.OK() {
				recorded[fmt.Sprintf("%s %d %s", r.Program, c.Number, c.Result.Body)] = c.Request
			}
		}
	}
	sim.verifyTakeover(refs)
	for _, c := range sim.callers {
		if !c.ended {
			sim.addViolation("%s never got the outcome of call %d", c.program, c.number)
		}
		for number, body := range c.answers {
			if recorded[fmt.Sprintf("%s %d %s", c.program, number, body)] == "" {
				sim.addViolation("%s has an answer to call %d that the journal lacks: %s", c.program, number, body)
			}
		}
	}
}

func encodeJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
