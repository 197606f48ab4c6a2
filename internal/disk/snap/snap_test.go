package snap_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/snap"
)

// Power is lost during a write, at any byte of it, and the process restarts. The previous
// snapshot must still be readable: without it, daemons that start while the store is down
// can't serve callers.
func TestTornWriteKeepsPreviousSnapshot(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	s := snap.Snapshotter{Dir: dir}
	is.NoErr(s.Save(snap.Snapshot{Revision: 1, Data: []byte("one")}))
	is.NoErr(s.Save(snap.Snapshot{Revision: 2, Data: []byte("two")}))
	is.NoErr(s.Save(snap.Snapshot{Revision: 3, Data: []byte("three")}))
	newest := filepath.Join(dir, "memo-1")
	content, err := os.ReadFile(newest)
	is.NoErr(err)
	for n := range content {
		is.NoErr(os.WriteFile(newest, content[:n], 0o600))
		reopened := snap.Snapshotter{Dir: dir}
		snapshot, err := reopened.Load()
		is.NoErr(err)
		is.Equal(string(snapshot.Data), "two")
	}
	corrupt := append([]byte(nil), content...)
	corrupt[len(corrupt)/2] ^= 1
	is.NoErr(os.WriteFile(newest, corrupt, 0o600))
	reopened := snap.Snapshotter{Dir: dir}
	snapshot, err := reopened.Load()
	is.NoErr(err)
	is.Equal(string(snapshot.Data), "two")
}

// Two daemons save their state, and the older one arrives last, perhaps after a restart.
// It must not replace the newer one.
func TestOlderSnapshotIsIgnored(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	now := time.UnixMilli(5000)
	s := snap.Snapshotter{Dir: dir, Now: func() time.Time { return now }}
	snapshot, err := s.Load()
	is.NoErr(err)
	is.Equal(len(snapshot.Data), 0) // nothing was saved
	is.NoErr(s.Save(snap.Snapshot{Revision: 7, Data: []byte("new")}))
	is.NoErr(s.Save(snap.Snapshot{Revision: 6, Data: []byte("old")}))
	reopened := snap.Snapshotter{Dir: dir, Now: func() time.Time { return now.Add(time.Second) }}
	is.NoErr(reopened.Save(snap.Snapshot{Revision: 5, Data: []byte("older")}))
	snapshot, err = reopened.Load()
	is.NoErr(err)
	is.Equal(snapshot, snap.Snapshot{Revision: 7, Data: []byte("new"), Age: 1000})
	clockSetBack := snap.Snapshotter{Dir: dir, Now: func() time.Time { return now.Add(-time.Hour) }}
	snapshot, err = clockSetBack.Load()
	is.NoErr(err)
	is.Equal(snapshot.Age, int64(0))
}
