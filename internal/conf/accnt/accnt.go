// Package accnt knows the accounts of callers: whose a key is, and what its account
// may ask.
//
// A key itself is held nowhere. Only its digest is, so that what a daemon tells others,
// logs, or has kept on a disk can't be used to ask in the account's name.
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
	// Digest stands for a key.
	Digest [sha256.Size]byte

	// Account is one account of callers.
	Account struct {
		Name        string
		Priority    int     // 0 is the most urgent; valid with Ranked
		HasPriority bool    // it has a priority of its own, which goes before that of routes
		Rate        float64 // requests a second over all daemons; 0 is no limit
		Burst       float64 // requests beside that rate
		Keys        []Digest
	}

	// Accounts are the accounts of one configuration version. The zero value and
	// nil have none. It is immutable.
	Accounts struct {
		list  []Account // by name
		byKey map[Digest]int
	}
)

// DigestOf returns what stands for a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// ParseDigest reads what String returned.
func ParseDigest(text string) (d Digest, err error) {
	if len(text) != hex.EncodedLen(len(d)) {
		return d, errors.Newf("no digest of a key: %d characters", len(text))
	}
	_, err = hex.Decode(d[:], []byte(text))
	return d, errors.Wrap(err, "digest of a key")
}

// String returns the digest in hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// New returns the accounts. An error names the account that is wrong, and no key.
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
		return errors.Newf("%q: a name has spaces around it or control characters", a.Name)
	case a.Rate < 0 || a.Burst < 0:
		return errors.Newf("%s: a limit is negative", a.Name)
	case a.Priority < 0:
		return errors.Newf("%s: the priority is negative", a.Name)
	}
	return nil
}

// Find returns the account that a key belongs to.
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

// All returns the accounts by name. The list is not to be changed.
func (a *Accounts) All() []Account {
	if a == nil {
		return nil
	}
	return a.list
}
