package file

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"regexp"
	"strings"
)

const (
	keySeparator  = "."
	saltSeparator = ":"
	hashHexLen    = 2 * sha256.Size
)

var salt = regexp.MustCompile(`^[A-Za-z0-9]{4,64}$`)

// HashKey returns what stands in the configuration for a caller's key:
// salt:hex of the SHA-256 over salt and key. A key has the form NAME.SECRET
// with the account's name before the first dot, and the secret should be
// random with 128 bits or more, since SHA-256 is quick to try.
func HashKey(salt, key string) string {
	sum := sha256.Sum256([]byte(salt + key))
	return salt + saltSeparator + hex.EncodeToString(sum[:])
}

// Matches reports whether key is the account's. It takes as long for a wrong
// key as for the right one.
func (a Account) Matches(key string) bool {
	salt, _, _ := strings.Cut(a.KeyHash, saltSeparator)
	got := []byte(HashKey(salt, key))
	return subtle.ConstantTimeCompare(got, []byte(a.KeyHash)) == 1
}

// Authenticate returns the name of the account that the key belongs to. The
// account is found by the name in the key, so that one hash is worked out
// whatever the number of accounts. An unknown name costs a hash as well, so
// that the time does not tell which accounts exist.
func (f File) Authenticate(key string) (name string, a Account, ok bool) {
	name, _, _ = strings.Cut(key, keySeparator)
	a, found := f.Accounts[name]
	if !a.Matches(key) || !found {
		return "", Account{}, false
	}
	return name, a, true
}

func validHash(hash string) bool {
	before, after, ok := strings.Cut(hash, saltSeparator)
	if !ok || !salt.MatchString(before) || len(after) != hashHexLen || strings.ToLower(after) != after {
		return false
	}
	_, err := hex.DecodeString(after)
	return err == nil
}
