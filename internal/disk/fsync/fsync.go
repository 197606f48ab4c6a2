// Package synced makes small files and the names of files survive a loss of power.
package fsync

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

const fileMode = 0o600

// Write replaces what a file holds and returns once the content and the name are
// durable. It writes in place: a loss of power in between leaves a torn file.
func Write(name string, data []byte) (err error) {
	defer func() { err = errors.Wrap(err, "write durable file") }()
	f, err := os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode) //nolint:gosec // the settings name the folder
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

// Dir makes the names in a folder durable. Without it a file's bytes survive a
// loss of power, and its creation, renaming or removal may not.
func Dir(name string) error {
	d, err := os.Open(name) //nolint:gosec // the settings name the folder
	if err != nil {
		return err
	}
	return errors.CombineErrors(d.Sync(), d.Close())
}
