// Package fsync writes small files, and syncs directories, so that they survive a power
// loss.
package fsync

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

const fileMode = 0o600

// Write replaces the content of a file and returns once content and name are durable. It
// writes in place: a power loss during the write leaves a torn file.
func Write(name string, data []byte) (err error) {
	defer func() { err = errors.Wrap(err, "write durable file") }()
	f, err := os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode) //nolint:gosec // the folder comes from the settings
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	err = errors.CombineErrors(err, f.Sync())
	if err = errors.CombineErrors(err, f.Close()); err != nil {
		return err
	}
	return Dir(filepath.Dir(name))
}

// Dir syncs a directory. Without it a file's content survives a power loss, but its
// creation, renaming or removal may not.
func Dir(name string) error {
	d, err := os.Open(name) //nolint:gosec // the folder comes from the settings
	if err != nil {
		return err
	}
	return errors.CombineErrors(d.Sync(), d.Close())
}
