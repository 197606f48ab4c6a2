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

var saltPattern = regexp.MustCompile(`^[A-Za-z0-9]{4,64}$`)

// HashKey returns the configuration value for a caller's key: SALT:HEX, the SHA-256 of salt and
// key concatenated. A key has the form NAME.SECRET with the account name before the first dot.
// The secret should be random with at least 128 bits, since SHA-256 is fast to brute-force.
func HashKey(salt, key string) string {
	sum := sha256.Sum256([]byte(salt + key))
	return salt + saltSeparator + hex.EncodeToString(sum[:])
}

// Matches reports whether key is the account's, in constant time.
func (a Account) Matches(key string) bool {
	salt, _, _ := strings.Cut(a.KeyHash, saltSeparator)
	got := []byte(HashKey(salt, key))
	return subtle.ConstantTimeCompare(got, []byte(a.KeyHash)) == 1
}

// Authenticate returns the account that the key belongs to. It is found by the name in the key,
// so that one hash is computed whatever the number of accounts. An unknown name costs one hash
// as well, so that timing does not reveal which accounts exist.
func (f File) Authenticate(key string) (name string, a Account, ok bool) {
	name, _, _ = strings.Cut(key, keySeparator)
	a, found := f.Accounts[name]
	if !a.Matches(key) || !found {
		return "", Account{}, false
	}
	return name, a, true
}

func validHash(hash string) bool {
	salt, digest, ok := strings.Cut(hash, saltSeparator)
	if !ok || !saltPattern.MatchString(salt) || len(digest) != hashHexLen || strings.ToLower(digest) != digest {
		return false
	}
	_, err := hex.DecodeString(digest)
	return err == nil
}
