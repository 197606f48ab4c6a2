package memo_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/memo"
)

// Power is lost while a value is written, at any byte of it, and the process
// starts again. The value before it must still be there: without it, daemons that
// start while the store is away serve nobody.
func TestTornWriteKeepsTheValueBefore(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	m := memo.Memo{Dir: dir}
	is.NoErr(m.Keep(memo.Note{Revision: 1, Data: []byte("one")}))
	is.NoErr(m.Keep(memo.Note{Revision: 2, Data: []byte("two")}))
	is.NoErr(m.Keep(memo.Note{Revision: 3, Data: []byte("three")}))
	newest := filepath.Join(dir, "memo-1")
	whole, err := os.ReadFile(newest)
	is.NoErr(err)
	for n := range whole {
		is.NoErr(os.WriteFile(newest, whole[:n], 0o600))
		again := memo.Memo{Dir: dir}
		note, err := again.Last()
		is.NoErr(err)
		is.Equal(string(note.Data), "two")
	}
	spoilt := append([]byte(nil), whole...)
	spoilt[len(spoilt)/2] ^= 1
	is.NoErr(os.WriteFile(newest, spoilt, 0o600))
	again := memo.Memo{Dir: dir}
	note, err := again.Last()
	is.NoErr(err)
	is.Equal(string(note.Data), "two")
}

// Two daemons write what they know, and the older knowledge arrives last, perhaps
// after a restart. It must not replace the newer.
func TestOlderValueIsPassedOver(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	now := time.UnixMilli(5000)
	m := memo.Memo{Dir: dir, Now: func() time.Time { return now }}
	note, err := m.Last()
	is.NoErr(err)
	is.Equal(len(note.Data), 0) // nothing was kept
	is.NoErr(m.Keep(memo.Note{Revision: 7, Data: []byte("new")}))
	is.NoErr(m.Keep(memo.Note{Revision: 6, Data: []byte("old")}))
	again := memo.Memo{Dir: dir, Now: func() time.Time { return now.Add(time.Second) }}
	is.NoErr(again.Keep(memo.Note{Revision: 5, Data: []byte("older")}))
	note, err = again.Last()
	is.NoErr(err)
	is.Equal(note, memo.Note{Revision: 7, Data: []byte("new"), Age: 1000})
	setBack := memo.Memo{Dir: dir, Now: func() time.Time { return now.Add(-time.Hour) }}
	note, err = setBack.Last()
	is.NoErr(err)
	is.Equal(note.Age, int64(0))
}
