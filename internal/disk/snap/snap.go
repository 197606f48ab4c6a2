// Package snap stores the newest snapshot of the daemons' state on one VM's disk.
//
// Daemons that serve callers have no disk. When all of them restart while the platform's
// store is down, the VMs with a disk are the only source of the configuration, the
// upstreams and each other's addresses.
package snap

import (
	"context"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/slaterock/slaterock/internal/disk/fsync"
	"github.com/slaterock/slaterock/internal/peer/link"
)

// The methods that a Snapshotter offers to other daemons.
const (
	MethodSave = "memo.keep" // takes a Snapshot; returns once it is durable
	MethodLoad = "memo.last" // returns the newest Snapshot
)

const (
	// slots is the number of files that are written alternately. The one with the
	// newest snapshot is never overwritten, so a power loss during a write loses only
	// the snapshot being written.
	slots   = 2
	dirMode = 0o700
)

type (
	// Snapshotter stores the newest snapshot in Dir, which must be set before use.
	Snapshotter struct {
		Dir string
		Now func() time.Time // nil is time.Now

		mu     sync.Mutex
		opened bool
		slot   int // of the newest snapshot
		newest fileContent
	}

	// Snapshot is an opaque state and the revision that orders it.
	Snapshot struct {
		Revision uint64 `cbor:"1,keyasint"`
		Data     []byte `cbor:"2,keyasint"`
		Age      int64  `cbor:"3,keyasint,omitempty"` // milliseconds since it was saved; set by Load
	}

	// fileContent is the CBOR content of a file.
	fileContent struct {
		Revision uint64 `cbor:"1,keyasint"`
		SavedAt  int64  `cbor:"2,keyasint"` // Unix milliseconds
		Data     []byte `cbor:"3,keyasint"`
		Checksum uint64 `cbor:"4,keyasint"` // wrong in a torn file
	}
)

// Register registers the methods with the link.
func (s *Snapshotter) Register(l *link.Link) {
	l.Handle(MethodSave, link.TypedHandler(func(_ context.Context, snap Snapshot) (struct{}, error) { return struct{}{}, s.Save(snap) }))
	l.Handle(MethodLoad, link.TypedHandler(func(context.Context, struct{}) (Snapshot, error) { return s.Load() }))
}

// Save makes the snapshot durable, unless a newer one is stored already.
func (s *Snapshotter) Save(snap Snapshot) (err error) {
	defer func() { err = errors.Wrap(err, "save snapshot") }()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err = s.open(); err != nil {
		return err
	}
	if snap.Revision < s.newest.Revision {
		return nil
	}
	next := fileContent{Revision: snap.Revision, SavedAt: s.now().UnixMilli(), Data: snap.Data}
	next.Checksum = next.checksum()
	slot := (s.slot + 1) % slots
	data, err := cbor.Marshal(next)
	if err != nil {
		return err
	}
	if err = fsync.Write(s.name(slot), data); err != nil {
		return err
	}
	s.slot, s.newest = slot, next
	return nil
}

// Load returns the newest snapshot, which has no data if there is none.
func (s *Snapshotter) Load() (snap Snapshot, err error) {
	defer func() { err = errors.Wrap(err, "load snapshot") }()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err = s.open(); err != nil {
		return snap, err
	}
	if len(s.newest.Data) == 0 {
		return snap, nil
	}
	// The clock may have been set back since it was saved.
	age := max(s.now().UnixMilli()-s.newest.SavedAt, 0)
	return Snapshot{Revision: s.newest.Revision, Data: s.newest.Data, Age: age}, nil
}

// open reads the files at the first use. The caller holds s.mu.
func (s *Snapshotter) open() error {
	if s.opened {
		return nil
	}
	if err := os.MkdirAll(s.Dir, dirMode); err != nil {
		return err
	}
	for slot := range slots {
		data, err := os.ReadFile(s.name(slot))
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return err
		}
		var c fileContent
		if cbor.Unmarshal(data, &c) != nil || c.Checksum != c.checksum() {
			continue // torn: the other file has the previous snapshot
		}
		if c.Revision >= s.newest.Revision {
			s.slot, s.newest = slot, c
		}
	}
	s.opened = true
	return nil
}

func (s *Snapshotter) name(slot int) string { return filepath.Join(s.Dir, "memo-"+strconv.Itoa(slot)) }

func (s *Snapshotter) now() time.Time {
	if s.Now == nil {
		return time.Now()
	}
	return s.Now()
}

func (c fileContent) checksum() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(strconv.FormatUint(c.Revision, 10) + " " + strconv.FormatInt(c.SavedAt, 10) + " ") // never fails
	_, _ = d.Write(c.Data)
	return d.Sum64()
}
