package seglog

import (
	"encoding/binary"
	"hash/crc32"
	"time"

	"github.com/cockroachdb/errors"
)

// Refused returns why the disk takes no records, as far as the last batch shows; nil if it took that.
func (l *Log) Refused() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refused
}

// commit writes and syncs a batch.
func (l *Log) commit(batch []entry) (positions []Pos, err error) {
	defer func() {
		err = errors.Wrap(err, "commit")
		l.mu.Lock()
		l.refused = err
		l.mu.Unlock()
	}()
	positions = make([]Pos, len(batch))
	if err = l.prepare(); err != nil {
		return positions, err
	}
	var buf []byte
	for i, e := range batch {
		positions[i] = Pos{Segment: l.number, Offset: l.size + int64(len(buf)), Size: len(e.data)}
		buf = appendRecord(buf, e.data)
	}
	return positions, l.writeDurably(buf)
}

// appendRecord appends a record with its header.
func appendRecord(buf, rec []byte) []byte {
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(rec)))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(rec, crcTable))
	return append(buf, rec...)
}

// prepare makes the segment that is being written ready for a batch.
func (l *Log) prepare() (err error) {
	for err == nil && (l.file == nil || l.unsynced != 0) {
		if l.file == nil {
			err = l.newSegment()
		} else {
			err = l.rewriteUnsynced()
		}
	}
	return err
}

// newSegment begins a new segment. On most file systems the first sync of the file makes its
// name durable; the folder is synced for the others.
func (l *Log) newSegment() (err error) {
	if err = l.cutTail(); err != nil {
		return err
	}
	l.mu.Lock()
	l.number++ // also after a failure, which may have left a file
	l.size = 0
	l.mu.Unlock()
	name := fileName(l.number)
	f, err := l.Files.Create(name)
	if err != nil {
		return err
	}
	if err = l.Files.Sync(); err != nil {
		return errors.CombineErrors(err, errors.CombineErrors(f.Close(), l.Files.Remove(name)))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.file = f
	l.segments[l.number] = &segment{file: f, lastWrite: time.Now()}
	return nil
}

// writeDurably appends bytes to the segment that is being written, and syncs it. If either is
// refused, the next batch goes to a new segment.
func (l *Log) writeDurably(buf []byte) error {
	_, err := l.file.WriteAt(buf, l.size)
	if err == nil {
		err = l.file.Sync()
	}
	if err != nil {
		l.torn = l.number
		l.endSegment()
		return errors.CombineErrors(err, l.cutTail())
	}
	l.mu.Lock()
	l.size += int64(len(buf))
	s := l.segments[l.number]
	s.size, s.lastWrite = l.size, time.Now()
	full := l.size >= l.Segment
	l.mu.Unlock()
	if full {
		l.endSegment()
	}
	return nil
}

// endSegment completes the segment that is being written. The next batch begins another.
func (l *Log) endSegment() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.file = nil
}

// cutTail removes what a refused batch left behind the records of its segment. A process that starts
// again would take it for records, and could not tell that no sync covers them. Until this succeeds,
// no segment is begun: only the last one may have such a tail.
func (l *Log) cutTail() error {
	l.mu.Lock()
	n, s := l.torn, l.segments[l.torn]
	l.mu.Unlock()
	if s == nil { // none, or it was dropped
		l.torn = 0
		return nil
	}
	if err := s.file.Truncate(s.size); err != nil {
		return errors.Wrap(err, "cut off a refused batch")
	}
	l.torn = 0
	if s.size > 0 {
		return nil
	}
	return errors.Wrap(l.Drop(n), "remove an empty segment")
}

// syncLast syncs the last segment of an earlier process, which may have ended before it did so.
func (l *Log) syncLast() error {
	s := l.segments[l.number]
	if s == nil || s.size == 0 {
		return nil
	}
	err := s.file.Sync()
	if err != nil {
		l.unsynced = l.number
	}
	return errors.Wrap(err, "sync the last segment")
}

// rewriteUnsynced writes the records of a segment that could not be synced into the new one, before
// any other record is acknowledged.
func (l *Log) rewriteUnsynced() error {
	l.mu.Lock()
	s := l.segments[l.unsynced]
	l.mu.Unlock()
	if s != nil { // or it was dropped
		buf := make([]byte, s.size)
		if _, err := s.file.ReadAt(buf, 0); err != nil {
			return err
		}
		if err := l.writeDurably(buf); err != nil {
			return err
		}
	}
	l.unsynced = 0
	return nil
}
