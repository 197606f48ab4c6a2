// Package memo keeps the newest of a series of small values on one VM's disk.
//
// Daemons that serve callers have no disk. When all of them start anew while the
// platform's store is away, nothing but the VMs with a disk can tell them the
// configuration, the upstreams and each other.
package memo

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

	"github.com/slaterock/slaterock/internal/disk/synced"
	"github.com/slaterock/slaterock/internal/peer/link"
)

// The methods that a memo offers to other daemons.
const (
	MethodKeep = "memo.keep" // a Note; answered once it is durable
	MethodLast = "memo.last" // answered with the newest Note
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
	Memo struct {
		Dir string
		Now func() time.Time // time.Now if it is nil

		mu     sync.Mutex
		opened bool
		slot   int // that holds the newest value
		last   saved
	}

	// Note is a value with what orders it.
	Note struct {
		Revision uint64 `cbor:"1,keyasint"`
		Data     []byte `cbor:"2,keyasint"`
		Age      int64  `cbor:"3,keyasint,omitempty"` // milliseconds since it was kept
	}

	// saved is what a file holds.
	saved struct {
		Revision uint64 `cbor:"1,keyasint"`
		At       int64  `cbor:"2,keyasint"` // Unix milliseconds
		Data     []byte `cbor:"3,keyasint"`
		Sum      uint64 `cbor:"4,keyasint"` // tells a torn file
	}
)

// Register offers the memo over the link.
func (m *Memo) Register(l *link.Link) {
	l.Handle(MethodKeep, link.Answer(func(_ context.Context, n Note) (struct{}, error) { return struct{}{}, m.Keep(n) }))
	l.Handle(MethodLast, link.Answer(func(context.Context, struct{}) (Note, error) { return m.Last() }))
}

// Keep makes the note durable, unless a newer one is kept already.
func (m *Memo) Keep(n Note) (err error) {
	defer func() { err = errors.Wrap(err, "keep memo") }()
	m.mu.Lock()
	defer m.mu.Unlock()
	if err = m.open(); err != nil {
		return err
	}
	if n.Revision < m.last.Revision {
		return nil
	}
	next := saved{Revision: n.Revision, At: m.now().UnixMilli(), Data: n.Data}
	next.Sum = next.sum()
	slot := (m.slot + 1) % slots
	data, err := cbor.Marshal(next)
	if err != nil {
		return err
	}
	if err = synced.Write(m.name(slot), data); err != nil {
		return err
	}
	m.slot, m.last = slot, next
	return nil
}

// Last returns the newest note, which has no data if none was kept.
func (m *Memo) Last() (n Note, err error) {
	defer func() { err = errors.Wrap(err, "read memo") }()
	m.mu.Lock()
	defer m.mu.Unlock()
	if err = m.open(); err != nil {
		return n, err
	}
	if len(m.last.Data) == 0 {
		return n, nil
	}
	// The clock may have been set back since.
	age := max(m.now().UnixMilli()-m.last.At, 0)
	return Note{Revision: m.last.Revision, Data: m.last.Data, Age: age}, nil
}

// open reads the files at the first use; m.mu is held.
func (m *Memo) open() error {
	if m.opened {
		return nil
	}
	if err := os.MkdirAll(m.Dir, dirMode); err != nil {
		return err
	}
	for slot := range slots {
		data, err := os.ReadFile(m.name(slot))
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return err
		}
		var s saved
		if cbor.Unmarshal(data, &s) != nil || s.Sum != s.sum() {
			continue // torn: the other file has the value before it
		}
		if s.Revision >= m.last.Revision {
			m.slot, m.last = slot, s
		}
	}
	m.opened = true
	return nil
}

func (m *Memo) name(slot int) string { return filepath.Join(m.Dir, "memo-"+strconv.Itoa(slot)) }

func (m *Memo) now() time.Time {
	if m.Now == nil {
		return time.Now()
	}
	return m.Now()
}

func (s saved) sum() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(strconv.FormatUint(s.Revision, 10) + " " + strconv.FormatInt(s.At, 10) + " ") // never fails
	_, _ = d.Write(s.Data)
	return d.Sum64()
}
