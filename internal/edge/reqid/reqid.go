// Package reqid defines request ids.
//
// The daemon that receives a request creates its id and returns it in every
// response, so that a support engineer can query any daemon for the request. The id
// therefore contains the hash of the program's root, from which each daemon
// computes the shard locally, and the call's number, which links a repeated request
// to the call that it repeats:
//
//	<16 hex digits of the hash>-<call number>-<12 hex digits, random>
package reqid

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/prog/call"
)

const (
	hashDigits  = 16
	nonceLength = 6
	fieldCount  = 3
)

// ID identifies one request.
type ID struct {
	RootHash uint64 // Hash of the program
	Number   int    // of the call
	Nonce    [nonceLength]byte
}

// Hash returns the xxhash64 of the id of the program's root. A program and all
// its sub-agents have the same hash.
func Hash(program string) uint64 {
	return xxhash.Sum64String(call.Root(program))
}

// New returns a new id for a call of the program.
func New(program string, number int) ID {
	id := ID{RootHash: Hash(program), Number: number}
	_, _ = rand.Read(id.Nonce[:]) // crypto/rand documents that Read never fails
	return id
}

// Parse parses an id in the form that String returns.
func Parse(s string) (id ID, err error) {
	defer func() { err = errors.Wrapf(err, "request id %q", s) }()
	fields := strings.Split(s, "-")
	if len(fields) != fieldCount || len(fields[0]) != hashDigits {
		return ID{}, errors.New("not of the form hash-number-nonce")
	}
	if id.RootHash, err = strconv.ParseUint(fields[0], 16, 64); err != nil {
		return ID{}, err
	}
	if id.Number, err = strconv.Atoi(fields[1]); err != nil {
		return ID{}, err
	}
	nonce, err := hex.DecodeString(fields[2])
	if err != nil {
		return ID{}, err
	}
	if copy(id.Nonce[:], nonce) != nonceLength || len(nonce) != nonceLength {
		return ID{}, errors.New("nonce of the wrong length")
	}
	return id, nil
}

// String returns the id as callers see it.
func (id ID) String() string {
	return fmt.Sprintf("%016x-%d-%x", id.RootHash, id.Number, id.Nonce)
}
