package owner

import (
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/state"
)

type (
	// Refs tells where the records of a family of programs are. Programs is
	// nil if the family has ended and left memory; then the index value at
	// position At knows it. Live has the calls under way.
	Refs struct {
		Programs map[string][]uint64
		Live     map[string][]hist.Call
		At       uint32
	}
)

// Refs finds the family whose root has the hash.
func (o *Owner) Refs(hash uint64) (Refs, bool) {
	r := Refs{Programs: map[string][]uint64{}, Live: map[string][]hist.Call{}}
	for id, d := range o.Fold.Programs {
		if state.Hash(id) == hash {
			r.Programs[id] = append([]uint64(nil), d.Entries...)
		}
	}
	if len(r.Programs) == 0 {
		at, ok := o.Fold.Gone[hash]
		return Refs{At: at}, ok
	}
	for _, run := range o.runs {
		if _, ok := r.Programs[run.prog.id]; ok && !o.intended(run) {
			h := o.history(run)
			h.Result.Code = ""
			r.Live[run.prog.id] = append(r.Live[run.prog.id], h)
		}
	}
	return r, true
}

// intended reports whether the journal tells of the call already.
func (o *Owner) intended(r *run) bool {
	_, ok := o.Fold.Programs[r.prog.id].Intents[r.call.Number]
	return ok
}

// Live reports whether the program is open.
func (o *Owner) Live(program string) bool {
	p := o.progs[program]
	return p != nil && p.closed == ""
}
