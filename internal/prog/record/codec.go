package record

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"reflect"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

const (
	// MaxUnit is the largest encoded record that is stored in one unit, and the
	// most data in a piece, in bytes; a unit with a piece is slightly larger. It
	// keeps an entry with a unit in it below the store's largest value even if the
	// data does not compress.
	MaxUnit = 384 << 10
	// MaxUnits is the largest total size of an entry's units, in bytes.
	MaxUnits = 768 << 10

	magic      = "slj1"
	headerSize = len(magic) + 8
	maxDecoded = 64 << 20
	maxPieces  = 1 << 16
)

type (
	// Unit is an encoded record or a piece of one.
	Unit = cbor.RawMessage

	// Entry is one entry of a journal, stored as one value.
	Entry struct {
		Shard  int    `json:"shard"`
		Number uint64 `json:"number"`
		Epoch  uint64 `json:"epoch"`
		Nonce  uint64 `json:"nonce"`
		Owner  string `json:"owner"`
		Units  []Unit `json:"units"`
	}

	// Reassembler decodes records and joins the pieces of large ones. The zero
	// value is ready for use; one Reassembler reads the entries of one journal
	// in order.
	Reassembler struct {
		id    uint64
		next  int
		count int
		buf   []byte
	}

	// CorruptError reports bytes that are not a valid journal value.
	CorruptError struct{ Reason string }

	unit struct {
		Kind  string          `json:"k"`
		Body  cbor.RawMessage `json:"b,omitempty"`
		Piece *piece          `json:"p,omitempty"`
	}

	piece struct {
		ID    uint64 `json:"id"`
		Index int    `json:"index"`
		Count int    `json:"count"`
		Data  []byte `json:"data"`
	}
)

const (
	kindAcquired = "took"
	kindOpened   = "opened"
	kindReserved = "reserved"
	kindIntent   = "intent"
	kindEnded    = "ended"
	kindMoved    = "moved"
	kindClosed   = "closed"
	kindHolders  = "holders"
	kindPiece    = "piece"
)

var (
	encoding, _     = cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	decoding, _     = cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20}.DecMode()
	compressor, _   = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest))
	decompressor, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(0), zstd.WithDecoderMaxMemory(maxDecoded))
)

// Error returns the reason with a prefix.
func (e *CorruptError) Error() string { return "record: corrupt: " + e.Reason }

// Units encodes a record. A record larger than MaxUnit becomes several pieces
// with the given id, which must differ between the records of one journal.
func Units(r Record, id uint64) (us []Unit, err error) {
	defer func() { err = errors.Wrapf(err, "record: encode %T", r) }()
	body, err := encoding.Marshal(r)
	if err != nil {
		return nil, err
	}
	whole, err := encoding.Marshal(unit{Kind: kind(r), Body: body})
	if err != nil {
		return nil, err
	}
	if len(whole) <= MaxUnit {
		return []Unit{whole}, nil
	}
	count := (len(whole) + MaxUnit - 1) / MaxUnit
	for i := range count {
		data := whole[i*MaxUnit : min((i+1)*MaxUnit, len(whole))]
		u, err := encoding.Marshal(unit{Kind: kindPiece, Piece: &piece{ID: id, Index: i, Count: count, Data: data}})
		if err != nil {
			return nil, err
		}
		us = append(us, u)
	}
	return us, nil
}

// Records decodes an entry's units. A record in several pieces is returned with
// the entry that holds the last of them. Pieces that are never completed belong
// to a writer that lost the shard; they are dropped.
func (ra *Reassembler) Records(e Entry) (rs []Record, err error) {
	defer func() { err = errors.Wrapf(err, "record: entry %d of shard %d", e.Number, e.Shard) }()
	for _, raw := range e.Units {
		var u unit
		if err := decoding.Unmarshal(raw, &u); err != nil {
			return nil, &CorruptError{Reason: err.Error()}
		}
		whole := u
		if u.Kind == kindPiece {
			done, err := ra.add(u.Piece)
			if err != nil {
				return nil, err
			}
			if !done {
				continue
			}
			if err := decoding.Unmarshal(ra.buf, &whole); err != nil {
				return nil, &CorruptError{Reason: err.Error()}
			}
			*ra = Reassembler{}
		}
		r, err := decodeRecord(whole)
		if err != nil {
			return nil, err
		}
		rs = append(rs, r)
	}
	return rs, nil
}

