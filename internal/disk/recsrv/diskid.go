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

// loadDiskID returns the disk's random ID, and whether the disk was empty and the ID is
// new. A disk that lost its records must not keep its ID, or it would count as one that
// has them. The ID is durable before any record is written, so that a disk with
// acknowledged records can't get a new ID after a power loss and count as empty.
func loadDiskID(dir string) (id string, empty bool, err error) {
	defer func() { err = errors.Wrap(err, "load disk ID") }()
	if err = os.MkdirAll(dir, dirMode); err != nil {
		return "", false, err
	}
	name := filepath.Join(dir, diskIDFile)
	data, err := os.ReadFile(name) //nolint:gosec // the folder comes from the settings
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
