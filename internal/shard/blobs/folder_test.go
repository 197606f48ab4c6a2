package blobs

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

type folderFixture struct {
	*is.I
	*Folder
	now *time.Time
}

func newFolderFixture(t *testing.T) folderFixture {
	now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	r := folderFixture{I: is.New(t), now: &now}
	r.Folder = &Folder{Dir: t.TempDir(), Now: func() time.Time { return now }}
	return r
}

// restart returns the fixture with the folder opened anew, as after a restart.
func (r folderFixture) restart() folderFixture {
	r.Folder = &Folder{Dir: r.Dir, Now: r.Now, Capacity: r.Capacity}
	return r
}

func (r folderFixture) put(text string) Digest {
	d, err := r.Put(1, []byte(text))
	r.NoErr(err)
	return d
}

func (r folderFixture) expectText(d Digest, text string) {
	data, err := r.Get(1, d)
	r.NoErr(err)
	r.Equal(string(data), text)
}

func (r folderFixture) expectMissing(d Digest) {
	_, err := r.Get(1, d)
	r.True(errors.Is(err, ErrNotFound))
}

func (r folderFixture) expectUsed(want int64) {
	used, err := r.Used()
	r.NoErr(err)
	r.Equal(used, want)
}

func (r folderFixture) overwrite(d Digest, text string) {
	r.NoErr(os.WriteFile(r.path(1, d), []byte(text), fileMode))
}

func TestFolder(t *testing.T) {
	tests := map[string]func(r folderFixture){
		"what is stored is read, also after a restart": func(r folderFixture) {
			d := r.put("text")
			r.expectText(d, "text")
			r.restart().expectText(d, "text")
			r.restart().expectUsed(4)
		},
		"shards are apart": func(r folderFixture) {
			d := r.put("text")
			_, err := r.Get(2, d)
			r.True(errors.Is(err, ErrNotFound))
		},
		"the same text twice counts once": func(r folderFixture) {
			r.put("text")
			r.put("text")
			r.expectUsed(4)
		},
		"the same text by many at once counts once": func(r folderFixture) {
			var all sync.WaitGroup
			for range 16 {
				all.Go(func() { r.put("text") })
			}
			all.Wait()
			r.expectUsed(4)
			r.restart().expectUsed(4)
		},
		"list in pages": func(r folderFixture) {
			want := map[Digest]bool{}
			for _, c := range strings.Split("abcdefgh", "") {
				want[r.put(c)] = true
			}
			var after Digest
			for range 3 {
				page, err := r.List(1, after, 3)
				r.NoErr(err)
				for _, d := range page {
					r.True(d.String() > after.String())
					r.True(want[d])
					delete(want, d)
					after = d
				}
			}
			r.Equal(len(want), 0)
		},
		// A disk returns other bytes than were written. The reader gets an
		// error instead of the wrong text, and the corrupt copy is removed, so
		// that the text can be stored again.
		"spoilt on the disk": func(r folderFixture) {
			d := r.put("text")
			r.overwrite(d, "TEXT")
			_, err := r.Get(1, d)
			var corrupt *CorruptError
			r.True(errors.As(err, &corrupt))
			r.Equal(corrupt.Digest, d)
			r.expectMissing(d)
			r.expectUsed(0)
			r.Equal(r.put("text"), d)
			r.expectText(d, "text")
		},
		// The copy is corrupt and has not been read since when the same text
		// is stored again. If it counted as stored, the text would be lost.
		"spoilt, then stored again": func(r folderFixture) {
			d := r.put("text")
			r.overwrite(d, "TEXT")
			r.put("text")
			r.expectText(d, "text")
			r.expectUsed(4)
		},
		// The machine fails while a blob is written. The partial file is not a
		// blob, and the next start removes it.
		"crash in the middle of a write": func(r folderFixture) {
			d := Sum([]byte("text"))
			dir := filepath.Dir(r.path(1, d))
			r.NoErr(os.MkdirAll(dir, dirMode))
			r.NoErr(os.WriteFile(filepath.Join(dir, tempPrefix+"1"), []byte("te"), fileMode))
			r.expectMissing(d)
			left, err := os.ReadDir(dir)
			r.NoErr(err)
			r.Equal(len(left), 0)
			r.expectUsed(0)
		},
		// The folder reaches its capacity. A further blob is rejected, so that
		// the owner stores it at another holder, and the existing ones stay.
		"full": func(r folderFixture) {
			r.Capacity = 6
			d := r.put("text")
			_, err := r.Put(1, []byte("more"))
			r.True(errors.Is(err, ErrFull))
			r.expectText(d, "text")
			r.put("2b")
		},
		"too large": func(r folderFixture) {
			r.MaxSize = 3
			_, err := r.Put(1, []byte("text"))
			r.True(errors.Is(err, ErrTooLarge))
		},
		"old ones are dropped, young ones stay": func(r folderFixture) {
			old := r.put("old")
			*r.now = r.now.Add(defaultMinAge)
			young := r.put("young")
			n, err := r.Drop(1, 1, []Digest{old, young, Sum(nil)})
			r.NoErr(err)
			r.Equal(n, 1)
			r.expectMissing(old)
			r.expectText(young, "young")
			r.expectUsed(5)
		},
		// The same text is stored again just before its unreferenced blob is
		// dropped. The blob must stay for the second user.
		"stored again before it is dropped": func(r folderFixture) {
			d := r.put("text")
			*r.now = r.now.Add(defaultMinAge)
			r.put("text")
			n, err := r.Drop(1, 1, []Digest{d})
			r.NoErr(err)
			r.Equal(n, 0)
			r.expectText(d, "text")
		},
		// A daemon that lost its shard without noticing drops blobs that it
		// does not know. The new owner's blobs must stay, also if the folder's
		// process has restarted in between.
		"dropped by a former owner": func(r folderFixture) {
			d := r.put("text")
			*r.now = r.now.Add(defaultMinAge)
			_, err := r.Drop(1, 5, nil)
			r.NoErr(err)
			_, err = r.Drop(1, 4, []Digest{d})
			r.True(errors.Is(err, ErrFenced))
			r = r.restart()
			_, err = r.Drop(1, 4, []Digest{d})
			r.True(errors.Is(err, ErrFenced))
			r.expectText(d, "text")
			_, err = r.Drop(2, 4, nil)
			r.NoErr(err)
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { tt(newFolderFixture(t)) })
	}
}

func TestParse(t *testing.T) {
	d := Sum([]byte("text"))
	tests := map[string]struct {
		text string
		ok   bool
	}{
		"own form":  {d.String(), true},
		"too short": {d.String()[2:], false},
		"not hex":   {strings.Repeat("x", 64), false},
		"a path":    {"../" + d.String()[3:], false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, err := Parse(tt.text)
			is.Equal(err == nil, tt.ok)
			is.Equal(got == d, tt.ok)
		})
	}
}

// BenchmarkPut measures storing 64 KB, including the syncs of file and directory.
func BenchmarkPut(b *testing.B) {
	f := &Folder{Dir: b.TempDir()}
	data := make([]byte, 64<<10)
	n := 0
	for b.Loop() {
		n++
		data[0], data[1], data[2] = byte(n), byte(n>>8), byte(n>>16)
		if _, err := f.Put(1, data); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkGet measures reading 64 KB, including the check of the digest.
func BenchmarkGet(b *testing.B) {
	f := &Folder{Dir: b.TempDir()}
	d, err := f.Put(1, make([]byte, 64<<10))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := f.Get(1, d); err != nil {
			b.Fatal(err)
		}
	}
}
