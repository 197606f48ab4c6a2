// Package event reads server-sent events (text/event-stream).
//
// An upstream's stream may end in the middle of an event. What is sent to a caller must
// end at an event boundary, so that the stream can be resumed at another upstream.
// Reader therefore returns complete events only.
package event

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// MaxSize bounds one event in bytes. Upstreams send a few hundred; a faulty one that sends
	// more than this must not exhaust the daemon's memory.
	MaxSize = 1 << 20
	// Short is the length up to which an event is read without leave, in bytes.
	Short = 64 << 10
)

type (
	// Reader reads events. Set R before use.
	Reader struct {
		R *bufio.Reader
		// Take is called before more than Short bytes of an event are held, with the most that it may
		// need, and Return when the event is done with; nil for nothing.
		Take   func(n int64) error
		Return func(n int64)

		raw   []byte
		taken bool
	}

	// Event is one event. Its slices are valid until the next call of Next.
	Event struct {
		Raw  []byte // as received, with the empty line that ends it
		ID   string
		Data []byte // of all data lines, joined by line feeds
	}
)

var (
	// ErrTruncated reports a stream that ended in the middle of an event.
	ErrTruncated = errors.New("event: stream ends in the middle of an event")
	// ErrTooLong reports an event that is longer than MaxSize.
	ErrTooLong = errors.Newf("event: longer than %d bytes", MaxSize)
)

// Next returns the next event, or io.EOF at the end of the stream, or ErrTruncated if that
// is in the middle of an event.
func (r *Reader) Next() (e Event, err error) {
	r.Close()
	for {
		line, err := r.R.ReadSlice('\n')
		if leave := r.mayHold(len(r.raw) + len(line)); leave != nil {
			return Event{}, leave
		}
		r.raw = append(r.raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(r.raw) > 0:
			return Event{}, ErrTruncated
		case err != nil:
			return Event{}, err
		}
		if endsEvent(r.raw) {
			return parse(r.raw), nil
		}
	}
}

// Close frees what the last event holds. The reader may be used again.
func (r *Reader) Close() {
	r.raw = r.raw[:0]
	if !r.taken {
		return
	}
	r.raw, r.taken = nil, false
	r.Return(MaxSize)
}

// mayHold returns an error if the reader may not hold n bytes of an event.
func (r *Reader) mayHold(n int) (err error) {
	switch {
	case n > MaxSize:
		return ErrTooLong
	case n > Short && !r.taken && r.Take != nil:
		err = r.Take(MaxSize)
		r.taken = err == nil
	}
	return err
}

// endsEvent reports whether raw is a complete event: whether it ends with an empty line.
// Empty lines before an event's first field belong to it.
func endsEvent(raw []byte) bool {
	if !bytes.HasSuffix(raw, []byte("\n\n")) && !bytes.HasSuffix(raw, []byte("\n\r\n")) {
		return false
	}
	return len(bytes.Trim(raw, "\r\n")) > 0
}

func parse(raw []byte) Event {
	e := Event{Raw: raw}
	hasData := false
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			e.ID = string(value)
		case "data":
			if hasData {
				e.Data = append(append([]byte(nil), e.Data...), '\n')
				e.Data = append(e.Data, value...)
				continue
			}
			e.Data = value
			hasData = true
		}
	}
	return e
}