func (ra *Reassembler) add(p *piece) (done bool, err error) {
	if p == nil || p.Count < 1 || p.Count > maxPieces || p.Index < 0 || p.Index >= p.Count {
		return false, &CorruptError{Reason: "piece out of range"}
	}
	if p.Index == 0 {
		*ra = Reassembler{id: p.ID, count: p.Count}
	}
	if p.ID != ra.id || p.Index != ra.next || p.Count != ra.count {
		return false, &CorruptError{Reason: fmt.Sprintf("piece %d of %d is out of place", p.Index, p.Count)}
	}
	if len(ra.buf)+len(p.Data) > maxDecoded {
		return false, &CorruptError{Reason: "record too large"}
	}
	ra.buf = append(ra.buf, p.Data...)
	ra.next++
	return ra.next == ra.count, nil
}

// Encode returns the entry's stored form.
func (e Entry) Encode() (b []byte, err error) { return Pack(e) }

// Decode decodes an entry. Damaged bytes give a *CorruptError.
func Decode(b []byte) (e Entry, err error) {
	err = Unpack(b, &e)
	return e, err
}

// Pack encodes a value as CBOR, compresses it with zstd and prefixes a magic
// number and a checksum of the compressed bytes.
func Pack(v any) (b []byte, err error) {
	defer func() { err = errors.Wrap(err, "record: pack") }()
	plain, err := encoding.Marshal(v)
	if err != nil {
		return nil, err
	}
	b = make([]byte, headerSize, headerSize+len(plain)/2)
	copy(b, magic)
	b = compressor.EncodeAll(plain, b)
	binary.LittleEndian.PutUint64(b[len(magic):], xxhash.Sum64(b[headerSize:]))
	return b, nil
}

// Unpack decodes the output of Pack into v. Damaged bytes give a *CorruptError:
// a value that was written in part or altered would otherwise lose programs
// silently.
func Unpack(b []byte, v any) error {
	if len(b) < headerSize || !bytes.Equal(b[:len(magic)], []byte(magic)) {
		return &CorruptError{Reason: "no header"}
	}
	if binary.LittleEndian.Uint64(b[len(magic):]) != xxhash.Sum64(b[headerSize:]) {
		return &CorruptError{Reason: "checksum differs"}
	}
	plain, err := decompressor.DecodeAll(b[headerSize:], nil)
	if err != nil {
		return &CorruptError{Reason: err.Error()}
	}
	if err := decoding.Unmarshal(plain, v); err != nil {
		return &CorruptError{Reason: err.Error()}
	}
	return nil
}

func kind(r Record) string {
	switch r.(type) {
	case Acquired:
		return kindAcquired
	case Opened:
		return kindOpened
	case Reserved:
		return kindReserved
	case Intent:
		return kindIntent
	case Ended:
		return kindEnded
	case Moved:
		return kindMoved
	case Closed:
		return kindClosed
	case Holders:
		return kindHolders
	}
	return ""
}

func decodeRecord(u unit) (Record, error) {
	switch u.Kind {
	case kindAcquired:
		return decode[Acquired](u.Body)
	case kindOpened:
		return decode[Opened](u.Body)
	case kindReserved:
		return decode[Reserved](u.Body)
	case kindIntent:
		return decode[Intent](u.Body)
	case kindEnded:
		return decode[Ended](u.Body)
	case kindMoved:
		return decode[Moved](u.Body)
	case kindClosed:
		return decode[Closed](u.Body)
	case kindHolders:
		return decode[Holders](u.Body)
	}
	return nil, &CorruptError{Reason: fmt.Sprintf("unknown kind %q", u.Kind)}
}

func decode[R Record](body []byte) (Record, error) {
	var r R
	if err := decoding.Unmarshal(body, &r); err != nil {
		return nil, &CorruptError{Reason: reflect.TypeFor[R]().Name() + ": " + err.Error()}
	}
	return r, nil
}

// Continues reports whether the entry begins with a later piece of a record that
// began in an earlier entry.
func (e Entry) Continues() bool {
	if len(e.Units) == 0 {
		return false
	}
	var u unit
	err := decoding.Unmarshal(e.Units[0], &u)
	return err == nil && u.Piece != nil && u.Piece.Index > 0
}
