package owner

import (
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/record"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/prog/state"
)

type (
	// Refs tells where the records of a family of programs are. Programs is
	// nil if the family has ended and left memory; then the index value at
	// position At knows it. Pending are records that the journal does not have
	// yet; a caller that was refused a moment ago may ask for its history. Live
	// has the calls under way that no record tells of.
	Refs struct {
		Programs map[string][]uint64
		Pending  []record.Record
		InFlight map[string][]hist.Call
		IndexPos uint32
	}
)

// Refs finds the family whose root has the hash.
func (o *Owner) Refs(hash uint64) (Refs, bool) {
	r := Refs{Programs: map[string][]uint64{}, InFlight: map[string][]hist.Call{}}
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
			h.Result = result.Result{} // one that waits for its texts to be kept is not recorded yet
			r.InFlight[run.prog.id] = append(r.InFlight[run.prog.id], h)
		}
	}
	return r, true
}

// intended reports whether the journal tells of the call already.
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
