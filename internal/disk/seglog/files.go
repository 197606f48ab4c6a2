package seglog

import (
	"io"
	"os"
	"path/filepath"

	"github.com/slaterock/slaterock/internal/disk/fsync"
)

type (
	// Files are the files of a log's directory.
	Files interface {
		// List returns the names of the files, and makes the directory if there is none.
		List() (names []string, err error)
		// Open opens a file to read it.
		Open(name string) (File, error)
		// Create makes a new file.
		Create(name string) (File, error)
		Remove(name string) error
		// Sync makes the names of created and removed files durable.
		Sync() error
	}

	// File is an open file.
	File interface {
		io.ReaderAt
		io.WriterAt
		io.Closer
		Truncate(size int64) error
		Sync() error
	}

	// folder is a directory of the file system.
	folder struct {
		name string
		sync func(*os.File) error // of its files
	}

	synced struct {
		*os.File
		sync func(*os.File) error
	}
)

func (f synced) Sync() error { return f.sync(f.File) }

func (d folder) List() (names []string, err error) {
	if err = os.MkdirAll(d.name, dirMode); err != nil {
		return nil, err
	}
	entries, err := os.ReadDir(d.name)
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

func (d folder) Open(name string) (File, error) {
	f, err := os.Open(filepath.Join(d.name, name)) //nolint:gosec // the folder comes from the settings
	return synced{f, d.sync}, err
}

func (d folder) Create(name string) (File, error) {
	f, err := os.OpenFile(filepath.Join(d.name, name), os.O_CREATE|os.O_EXCL|os.O_RDWR, fileMode) //nolint:gosec // likewise
	return synced{f, d.sync}, err
}

func (d folder) Remove(name string) error { return os.Remove(filepath.Join(d.name, name)) }

func (d folder) Sync() error { return fsync.Dir(d.name) }
