package meta

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxParts is the most parts of a prompt that are kept.
	MaxParts = 64
	// maxShared is the most shared parts that are told apart. Each is looked up for each new
	// program; callers share two or three.
	maxShared = 8
)

// Part is a part of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// SharedParts returns the parts that other programs may share: all but the last, which belongs
// to the request or its session. The ID of each also stands for all parts before it, since an
// engine can use a cached part only after the same beginning, and for the service, since engines
// of others can't run the request. From the part number maxShared on they are joined into one.
func (a Attempt) SharedParts(service string) (shared []Part) {
	if len(a.Parts) < 2 {
		return nil
	}
	shared = make([]Part, 0, min(len(a.Parts)-1, maxShared))
	id := xxhash.Sum64String(service)
	for i, p := range a.Parts[:len(a.Parts)-1] {
		var chain [16]byte
		binary.LittleEndian.PutUint64(chain[:8], id)
		binary.LittleEndian.PutUint64(chain[8:], p.ID)
		id = xxhash.Sum64(chain[:])
		if i < maxShared {
			shared = append(shared, Part{ID: id, Tokens: p.Tokens})
			continue
		}
		last := &shared[maxShared-1]
		last.ID, last.Tokens = id, last.Tokens+p.Tokens
	}
	return shared
}
