// Package head defines the stored record that identifies the active configuration.
//
// A Head is stored under Key and replaced by compare-and-swap, so versions only increase. It
// lists the chunks of the text, who applied it, and the earlier versions whose chunks are still
// kept.
package head

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/conf/chunk"
)

const (
	// Key is the store key of the head.
	Key = "config/head"
	// ChunkPrefix is the prefix of the store keys of chunks; the chunk's name follows it.
	ChunkPrefix = "config/chunk/"
	// MaxKept is the number of earlier versions whose chunks are kept.
	MaxKept = 8
)

type (
	// Head is one version of the configuration. Chunks are chunk names in text order; Digest is
	// that of the whole text, Size its length in bytes. Nonce is unique to one apply, which
	// recognizes its own write by it. Source is the peer address of the daemon that applied the
	// version and also has the text.
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

	// Kept is an earlier version. Chunks are those that no newer version uses.
	Kept struct {
		Version uint64    `json:"version"`
		Nonce   string    `json:"nonce"`
		By      string    `json:"by"`
		At      time.Time `json:"at"`
		Chunks  []string  `json:"chunks,omitempty"`
	}
)

// Decode parses a stored head. Version 0 is an error.
func Decode(data []byte) (h Head, err error) {
	defer func() { err = errors.Wrap(err, "decode configuration head") }()
	err = json.Unmarshal(data, &h)
	if err == nil && h.Version == 0 {
		err = errors.New("version 0")
	}
	return h, err
}

// Encode returns the head as it is stored.
func (h Head) Encode() ([]byte, error) { return json.Marshal(h) }

// After returns h as the version after prev, or after floor if that is higher.
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

// RefersTo reports whether this version or a kept one uses the chunk.
func (h Head) RefersTo(digest string) bool {
	if slices.Contains(h.Chunks, digest) {
		return true
	}
	return slices.ContainsFunc(h.Kept, func(k Kept) bool { return slices.Contains(k.Chunks, digest) })
}

// HasWrite reports whether the write with the nonce created the version. known is false if h is
// newer and no longer lists the version.
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

// Join returns the text made of the pieces in order, or chunk.ErrDigest if it does not match
// the head's digest.
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

// difference returns the digests that are not in others. It copies: a Head is immutable and
// shares slices with the previous one.
func difference(digests, others []string) (rest []string) {
	for _, d := range digests {
		if !slices.Contains(others, d) {
			rest = append(rest, d)
		}
	}
	return rest
}
