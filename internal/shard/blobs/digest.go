package blobs

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

type (
	// Digest is the SHA-256 of a blob's bytes and the blob's only name.
	Digest [sha256.Size]byte
)

// Sum returns the digest of data.
func Sum(data []byte) Digest { return sha256.Sum256(data) }

// Parse reads a digest from its text form, 64 hexadecimal digits.
func Parse(s string) (d Digest, err error) {
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != len(d) {
		return d, fmt.Errorf("blobs: %q is not a digest", s)
	}
	copy(d[:], raw)
	return d, nil
}

// String returns the digest as 64 hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) (err error) {
	*d, err = Parse(string(text))
	return err
}
