package link

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxMessage   = 64 << 20 // bytes of an object, and of an attachment
	maxHandshake = 1 << 10
	writeChunk   = 64 << 10
	writeTimeout = 2500 * time.Millisecond // for each chunk
	bufferSize   = 4 << 10
	// freeAttachment is the length up to which an attachment is read without leave, in bytes.
	freeAttachment = 64 << 10
)

// methodKey is in the JSON objects of requests only: their method comes first.
var methodKey = []byte(`"method":`)

// stream frames JSON-RPC messages; it is a jsonrpc2.ObjectStream. A frame is
// the length of a JSON object as a varint, the object, the length of an
// attachment as a varint, the attachment. Bodies and texts are attached
// verbatim: inside JSON they would be escaped and scanned several times at both
// ends, which costs about a hundred times the CPU time. A frame with an empty
// object is a piece of an answer: its attachment is the id of the call as a
// varint, then text.
//
// Unlike the library's framing it limits message sizes: bytes that another
// program sends to this port could otherwise be read as a length to allocate.
// It records when data was last read.
type stream struct {
	conn     net.Conn
	r        *bufio.Reader
	limit    uint64
	lastRead atomic.Int64 // nanoseconds of Unix time
	onPiece  func(id uint64, text []byte)
	take     func(n int64) error // see Link.Take; nil for no bound
	giveBack func(n int64)       // see Link.Return

	lastAttachment []byte // attachment of the last object read; used by the reader only
	lastTaken      int64  // bytes taken for it; used by the reader only
	lastErr        error  // why it was not read; used by the reader only
	nextAttachment []byte // attachment of the next object to write; used by its writer only
	writeMu        sync.Mutex
}

func newStream(conn net.Conn) *stream {
	s := &stream{conn: conn, limit: maxHandshake}
	s.r = bufio.NewReaderSize(s, bufferSize)
	s.lastRead.Store(time.Now().UnixNano())
	return s
}

// Read reads from the connection to fill r.
func (s *stream) Read(p []byte) (int, error) {
	n, err := s.conn.Read(p)
	if n > 0 {
		s.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// ReadObject reads the next object, passing pieces before it to onPiece.
func (s *stream) ReadObject(v any) error {
	for {
		object, err := s.readField()
		if err != nil {
			return err
		}
		s.lastAttachment, err = s.readAttachment(bytes.Contains(object, methodKey))
		if err != nil {
			return err
		}
		if len(object) > 0 {
			return json.Unmarshal(object, v)
		}
		id, n := binary.Uvarint(s.lastAttachment)
		if n <= 0 || s.onPiece == nil {
			return errBadFrame
		}
		s.onPiece(id, s.lastAttachment[n:])
	}
}

func (s *stream) readField() ([]byte, error) {
	n, err := s.readLength()
	if err != nil || n == 0 {
		return nil, err
	}
	return s.readBytes(n)
}

func (s *stream) readLength() (uint64, error) {
	n, err := binary.ReadUvarint(s.r)
	if err == nil && n > s.limit {
		return 0, errTooLarge
	}
	return n, err
}

func (s *stream) readBytes(n uint64) ([]byte, error) {
	data := make([]byte, n)
	_, err := io.ReadFull(s.r, data)
	return data, err
}

// readAttachment reads the attachment of an object. A long one of a request for which there is no room is discarded, and
// lastErr tells why.
func (s *stream) readAttachment(ofRequest bool) (data []byte, err error) {
	s.lastTaken, s.lastErr = 0, nil
	n, err := s.readLength()
	if err != nil || n == 0 {
		return nil, err
	}
	if n <= freeAttachment || !ofRequest || s.take == nil {
		return s.readBytes(n)
	}
	if s.lastErr = s.take(int64(n)); s.lastErr != nil {
		_, err = io.CopyN(io.Discard, s.r, int64(n))
		return nil, err
	}
	if data, err = s.readBytes(n); err != nil {
		s.giveBack(int64(n))
		return nil, err
	}
	s.lastTaken = int64(n)
	return data, nil
}

// WriteObject writes an object and its attachment.
func (s *stream) WriteObject(v any) error {
	attachment := s.nextAttachment
	s.nextAttachment = nil
	object, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if len(object) > maxMessage || len(attachment) > maxMessage {
		return errTooLarge
	}
	head := make([]byte, 0, len(object)+2*binary.MaxVarintLen64+min(len(attachment), bufferSize))
	head = binary.AppendUvarint(head, uint64(len(object)))
	head = append(head, object...)
	head = binary.AppendUvarint(head, uint64(len(attachment)))
	return s.write(head, attachment)
}

// writePiece writes a piece of an answer.
func (s *stream) writePiece(id uint64, text string) error {
	var prefix [binary.MaxVarintLen64]byte
	n := binary.PutUvarint(prefix[:], id)
	head := make([]byte, 0, len(text)+3*binary.MaxVarintLen64)
	head = append(head, 0)
	head = binary.AppendUvarint(head, uint64(n+len(text)))
	head = append(head, prefix[:n]...)
	return s.write(append(head, text...), nil)
}

// write writes a frame. It fails if a chunk can't be written within
// writeTimeout: a full send buffer of an unresponsive connection would
// otherwise block every sender for ever. The peer can't parse what follows a
// partial frame, so an error closes the connection.
func (s *stream) write(head, tail []byte) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if len(tail) <= bufferSize {
		head = append(head, tail...)
		tail = nil
	}
	for _, part := range [][]byte{head, tail} {
		if err := s.writePart(part); err != nil {
			_ = s.conn.Close()
			return err
		}
	}
	return nil
}

func (s *stream) writePart(part []byte) error {
	for len(part) > 0 {
		n := min(len(part), writeChunk)
		if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if _, err := s.conn.Write(part[:n]); err != nil {
			return err
		}
		part = part[n:]
	}
	return nil
}

// Close closes the connection.
func (s *stream) Close() error { return s.conn.Close() }

// closeOnDone closes the connection if ctx ends before stop is called.
func (s *stream) closeOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = s.conn.Close() })
}
