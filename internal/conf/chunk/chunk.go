// Package chunk splits a configuration text into content-defined chunks that fit into the
// store, so that a change of one section changes one chunk.
//
// Split cuts before section headers selected by their hash, not at fixed offsets: a line added
// to one section leaves the later chunks unchanged, so a daemon fetches only the chunk that
// changed. A chunk's name is the first half of the SHA-256 of its plain text. Pack compresses a
// chunk for storage, Unpack verifies it against its name.
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
	// MaxSize is the limit of a chunk's plain text in bytes. Compression may enlarge
	// incompressible text a little; the store's limit is 1 MB.
	MaxSize = 512 << 10

	// With many accounts a chunk is about 100 KB. Smaller chunks would make the head longer,
	// which is read repeatedly; larger chunks would increase the cost of each change.
	minSize     = 32 << 10
	cutHashMask = 1<<9 - 1 // one header in 512 starts a chunk

	nameLen = 32 // hexadecimal digits: 128 bits
)

type (
	// Chunk is a compressed piece of text. Digest is its name, the first half of the SHA-256 of
	// the plain text in hexadecimal.
	Chunk struct {
		Digest string `json:"digest"`
		Packed []byte `json:"packed"`
	}
)

// ErrDigest reports a chunk that does not match its name, or a text that does not match its
// digest.
var ErrDigest = errors.New("chunk: text does not match its digest")

// Digest returns the SHA-256 of a text in hexadecimal.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Name returns a chunk's name: half of its digest, which is enough to identify it, since the
// whole text is checked against its full digest.
func Name(piece []byte) string { return Digest(piece)[:nameLen] }

// Split splits the text into pieces of at most MaxSize bytes. Their concatenation is the text.
func Split(text []byte) (pieces [][]byte) {
	start, end := 0, 0
	for line := range bytes.Lines(text) {
		size := end - start
		if size > 0 && (size+len(line) > MaxSize || size >= minSize && startsChunk(line)) {
			pieces = append(pieces, text[start:end])
			start = end
		}
		end += len(line)
		for end-start > MaxSize { // a line longer than MaxSize
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

// Unpack returns the chunk's text, or ErrDigest if the text does not match the name.
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
