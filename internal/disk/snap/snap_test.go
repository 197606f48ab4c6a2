package snap_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/snap"
)

// Power is lost while a value is written, at any byte of it, and the process
// starts again. The value before it must still be there: without it, daemons that
// start while the store is away serve nobody.
func TestTornWriteKeepsTheValueBefore(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	m := snap.Snapshotter{Dir: dir}
	is.NoErr(m.Save(snap.Snapshot{Revision: 1, Data: []byte("one")}))
	is.NoErr(m.Save(snap.Snapshot{Revision: 2, Data: []byte("two")}))
	is.NoErr(m.Save(snap.Snapshot{Revision: 3, Data: []byte("three")}))
	newest := filepath.Join(dir, "memo-1")
	whole, err := os.ReadFile(newest)
	is.NoErr(err)
	for n := range whole {
		is.NoErr(os.WriteFile(newest, whole[:n], 0o600))
		again := snap.Snapshotter{Dir: dir}
		note, err := again.Load()
		is.NoErr(err)
		is.Equal(string(note.Data), "two")
	}
	spoilt := append([]byte(nil), whole...)
	spoilt[len(spoilt)/2] ^= 1
	is.NoErr(os.WriteFile(newest, spoilt, 0o600))
	again := snap.Snapshotter{Dir: dir}
	note, err := again.Load()
	is.NoErr(err)
	is.Equal(string(note.Data), "two")
}

// Two daemons write what they know, and the older knowledge arrives last, perhaps
// after a restart. It must not replace the newer.
func TestOlderValueIsPassedOver(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	now := time.UnixMilli(5000)
	m := snap.Snapshotter{Dir: dir, Now: func() time.Time { return now }}
	note, err := m.Load()
	is.NoErr(err)
	is.Equal(len(note.Data), 0) // nothing was kept
	is.NoErr(m.Save(snap.Snapshot{Revision: 7, Data: []byte("new")}))
	is.NoErr(m.Save(snap.Snapshot{Revision: 6, Data: []byte("old")}))
	again := snap.Snapshotter{Dir: dir, Now: func() time.Time { return now.Add(time.Second) }}
	is.NoErr(again.Save(snap.Snapshot{Revision: 5, Data: []byte("older")}))
	note, err = again.Load()
	is.NoErr(err)
	is.Equal(note, snap.Snapshot{Revision: 7, Data: []byte("new"), Age: 1000})
	setBack := snap.Snapshotter{Dir: dir, Now: func() time.Time { return now.Add(-time.Hour) }}
	note, err = setBack.Load()
	is.NoErr(err)
	is.Equal(note.Age, int64(0))
}
