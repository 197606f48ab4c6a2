package index

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

type (
	// Record is one durable fact about an attempt of a turn. Records are
	// idempotent and commute: applying them twice or in another order ends in
	// the same state, so replicas need no agreed order.
	Record struct {
		Program   string `cbor:"1,keyasint,omitempty"`
		Attempt   string `cbor:"2,keyasint,omitempty"`
		Reserved  bool   `cbor:"3,keyasint,omitempty"`
		MaxTokens int    `cbor:"4,keyasint,omitempty"` // tokens that the attempt may generate
		Settled   bool   `cbor:"5,keyasint,omitempty"`
		Spent     int    `cbor:"6,keyasint,omitempty"`  // tokens that its caller was handed
		Turn      *Turn  `cbor:"7,keyasint,omitempty"`  // what was said, if it is kept
		At        int64  `cbor:"8,keyasint,omitempty"`  // Unix milliseconds
		TTL       int64  `cbor:"9,keyasint,omitempty"`  // milliseconds for which it must be remembered
		Fence     uint64 `cbor:"10,keyasint,omitempty"` // requests of older rosters are refused from here on
		Upstream  string `cbor:"11,keyasint,omitempty"` // that ran the attempt; set with Settled
		Session   string `cbor:"12,keyasint,omitempty"` // the line of turns that it belongs to
	}

	// Turn is what a turn adds to its chain. Its id is the attempt's.
	Turn struct {
		Previous string `cbor:"1,keyasint,omitempty"`
		Input    []byte `cbor:"2,keyasint,omitempty"`
		Output   []byte `cbor:"3,keyasint,omitempty"` // the data of each event and a line feed
		Upstream string `cbor:"4,keyasint,omitempty"` // id of the upstream that ran it
		Tokens   int    `cbor:"5,keyasint,omitempty"` // that it generated
	}

	// Share is what one attempt takes of its program's budget, and where it ran.
	Charge struct {
		Attempt  string `cbor:"1,keyasint,omitempty"`
		Tokens   int    `cbor:"2,keyasint,omitempty"`
		Settled  bool   `cbor:"3,keyasint,omitempty"`
		Upstream string `cbor:"4,keyasint,omitempty"`
		Session  string `cbor:"5,keyasint,omitempty"`
		At       int64  `cbor:"6,keyasint,omitempty"` // Unix milliseconds
	}
)

// Encode returns the record's bytes.
func (r Record) Encode() ([]byte, error) {
	data, err := cbor.Marshal(r)
	return data, errors.Wrap(err, "encode record")
}

// Key is what should lie on the same disks: the program, or the attempt of a turn
// that names none.
func (r Record) Key() string {
	if r.Program != "" {
		return r.Program
	}
	return r.Attempt
}

// WithoutText returns the record without what was said in its turn.
func (r Record) WithoutText() Record {
	if r.Turn != nil {
		t := *r.Turn
		t.Input, t.Output = nil, nil
		r.Turn = &t
	}
	return r
}

// Decode reads a record.
func Decode(data []byte) (r Record, err error) {
	err = cbor.Unmarshal(data, &r)
	return r, errors.Wrap(err, "decode record")
}
