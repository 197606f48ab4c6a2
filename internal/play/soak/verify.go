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
	"github.com/slaterock/slaterock/internal/shard/chain"
	"github.com/slaterock/slaterock/internal/shard/owner"
)

// execute simulates the execution of an attempt at an upstream and sets the result
// in t. It verifies the order of calls, the budget, and that a call that isn't
// idempotent is executed once.
func (w *simulation) execute(d owner.Dispatch, t *owner.AttemptEnded) {
	w.executions[d.Request]++
	w.tracef("upstream runs %s (%s %d)", d.Request, d.Call.Program, d.Call.Number)
	if reason, ok := w.refusals[d.Request]; ok {
		w.addViolation("%s ran after its caller was told that it did not: %s", d.Request, reason)
	}
	id := fmt.Sprintf("%s %d", d.Call.Program, d.Call.Number)
	if d.Call.Number < w.lastCalls[d.Call.Program] {
		w.addViolation("call %s reached an upstream after call %d", id, w.lastCalls[d.Call.Program])
	}
	w.lastCalls[d.Call.Program] = max(w.lastCalls[d.Call.Program], d.Call.Number)
	t.Outcome = sched.Succeeded
	t.Body = []byte(fmt.Sprintf("%s %s %d", id, d.Request, w.executions[d.Request]))
	if d.Call.Kind == call.Model {
		t.Usage = engine.Usage{Prompt: 1 + w.choose(len(d.Call.Body)), Output: 1 + w.choose(d.MaxTokens), Finish: "stop"}
		root := call.Root(d.Call.Program)
		w.spent[root] += int64(t.Usage.Prompt + t.Usage.Output)
		if w.spent[root] > tokenBudget {
			w.addViolation("%s spent %d tokens of %d", root, w.spent[root], tokenBudget)
		}
		return
	}
	if d.Call.Service == "receipt" {
		w.sideEffects[id]++
		if w.sideEffects[id] > 1 {
			w.addViolation("call %s, which isn't idempotent, ran twice", id)
		}
	}
}

// verify compares the results that callers received with the journal.
func (w *simulation) verify() {
	recorded := map[string]string{}
	heads := map[string]int{}
	refs := map[string]hist.Blob{}
	var j record.Reassembler
	epoch := uint64(0)
	for n := uint64(1); ; n++ {
		v, err := w.st.Get(context.Background(), chain.Key(0, n))
		if err != nil {
			break
		}
		e, err := record.Decode(v.Data)
		if err != nil {
			w.addViolation("journal entry %d: %v", n, err)
			return
		}
		if e.Epoch < epoch {
			w.addViolation("journal entry %d of epoch %d after epoch %d", n, e.Epoch, epoch)
		}
		epoch = e.Epoch
		rs, err := j.Records(e)
		if err != nil {
			w.addViolation("journal entry %d: %v", n, err)
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
				w.addViolation("the journal has call %d of %s after call %d", r.Call.Number, r.Program, heads[r.Program])
			}
			if r.InOrder {
				heads[r.Program] = r.Call.Number
			}
			c := w.resolve(refs, r)
			if c.Result.OK() {
				recorded[fmt.Sprintf("%s %d %s", r.Program, c.Number, c.Result.Body)] = c.Request
			}
		}
	}
	w.verifyTakeover(refs)
	for _, c := range w.callers {
		if !c.ended {
			w.addViolation("%s never got the outcome of call %d", c.program, c.number)
		}
		for number, body := range c.answers {
			if recorded[fmt.Sprintf("%s %d %s", c.program, number, body)] == "" {
				w.addViolation("%s has an answer to call %d that the journal lacks: %s", c.program, number, body)
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
