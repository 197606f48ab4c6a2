// Package synced writes small files that survive a loss of power.
package synced

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
	d, err := os.Open(filepath.Dir(name))
	if err != nil {
		return err
	}
	return errors.CombineErrors(d.Sync(), d.Close())
}
