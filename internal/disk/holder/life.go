package holder

import (
	"crypto/rand"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/disk/synced"
)

const (
	lifeFile = "life"
	lifeSize = 8
	dirMode  = 0o700
)

// identify returns the disk's life, and whether the disk was empty. The life is
// durable before anything else is written: a holder that lost its records but
// kept its name would count as one that has them.
func identify(dir string) (life string, blank bool, err error) {
	defer func() { err = errors.Wrap(err, "identify disk") }()
	if err = os.MkdirAll(dir, dirMode); err != nil {
		return "", false, err
	}
	name := filepath.Join(dir, lifeFile)
	data, err := os.ReadFile(name) //nolint:gosec // the settings name the folder
	life = strings.TrimSpace(string(data))
	if err == nil && len(life) == 2*lifeSize {
		return life, false, nil
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return "", false, err
	}
	var nonce [lifeSize]byte
	_, _ = rand.Read(nonce[:]) // never fails
	life = hex.EncodeToString(nonce[:])
	return life, true, synced.Write(name, []byte(life+"\n"))
}
