package fleet

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// The hash of a view is made of sums of the hashes of its items, so that a change of one item
// costs the same whatever the number of items.

// hash returns the hash of an upstream. Fields that change with every report and don't affect
// decisions are left out.
func (u *Upstream) hash() uint64 {
	var h hasher
	h.text(u.ID, u.Service, u.Address, u.Domain, u.Version)
	h.number(uint64(u.Batch), truth(u.Leaving), uint64(u.Born))
	return h.Sum64()
}

func (e *Entry) hash() uint64 {
	var h hasher
	h.text(e.Node, e.Address, e.Peer, e.Domain)
	h.number(uint64(e.Cores*1000), truth(e.Leaving))
	return h.Sum64()
}

// hash returns a hash that is equal for daemons with the same listed content.
func (v *View) hash() uint64 {
	var h hasher
	version := int64(0)
	if v.Table != nil {
		version = v.Table.Version
	}
	h.number(v.Listed.sum, v.entriesSum, uint64(version), v.Roster, truth(v.Restored))
	return h.Sum64()
}

// hasher hashes fields one after the other. The zero value is ready for use.
type hasher struct {
	xxhash.Digest

	began bool
}

func (h *hasher) begin() {
	if !h.began {
		h.Reset()
		h.began = true
	}
}

// text adds texts with their lengths, without which fields could take bytes from each other.
func (h *hasher) text(fields ...string) {
	h.begin()
	for _, s := range fields {
		h.number(uint64(len(s)))
		_, _ = h.WriteString(s) // never fails
	}
}

func (h *hasher) number(fields ...uint64) {
	h.begin()
	var buf [8]byte
	for _, n := range fields {
		binary.LittleEndian.PutUint64(buf[:], n)
		_, _ = h.Write(buf[:]) // never fails
	}
}

func truth(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}
