package seglog

import (
	"errors"
	"io"
	"maps"
	"slices"
	"sync"
	"syscall"
)

// The operations of a testDisk that can fail.
const (
	opCreate   = "create"
	opWrite    = "write"
	opSync     = "sync"
	opTruncate = "truncate"
	opRemove   = "remove"
	opNames    = "sync of names"
)

var errDisk = errors.New("refused by the disk")

type (
	// testDisk is a disk in memory. A loss of power takes what no sync covered, and what one covered that
	// failed. Later syncs of that file succeed and cover nothing.
	testDisk struct {
		mu    sync.Mutex
		files map[string]*testData
		kept  map[string]*testData // the names that survive a loss of power
		fails map[string]int       // how many of the next operations fail; negative for all
		full  bool                 // no room for more bytes
		short int                  // bytes of a write that fails which are written all the same
	}

	testData struct {
		cached, durable []byte
		dirty           []span
		lost            bool // a sync has failed
	}

	span struct{ from, to int }

	testFile struct {
		disk *testDisk
		name string
		*testData
	}
)

func newTestDisk() *testDisk {
	return &testDisk{files: map[string]*testData{}, kept: map[string]*testData{}, fails: map[string]int{}}
}

// err returns the error of the next operation of a kind. The caller holds d.mu.
func (d *testDisk) err(op string) error {
	if d.fails[op] == 0 {
		return nil
	}
	d.fails[op]--
	return errDisk
}

func (d *testDisk) set(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
}

// losePower returns the disk as it is after a loss of power.
func (d *testDisk) losePower() *testDisk {
	d.mu.Lock()
	defer d.mu.Unlock()
	after := newTestDisk()
	for name, f := range d.kept {
		c := &testData{cached: slices.Clone(f.durable), durable: slices.Clone(f.durable)}
		after.files[name], after.kept[name] = c, c
	}
	return after
}

func (d *testDisk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Keys(d.files)), nil
}

func (d *testDisk) Open(name string) (File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &testFile{d, name, d.files[name]}, nil
}

func (d *testDisk) Create(name string) (File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.err(opCreate); err != nil {
		return nil, err
	}
	if d.files[name] != nil {
		return nil, syscall.EEXIST
	}
	f := &testData{}
	d.files[name] = f
	return &testFile{d, name, f}, nil
}

func (d *testDisk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.err(opRemove); err != nil {
		return err
	}
	delete(d.files, name)
	return nil
}

func (d *testDisk) Sync() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.err(opNames); err != nil {
		return err
	}
	d.kept = maps.Clone(d.files)
	return nil
}

func (f *testFile) ReadAt(p []byte, off int64) (n int, err error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if off < int64(len(f.cached)) {
		n = copy(p, f.cached[off:])
	}
	if n < len(p) {
		err = io.EOF
	}
	return n, err
}

func (f *testFile) WriteAt(p []byte, off int64) (n int, err error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if err = f.disk.err(opWrite); err == nil && f.disk.full {
		err = syscall.ENOSPC
	}
	if err != nil {
		p = p[:min(f.disk.short, len(p))]
	}
	end := int(off) + len(p)
	f.cached = append(f.cached, make([]byte, max(end-len(f.cached), 0))...)
	copy(f.cached[off:], p)
	f.dirty = append(f.dirty, span{int(off), end})
	return len(p), err
}

func (f *testFile) Truncate(size int64) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if err := f.disk.err(opTruncate); err != nil {
		return err
	}
	f.cached = f.cached[:size]
	return nil
}

func (f *testFile) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	dirty := f.dirty
	f.dirty = nil
	if err := f.disk.err(opSync); err != nil {
		f.lost = true
		return err
	}
	if f.lost {
		return nil
	}
	f.durable = append(f.durable, make([]byte, max(len(f.cached)-len(f.durable), 0))...)
	for _, s := range dirty {
		if s.from < len(f.cached) {
			copy(f.durable[s.from:], f.cached[s.from:min(s.to, len(f.cached))])
		}
	}
	if f.disk.files[f.name] == f.testData {
		f.disk.kept[f.name] = f.testData
	}
	return nil
}

func (f *testFile) Close() error { return nil }
