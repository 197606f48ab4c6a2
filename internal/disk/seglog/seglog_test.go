package seglog

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

func open(t *testing.T, dir string) (*Log, []string) {
	t.Helper()
	var seen []string
	l := &Log{Dir: dir}
	is.New(t).NoErr(l.Open(func(_ Pos, rec []byte) { seen = append(seen, string(rec)) }))
	return l, seen
}

func add(t *testing.T, l *Log, text string) Pos {
	t.Helper()
	type result struct {
		pos Pos
		err error
	}
	done := make(chan result, 1)
	l.Append([]byte(text), func(p Pos, err error) { done <- result{p, err} })
	r := <-done
	is.New(t).NoErr(r.err)
	return r.pos
}

func TestReopen(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	l, _ := open(t, dir)
	pos := add(t, l, "one")
	add(t, l, "two")
	is.NoErr(l.Close())
	l, seen := open(t, dir)
	is.Equal(seen, []string{"one", "two"})
	rec, err := l.Read(pos)
	is.NoErr(err)
	is.Equal(string(rec), "one")
	add(t, l, "three") // goes to a segment of its own
	is.NoErr(l.Close())
	l, seen = open(t, dir)
	is.Equal(seen, []string{"one", "two", "three"})
	is.NoErr(l.Close())
}

// The VM loses power during a write. Records synced before must be read again, and a torn
// one must not be taken for a record.
func TestTornTail(t *testing.T) {
	cases := map[string]func(data []byte) []byte{
		"cut in the head":   func(d []byte) []byte { return d[:len(d)-len("two")-3] },
		"cut in the record": func(d []byte) []byte { return d[:len(d)-1] },
		"a flipped bit":     func(d []byte) []byte { d[len(d)-1] ^= 1; return d },
		"zeros instead":     func(d []byte) []byte { clear(d[len(d)-len("two")-headerSize:]); return d },
		"bytes behind":      func(d []byte) []byte { d[len(d)-1] ^= 1; return append(d, 0xff, 1, 2) },
	}
	for name, corrupt := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			l, _ := open(t, dir)
			add(t, l, "one")
			add(t, l, "two")
			is.NoErr(l.Close())
			file := filepath.Join(dir, "1"+suffix)
			data, err := os.ReadFile(file)
			is.NoErr(err)
			is.NoErr(os.WriteFile(file, corrupt(data), fileMode))
			l, seen := open(t, dir)
			is.Equal(seen, []string{"one"})
			add(t, l, "three")
			is.NoErr(l.Close())
			l, seen = open(t, dir)
			is.Equal(seen, []string{"one", "three"}) // the torn tail hides no later record
			is.NoErr(l.Close())
		})
	}
}

func TestScan(t *testing.T) {
	is := is.New(t)
	l := &Log{Dir: t.TempDir(), Segment: 64}
	is.NoErr(l.Open(func(Pos, []byte) {}))
	var want []string
	for i := range 20 {
		text := fmt.Sprintf("record %d %s", i, bytes.Repeat([]byte("x"), i))
		add(t, l, text)
		want = append(want, text)
	}
	var got []string
	var from Pos
	for {
		recs, positions, after, err := l.Scan(from, 50)
		is.NoErr(err)
		if len(recs) == 0 {
			break
		}
		for i, rec := range recs {
			got = append(got, string(rec))
			read, err := l.Read(positions[i])
			is.NoErr(err)
			is.Equal(read, rec)
		}
		from = after
	}
	is.Equal(got, want)
	numbers, _ := l.Segments()
	is.True(len(numbers) > 2)
	is.NoErr(l.Drop(numbers[0]))
	recs, _, _, err := l.Scan(Pos{}, 1)
	is.NoErr(err)
	is.True(string(recs[0]) != want[0]) // continues after the dropped segment
	is.NoErr(l.Close())
}
