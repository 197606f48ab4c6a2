package recsrv

import (
	"crypto/rand"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/disk/fsync"
)

const (
	diskIDFile  = "life"
	diskIDBytes = 8
	dirMode     = 0o700
)

// identify returns the disk's life, and whether the disk was empty. The life is
// durable before anything else is written: a holder that lost its records but
// kept its name would count as one that has them.
func loadDiskID(dir string) (id string, empty bool, err error) {
	defer func() { err = errors.Wrap(err, "identify disk") }()
	if err = os.MkdirAll(dir, dirMode); err != nil {
		return "", false, err
	}
	name := filepath.Join(dir, diskIDFile)
	data, err := os.ReadFile(name) //nolint:gosec // the settings name the folder
	id = strings.TrimSpace(string(data))
	if err == nil && len(id) == 2*diskIDBytes {
		return id, false, nil
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return "", false, err
	}
	var nonce [diskIDBytes]byte
	_, _ = rand.Read(nonce[:]) // never fails
	id = hex.EncodeToString(nonce[:])
	return id, true, fsync.Write(name, []byte(id+"\n"))
}
