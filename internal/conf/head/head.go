// Package head is the one value that names the configuration in force.
//
// A Head is stored under Key and replaced by compare-and-swap, so versions
// only rise. It lists the chunks that make up the text, tells who applied it,
// and remembers the versions before it for as long as their chunks are kept.
package head

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/conf/chunk"
)

const (
	// Key is where the store keeps the head.
	Key = "config/head"
	// ChunkPrefix starts the keys of chunks; their digests follow.
	ChunkPrefix = "config/chunk/"
	// Keep is how many versions before the newest keep their chunks.
	MaxKept = 8
)

type (
	// Head is one version of the configuration. Chunks are digests in the
	// text's order; Digest is that of the whole text, Size its bytes. Nonce
	// is the applier's own, by which it knows its write again. Source is the
	// peer address of the daemon that applied, which has the text too.
	Head struct {
		Version uint64    `json:"version"`
		Digest  string    `json:"digest"`
		Size    int       `json:"size"`
		Chunks  []string  `json:"chunks"`
		Shards  int       `json:"shards"`
		Nonce   string    `json:"nonce"`
		By      string    `json:"by"`
		At      time.Time `json:"at"`
		Source  string    `json:"source,omitempty"`
		Kept    []Kept    `json:"kept,omitempty"` // newest first
	}

	// Kept is an earlier version. Chunks are those that no newer version has.
	Kept struct {
		Version uint64    `json:"version"`
		Nonce   string    `json:"nonce"`
		By      string    `json:"by"`
		At      time.Time `json:"at"`
		Chunks  []string  `json:"chunks,omitempty"`
	}
)

// Decode reads a stored head.
func Decode(data []byte) (h Head, err error) {
	defer func() { err = errors.Wrap(err, "decode configuration head") }()
	err = json.Unmarshal(data, &h)
	if err == nil && h.Version == 0 {
		err = errors.New("version 0")
	}
	return h, err
}

// Encode writes the head for the store.
func (h Head) Encode() ([]byte, error) { return json.Marshal(h) }

// After returns h as the version that follows prev, and floor where that is
// higher.
func (h Head) After(prev Head, floor uint64) Head {
	h.Version = max(prev.Version, floor) + 1
	h.Kept = nil
	if prev.Version == 0 {
		return h
	}
	older := append([]Kept{prev.kept()}, prev.Kept...)
	if len(older) > MaxKept {
		older = older[:MaxKept]
	}
	for _, k := range older {
		k.Chunks = difference(k.Chunks, h.Chunks)
		h.Kept = append(h.Kept, k)
	}
	return h
}

// Refers reports whether this version or one that it keeps needs the chunk.
func (h Head) RefersTo(digest string) bool {
	if slices.Contains(h.Chunks, digest) {
		return true
	}
	return slices.ContainsFunc(h.Kept, func(k Kept) bool { return slices.Contains(k.Chunks, digest) })
}

// Took reports whether the write with the nonce became the version, as far as
// h remembers: known is false where the version is too old to tell.
func (h Head) HasWrite(version uint64, nonce string) (written, known bool) {
	if h.Version == version {
		return h.Nonce == nonce, true
	}
	for _, k := range h.Kept {
		if k.Version == version {
			return k.Nonce == nonce, true
		}
	}
	return false, h.Version < version
}

// Join returns the text whose pieces are given in order, or chunk.ErrDigest.
func (h Head) Join(pieces [][]byte) ([]byte, error) {
	text := slices.Concat(pieces...)
	if chunk.Digest(text) != h.Digest {
		return nil, chunk.ErrDigest
	}
	return text, nil
}

func (h Head) kept() Kept {
	return Kept{Version: h.Version, Nonce: h.Nonce, By: h.By, At: h.At, Chunks: h.Chunks}
}

// without returns the digests that are not among others. It copies: a Head is
// immutable, and its slices are shared with the one before.
func difference(digests, others []string) (rest []string) {
	for _, d := range digests {
		if !slices.Contains(others, d) {
			rest = append(rest, d)
		}
	}
	return rest
}
