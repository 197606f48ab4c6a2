package event

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/matryer/is"
)

// Guards against bytes of a faulty upstream that are passed on as whole events, or that are held beyond the bound.
func FuzzNext(f *testing.F) {
	for _, seed := range []string{
		"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\r\ndata: a\r\n\r\n", "data: a\ndata: b\n\n", "\n\n\nid: 1\n\n", "id: 1\nda", ":\n\n", "\x16\x03\x01",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		is := is.New(t)
		taken := int64(0)
		r := Reader{
			R:      bufio.NewReaderSize(bytes.NewReader(data), 16),
			Take:   func(n int64) error { taken += n; return nil },
			Return: func(n int64) { taken -= n },
		}
		var all []byte
		for {
			e, err := r.Next()
			if err != nil {
				break
			}
			is.True(endsEvent(e.Raw))
			is.True(len(e.Raw) <= MaxSize)
			all = append(all, e.Raw...)
		}
		r.Close()
		is.True(bytes.HasPrefix(data, all)) // nothing is left out, twice or changed
		is.Equal(taken, int64(0))
	})
}
