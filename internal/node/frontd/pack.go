package frontd

import (
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"

	"github.com/slaterock/slaterock/internal/front/fleet"
)

// maxUnpacked bounds the size of unpacked lists, in bytes. 100,000 upstreams take 15 MB.
const maxUnpacked = 64 << 20

type (
	// lists are the parts of a snapshot that grow with the fleet.
	lists struct {
		Upstreams []fleet.Upstream `cbor:"1,keyasint"`
		Entries   []fleet.Entry    `cbor:"2,keyasint"`
	}

	// packs keeps the packed lists of the last view that was asked for: hundreds of fronts that
	// start together ask for the same one. The zero value is ready for use.
	packs struct {
		mu   sync.Mutex
		hash uint64
		data []byte
	}
)

// pack returns the packed lists of a view.
func (p *packs) pack(v *fleet.View) (data []byte, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.data != nil && p.hash == v.Hash {
		return p.data, nil
	}
	data, err = packLists(lists{Upstreams: v.Listed.List(), Entries: v.Entries})
	if err == nil {
		p.hash, p.data = v.Hash, data
	}
	return data, err
}

func packLists(l lists) (data []byte, err error) {
	defer func() { err = errors.Wrap(err, "pack state") }()
	if data, err = cbor.Marshal(l); err != nil {
		return nil, err
	}
	w, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, err
	}
	return w.EncodeAll(data, nil), w.Close()
}

// unpack replaces packed lists by the lists.
func (s *snapshot) unpack() (err error) {
	defer func() { err = errors.Wrap(err, "unpack state") }()
	if len(s.Packed) == 0 {
		return nil
	}
	r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxUnpacked))
	if err != nil {
		return err
	}
	defer r.Close()
	data, err := r.DecodeAll(s.Packed, nil)
	if err != nil {
		return err
	}
	var l lists
	if err = cbor.Unmarshal(data, &l); err != nil {
		return err
	}
	s.Upstreams, s.Entries, s.Packed = l.Upstreams, l.Entries, nil
	return nil
}
