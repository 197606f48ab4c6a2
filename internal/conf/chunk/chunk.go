// Package chunk cuts a configuration's text into pieces that the store can
// hold, so that a change of one section changes one piece.
//
// Split cuts before section headers that the content picks, not at fixed
// offsets: a line that is added to one section leaves the pieces behind it as
// they were, so that a daemon fetches the piece that changed and no other. A
// piece's name is the first half of the SHA-256 of its plain text. Pack
// compresses one for storage, Unpack checks it against its name.
package chunk

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

const (
	// MaxSize bounds a piece's plain text in bytes. Compression may add a
	// little to text that does not shrink; the store's bound is 1 MB.
	MaxSize = 512 << 10

	// A piece of a configuration with many accounts is about 100 KB. Smaller
	// ones would make the head longer, which is read again and again; larger
	// ones would make each change dearer.
	minSize     = 32 << 10
	cutHashMask = 1<<9 - 1 // one header in 512 is a cut

	nameLen = 32 // hexadecimal digits: 128 bits
)

type (
	// Chunk is one piece: its name, in hexadecimal, and its packed bytes.
	Chunk struct {
		Digest string `json:"digest"`
		Packed []byte `json:"packed"`
	}
)

// ErrDigest reports a piece or text that is not what its digest says.
var ErrDigest = errors.New("chunk: text does not match its digest")

// Digest returns the SHA-256 of a text in hexadecimal.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Name returns a piece's name: half of its digest, which is enough to tell
// pieces apart, since the whole text is checked against its whole digest.
func Name(piece []byte) string { return Digest(piece)[:nameLen] }

// Split cuts the text. The pieces together are the text, and each is at most
// MaxSize bytes.
func Split(text []byte) (pieces [][]byte) {
	start, end := 0, 0
	for line := range bytes.Lines(text) {
		size := end - start
		if size > 0 && (size+len(line) > MaxSize || size >= minSize && startsChunk(line)) {
			pieces = append(pieces, text[start:end])
			start = end
		}
		end += len(line)
		for end-start > MaxSize { // a line longer than a piece
			pieces = append(pieces, text[start:start+MaxSize])
			start += MaxSize
		}
	}
	if end > start {
		pieces = append(pieces, text[start:end])
	}
	return pieces
}

func startsChunk(line []byte) bool {
	return line[0] == '[' && xxhash.Sum64(line)&cutHashMask == 0
}

// Pack names and compresses a piece.
func Pack(piece []byte) (c Chunk, err error) {
	defer func() { err = errors.Wrap(err, "pack chunk") }()
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(MaxSize))
	if err != nil {
		return Chunk{}, err
	}
	return Chunk{Digest: Name(piece), Packed: enc.EncodeAll(piece, nil)}, nil
}

// Unpack returns the piece's text, or ErrDigest if it is another's.
func (c Chunk) Unpack() (piece []byte, err error) {
	defer func() { err = errors.Wrapf(err, "unpack chunk %s", c.Digest) }()
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxSize))
	if err != nil {
		return nil, err
	}
	defer dec.Close()
	piece, err = dec.DecodeAll(c.Packed, nil)
	if err != nil {
		return nil, err
	}
	if Name(piece) != c.Digest {
		return nil, ErrDigest
	}
	return piece, nil
}
