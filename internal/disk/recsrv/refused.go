package recsrv

import (
	"maps"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/disk/index"
)

// unsaved are records that the disk has refused. The index may have their charges and runs, which it got
// before the write; they don't count as held.
type unsaved struct {
	programs map[string]string // by attempt
	total    uint64            // refused so far
}

// errRefusedWrite reports a copy during which the disk refused a record.
var errRefusedWrite = errors.New("the disk refused a record during the copy")

func (u *unsaved) add(r index.Record) {
	u.total++
	if u.programs == nil {
		u.programs = map[string]string{}
	}
	u.programs[r.Attempt] = r.Program
}

func (u *unsaved) has(r index.Record) bool {
	_, found := u.programs[r.Attempt]
	return found && r.Attempt != ""
}

// expire removes the records of programs that have expired.
func (u *unsaved) expire(ix *index.Index) {
	maps.DeleteFunc(u.programs, func(_, program string) bool { return ix.RetainedUntil(program).IsZero() })
}

// holds reports whether the record is indexed, and not refused by the disk. Its write may be under way. The
// caller holds s.mu.
func (s *Server) holds(r index.Record) bool { return s.index.Has(r) && !s.unsaved.has(r) }

// refusals returns how many records the disk has refused.
func (s *Server) refusals() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unsaved.total
}
