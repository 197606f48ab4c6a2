package runio

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/slaterock/slaterock/internal/disk/index"
)

const (
	// Tag is the first byte of a datagram, by which it is told from others at the same address.
	Tag = 'R'
	// maxPacket is the largest datagram, in bytes.
	maxPacket = 8 << 10
)

type (
	// packet is a datagram: a question, or the answer to it.
	packet struct {
		Seq   uint64     `cbor:"1,keyasint,omitempty"` // of the question; 0 if no answer is wanted
		Key   uint64     `cbor:"2,keyasint"`           // of the request
		Run   *index.Run `cbor:"3,keyasint,omitempty"` // of an attempt of it, which is to be kept; nil for none
		Reply *reply     `cbor:"4,keyasint,omitempty"` // nil in a question
	}

	reply struct {
		Front string      `cbor:"1,keyasint"`           // that answers, as in index.Run
		Kept  int64       `cbor:"2,keyasint"`           // milliseconds for which it has forgotten nothing
		Runs  []index.Run `cbor:"3,keyasint,omitempty"` // of the request
	}
)

// encode returns the datagram, with fewer runs if it would be too long with all.
func encode(p packet) (data []byte, err error) {
	defer func() { err = errors.Wrap(err, "encode runs") }()
	for {
		if data, err = cbor.Marshal(p); err != nil {
			return nil, err
		}
		if len(data) < maxPacket {
			return append([]byte{Tag}, data...), nil
		}
		if p.Reply == nil || len(p.Reply.Runs) == 0 {
			return nil, errors.Newf("%d bytes, %d at most", len(data), maxPacket-1)
		}
		shorter := *p.Reply
		shorter.Runs = shorter.Runs[:len(shorter.Runs)/2]
		p.Reply = &shorter
	}
}

func decode(data []byte) (p packet, err error) {
	defer func() { err = errors.Wrap(err, "decode runs") }()
	if len(data) == 0 || data[0] != Tag {
		return p, errors.New("not a datagram of runs")
	}
	return p, cbor.Unmarshal(data[1:], &p)
}
