package link

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync/atomic"
	"time"
)

const (
	maxMessage   = 64 << 20 // bytes of one encoded message
	maxHandshake = 1 << 10
	writeChunk   = 64 << 10
	writeTimeout = 2500 * time.Millisecond // for each chunk
	bufferSize   = 4 << 10
)

// stream frames JSON objects with their length as a varint; it is a
// jsonrpc2.ObjectStream. Unlike the library's own framing it bounds what it
// reads, since a length that some other program sent to this port would
// otherwise be allocated. It notes when bytes last came.
type stream struct {
	conn  net.Conn
	r     *bufio.Reader
	limit uint64
	heard atomic.Int64 // nanoseconds of Unix time
}

func newStream(conn net.Conn) *stream {
	s := &stream{conn: conn, limit: maxHandshake}
	s.r = bufio.NewReaderSize(s, bufferSize)
	s.heard.Store(time.Now().UnixNano())
	return s
}

// Read reads from the connection for the buffer above.
func (s *stream) Read(p []byte) (int, error) {
	n, err := s.conn.Read(p)
	if n > 0 {
		s.heard.Store(time.Now().UnixNano())
	}
	return n, err
}

// ReadObject reads the next object.
func (s *stream) ReadObject(v any) error {
	n, err := binary.ReadUvarint(s.r)
	if err != nil {
		return err
	}
	if n > s.limit {
		return errTooLarge
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(s.r, data); err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}

// WriteObject writes an object. It gives up when the peer takes nothing for
// writeTimeout: a full send buffer of a silent connection would otherwise
// block every sender for good.
func (s *stream) WriteObject(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if len(data) > maxMessage {
		return errTooLarge
	}
	frame := make([]byte, 0, len(data)+binary.MaxVarintLen64)
	frame = binary.AppendUvarint(frame, uint64(len(data)))
	frame = append(frame, data...)
	return s.write(frame)
}

func (s *stream) write(frame []byte) error {
	for len(frame) > 0 {
		n := min(len(frame), writeChunk)
		if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if _, err := s.conn.Write(frame[:n]); err != nil {
			// What follows half a frame can't be read; the reader ends too.
			_ = s.conn.Close()
			return err
		}
		frame = frame[n:]
	}
	return nil
}

// Close closes the connection.
func (s *stream) Close() error { return s.conn.Close() }

// guard closes the connection when ctx ends before stop is called.
func (s *stream) guard(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = s.conn.Close() })
}
