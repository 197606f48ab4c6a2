// Package accnt holds the accounts of callers: which account an API key belongs to, and the
// account's priority and rate limit. It is used by front daemons; the accounts of `slaterock
// serve` are in package file.
//
// Keys are never stored, only their SHA-256 digests, so that what a daemon sends to others,
// logs or writes to disk can't be used to send requests in the account's name.
package accnt

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"unicode"

	"github.com/cockroachdb/errors"
)

type (
	// Digest is the SHA-256 of a key.
	Digest [sha256.Size]byte

	// Account is one caller account.
	Account struct {
		Name        string
		Priority    int     // 0 is the most urgent; valid if HasPriority
		HasPriority bool    // Priority is set and overrides the priority of routes
		Rate        float64 // requests per second over all daemons; 0 means no limit
		Burst       float64 // requests allowed in addition to that rate
		Keys        []Digest
	}

	// Accounts are the accounts of one configuration version. It is immutable. The zero value
	// and nil hold no accounts.
	Accounts struct {
		list  []Account // by name
		byKey map[Digest]int
	}
)

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// ParseDigest parses the hexadecimal form that String returns.
func ParseDigest(text string) (d Digest, err error) {
	if len(text) != hex.EncodedLen(len(d)) {
		return d, errors.Newf("invalid key digest: %d characters", len(text))
	}
	_, err = hex.Decode(d[:], []byte(text))
	return d, errors.Wrap(err, "key digest")
}

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// New checks and indexes the accounts. Its error names the invalid account and never contains a
// key.
func New(list []Account) (a *Accounts, err error) {
	defer func() { err = errors.Wrap(err, "accounts") }()
	a = &Accounts{list: slices.Clone(list), byKey: make(map[Digest]int, len(list))}
	slices.SortFunc(a.list, func(x, y Account) int { return cmp.Compare(x.Name, y.Name) })
	empty := DigestOf("")
	for i, acct := range a.list {
		if err = acct.check(); err != nil {
			return nil, err
		}
		if i > 0 && a.list[i-1].Name == acct.Name {
			return nil, errors.Newf("%s: there are two of that name", acct.Name)
		}
		for _, key := range acct.Keys {
			if key == empty {
				return nil, errors.Newf("%s: a key is empty", acct.Name)
			}
			if other, taken := a.byKey[key]; taken && other != i {
				return nil, errors.Newf("%s: a key is also that of %s", acct.Name, a.list[other].Name)
			}
			a.byKey[key] = i
		}
	}
	return a, nil
}

func (a Account) check() error {
	switch {
	case a.Name == "":
		return errors.New("one has no name")
	case strings.TrimSpace(a.Name) != a.Name || strings.ContainsFunc(a.Name, unicode.IsControl):
		return errors.Newf("%q: name has surrounding spaces or control characters", a.Name)
	case a.Rate < 0 || a.Burst < 0:
		return errors.Newf("%s: a limit is negative", a.Name)
	case a.Priority < 0:
		return errors.Newf("%s: the priority is negative", a.Name)
	}
	return nil
}

// Find returns the account that the key with this digest belongs to.
func (a *Accounts) Find(key Digest) (Account, bool) {
	if a == nil {
		return Account{}, false
	}
	i, known := a.byKey[key]
	if !known {
		return Account{}, false
	}
	return a.list[i], true
}

// Named returns the account with a name.
func (a *Accounts) Named(name string) (Account, bool) {
	all := a.All()
	i, found := slices.BinarySearchFunc(all, name, func(x Account, name string) int { return cmp.Compare(x.Name, name) })
	if !found {
		return Account{}, false
	}
	return all[i], true
}

// All returns the accounts sorted by name. The caller must not change the slice.
func (a *Accounts) All() []Account {
	if a == nil {
		return nil
	}
	return a.list
}
