package event

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestNext(t *testing.T) {
	type want struct{ raw, id, data string }
	cases := map[string]struct {
		text string
		want []want
		end  error
	}{
		"two events":      {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []want{{"id: 1\ndata: a\n\n", "1", "a"}, {"id: 2\ndata: b\n\n", "2", "b"}}, io.EOF},
		"several lines":   {"data: a\ndata: b\ndata:c\n\n", []want{{"data: a\ndata: b\ndata:c\n\n", "", "a\nb\nc"}}, io.EOF},
		"carriage return": {"id: 1\r\ndata: a\r\n\r\n", []want{{"id: 1\r\ndata: a\r\n\r\n", "1", "a"}}, io.EOF},
		"another field":   {"weight-versions: 3\nid: 1\ndata: a\n\n", []want{{"weight-versions: 3\nid: 1\ndata: a\n\n", "1", "a"}}, io.EOF},
		"torn":            {"id: 1\ndata: a\n\nid: 2\nda", []want{{"id: 1\ndata: a\n\n", "1", "a"}}, ErrTruncated},
		"torn before end": {"id: 1\ndata: a\n", nil, ErrTruncated},
		"empty":           {"", nil, io.EOF},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := Reader{R: bufio.NewReaderSize(strings.NewReader(c.text), 16)}
			for _, w := range c.want {
				e, err := r.Next()
				is.NoErr(err)
				is.Equal(want{string(e.Raw), e.ID, string(e.Data)}, w)
			}
			_, err := r.Next()
			is.True(errors.Is(err, c.end))
		})
	}
}

// An upstream sends an endless event, which must not exhaust the daemon's memory.
func TestNextIsBounded(t *testing.T) {
	r := Reader{R: bufio.NewReader(strings.NewReader(strings.Repeat("data: x\n", MaxSize)))}
	_, err := r.Next()
	is.New(t).True(err != nil)
}
