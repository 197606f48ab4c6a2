package owner

import (
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/record"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/prog/state"
)

type (
	// Refs locates the records of a family: a root program and its sub-agents.
	// Programs maps each program's id to its journal entries; it is nil if the
	// family has ended and is no longer in memory, and then the snapshot's index
	// value at IndexPos has the entries. Pending holds the records that are not
	// committed yet; they are included because a caller may read its history
	// directly after a refusal. Unrecorded has the accepted calls with neither
	// an intent nor an outcome among these records, by program id.
	Refs struct {
		Programs   map[string][]uint64
		Pending    []record.Record
		Unrecorded map[string][]hist.Call
		IndexPos   uint32
	}
)

// Refs locates the records of the family whose root has the given hash; false if
// there is no such family.
func (o *Owner) Refs(hash uint64) (Refs, bool) {
	r := Refs{Programs: map[string][]uint64{}, Unrecorded: map[string][]hist.Call{}}
	for id, d := range o.Fold.Programs {
		if state.Hash(id) == hash {
			r.Programs[id] = append([]uint64(nil), d.Entries...)
		}
	}
	for _, p := range o.queue {
		if s := p.rec.Subject(); s != "" && state.Hash(s) == hash {
			r.Pending = append(r.Pending, p.rec)
		}
	}
	if len(r.Programs)+len(r.Pending) == 0 {
		at, ok := o.Fold.Gone[hash]
		return Refs{IndexPos: at}, ok
	}
	for _, run := range o.runs {
		if state.Hash(run.prog.id) == hash && run.phase != waitCommit && !o.hasIntent(run) {
			h := o.callRecord(run)
			h.Result = result.Result{} // in waitOffload it is set but not recorded yet
			r.Unrecorded[run.prog.id] = append(r.Unrecorded[run.prog.id], h)
		}
	}
	return r, true
}

// hasIntent reports whether the call has an intent that is committed or waits to
// be.
func (o *Owner) hasIntent(r *run) bool {
	if d := o.Fold.Programs[r.prog.id]; d != nil {
		if _, ok := d.Intents[r.call.Number]; ok {
			return true
		}
	}
	return r.phase == waitIntent
}

// Live reports whether the program is open.
func (o *Owner) Live(program string) bool {
	p := o.progs[program]
	return p != nil && p.closed == ""
}
