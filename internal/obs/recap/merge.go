package recap

import (
	"bufio"
	"bytes"
	"container/heap"
	"context"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// maxLine is the longest line that is read, in bytes. It is the buffer of each open log,
	// so that the logs of 320 fronts take 20 MB.
	maxLine = 64 << 10
	// checkLines is how many lines are read between two checks whether to stop.
	checkLines = 1024
)

var errLong = errors.Newf("longer than %d bytes", maxLine)

type (
	// Source is a log. Its lines should be sorted by time.
	Source struct {
		Name string
		R    io.Reader

		r      *bufio.Reader
		number int64
		line   Line // the next one
	}

	// merger is a heap of logs by the time of their next line.
	merger []*Source
)

// Read adds the lines of logs in the order of their times, since the lines of one program
// may be in several logs.
func (s *State) Read(ctx context.Context, sources []*Source) error {
	var m merger
	for _, src := range sources {
		src.r = bufio.NewReaderSize(src.R, maxLine)
		more, err := src.next(ctx, s)
		if err != nil {
			return err
		}
		if more {
			m = append(m, src)
		}
	}
	heap.Init(&m)
	for len(m) > 0 {
		s.Add(&m[0].line)
		more, err := m[0].next(ctx, s)
		if err != nil {
			return err
		}
		if more {
			heap.Fix(&m, 0)
		} else {
			heap.Pop(&m)
		}
	}
	return nil
}

// next reads up to the next `request` line. It reports whether there is one.
func (src *Source) next(ctx context.Context, s *State) (more bool, err error) {
	defer func() { err = errors.Wrapf(err, "read %s", src.Name) }()
	for {
		if src.number%checkLines == 0 && ctx.Err() != nil {
			return false, ctx.Err()
		}
		text, err := src.r.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) && !errors.Is(err, io.EOF) {
			return false, err
		}
		ended := errors.Is(err, io.EOF)
		if ended && len(text) == 0 {
			return false, nil
		}
		src.number++
		if errors.Is(err, bufio.ErrBufferFull) {
			s.Unreadable(src.Name, src.number, errLong)
			if err := src.skipLine(); err != nil {
				return false, err
			}
			continue
		}
		if src.parse(s, text) {
			return true, nil
		}
	}
}

// parse reports whether a line is a `request` line, and counts it if not.
func (src *Source) parse(s *State, text []byte) bool {
	text = bytes.TrimSpace(text)
	if len(text) == 0 {
		return false
	}
	line, isRequest, err := Parse(text)
	switch {
	case err != nil:
		s.Unreadable(src.Name, src.number, err)
	case !isRequest:
		s.Skip()
	}
	src.line = line
	return isRequest
}

// skipLine reads the rest of a line.
func (src *Source) skipLine() error {
	for {
		_, err := src.r.ReadSlice('\n')
		switch {
		case err == nil, errors.Is(err, io.EOF):
			return nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return err
		}
	}
}

func (m merger) Len() int           { return len(m) }
func (m merger) Less(i, j int) bool { return m[i].line.End < m[j].line.End }
func (m merger) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }
func (m *merger) Push(x any)        { *m = append(*m, x.(*Source)) }

func (m *merger) Pop() any {
	old := *m
	last := old[len(old)-1]
	*m = old[:len(old)-1]
	return last
}
