// Package memo keeps the newest of a series of small values on one VM's disk.
//
// Daemons that serve callers have no disk. When all of them start anew while the
// platform's store is away, nothing but the VMs with a disk can tell them the
// configuration, the upstreams and each other.
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

// The methods that a memo offers to other daemons.
const (
	MethodSave = "memo.keep" // a Note; answered once it is durable
	MethodLoad = "memo.last" // answered with the newest Note
)

const (
	// slots is the number of files that are written in turn. The one with the
	// newest value is never touched, so a write that the power's loss cuts costs
	// only the value that it was to store.
	slots   = 2
	dirMode = 0o700
)

type (
	// Memo keeps a value. Set Dir before use.
	Snapshotter struct {
		Dir string
		Now func() time.Time // time.Now if it is nil

		mu     sync.Mutex
		opened bool
		slot   int // that holds the newest value
		last   fileContent
	}

	// Note is a value with what orders it.
	Snapshot struct {
		Revision uint64 `cbor:"1,keyasint"`
		Data     []byte `cbor:"2,keyasint"`
		Age      int64  `cbor:"3,keyasint,omitempty"` // milliseconds since it was kept
	}

	// saved is what a file holds.
	fileContent struct {
		Revision uint64 `cbor:"1,keyasint"`
		At       int64  `cbor:"2,keyasint"` // Unix milliseconds
		Data     []byte `cbor:"3,keyasint"`
		Sum      uint64 `cbor:"4,keyasint"` // tells a torn file
	}
)

// Register offers the memo over the link.
func (s *Snapshotter) Register(l *link.Link) {
	l.Handle(MethodSave, link.Answer(func(_ context.Context, n Snapshot) (struct{}, error) { return struct{}{}, s.Save(n) }))
	l.Handle(MethodLoad, link.Answer(func(context.Context, struct{}) (Snapshot, error) { return s.Load() }))
}

// Keep makes the note durable, unless a newer one is kept already.
func (s *Snapshotter) Save(n Snapshot) (err error) {
	defer func() { err = errors.Wrap(err, "keep memo") }()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err = s.open(); err != nil {
		return err
	}
	if n.Revision < s.last.Revision {
		return nil
	}
	next := fileContent{Revision: n.Revision, At: s.now().UnixMilli(), Data: n.Data}
	next.Sum = next.sum()
	slot := (s.slot + 1) % slots
	data, err := cbor.Marshal(next)
	if err != nil {
		return err
	}
	if err = fsync.Write(s.name(slot), data); err != nil {
		return err
	}
	s.slot, s.last = slot, next
	return nil
}

// Last returns the newest note, which has no data if none was kept.
func (s *Snapshotter) Load() (n Snapshot, err error) {
	defer func() { err = errors.Wrap(err, "read memo") }()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err = s.open(); err != nil {
		return n, err
	}
	if len(s.last.Data) == 0 {
		return n, nil
	}
	// The clock may have been set back since.
	age := max(s.now().UnixMilli()-s.last.At, 0)
	return Snapshot{Revision: s.last.Revision, Data: s.last.Data, Age: age}, nil
}

// open reads the files at the first use; m.mu is held.
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
		if cbor.Unmarshal(data, &c) != nil || c.Sum != c.sum() {
			continue // torn: the other file has the value before it
		}
		if c.Revision >= s.last.Revision {
			s.slot, s.last = slot, c
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

func (c fileContent) sum() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(strconv.FormatUint(c.Revision, 10) + " " + strconv.FormatInt(c.At, 10) + " ") // never fails
	_, _ = d.Write(c.Data)
	return d.Sum64()
}
