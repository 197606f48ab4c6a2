// Package seglog is an append-only log in segment files on one VM's disk.
//
// Records that are appended during a sync are written and synced as one batch (group
// commit), so that the disk's sync time bounds latency but not throughput. Each record has
// a checksum. After a power loss the tail of a file that was not synced may be present,
// missing or torn; reading stops at the first incomplete record, which is safe because no
// record after it was ever acknowledged. Each start begins a new segment, so that nothing
// is written after a torn tail.
//
// A disk may refuse a write, a sync or a new file. What a failed sync covered may be lost
// even if a later one of the same file succeeds. The records of a batch that was refused
// fail, the log goes on in a new segment, and it tries again with each batch.
package seglog

import (
	"encoding/binary"
	"hash/crc32"
	"io"
	"math"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// DefaultSegmentSize is the size in bytes after which a new segment is begun.
	// Retention drops whole segments, so it bounds how much is retained too long.
	DefaultSegmentSize = 8 << 20
	// MaxRecord is the maximum size of a record in bytes: a caller's body is at most a
	// few MB.
	MaxRecord = 16 << 20

	headerSize = 8 // length and checksum
	suffix     = ".seg"
	dirMode    = 0o700
	fileMode   = 0o600
)

type (
	// Log is the log in Dir. Set the fields, then call Open.
	Log struct {
		Dir     string
		Segment int64                // bytes after which a new segment is begun; 0 is DefaultSegmentSize
		Sync    func(*os.File) error // makes a segment in Dir durable; nil is os.File.Sync
		Files   Files                // nil for those of Dir

		mu       sync.Mutex
		cond     *sync.Cond
		pending  []entry
		file     File   // the segment that is being written; nil before it is begun
		number   uint64 // of that segment
		size     int64  // of it
		segments map[uint64]*segment
		torn     uint64 // segment behind whose records a refused batch may stand; 0 for none
		unsynced uint64 // segment that could not be synced at the start; 0 for none
		refused  error  // why the last batch, or the start of the first segment, failed; nil if it did not
		closed   bool
		done     chan struct{}
	}

	// Pos is the position of a record in the log.
	Pos struct {
		Segment uint64
		Offset  int64
		Size    int // of the record without its header
	}

	// Callback is called with the position of a record once it is durable, or with the
	// error.
	Callback func(Pos, error)

	entry struct {
		data []byte
		done Callback
	}

	segment struct {
		file      File
		size      int64
		lastWrite time.Time
	}
)

var (
	// ErrClosed reports an append to a closed log.
	ErrClosed = errors.New("seglog: closed")

	crcTable = crc32.MakeTable(crc32.Castagnoli)
)

// Open calls visit for all complete records in order, and begins a new segment. If the disk
// takes no writes, Refused tells so. What a process wrote before and did not sync is durable
// once a further record is.
func (l *Log) Open(visit func(Pos, []byte)) (err error) {
	defer func() { err = errors.Wrapf(err, "open log %s", l.Dir) }()
	if l.Segment == 0 {
		l.Segment = DefaultSegmentSize
	}
	if l.Sync == nil {
		l.Sync = (*os.File).Sync
	}
	if l.Files == nil {
		l.Files = folder{l.Dir, l.Sync}
	}
	l.cond = sync.NewCond(&l.mu)
	l.segments = map[uint64]*segment{}
	l.done = make(chan struct{})
	numbers, err := l.numbers()
	if err != nil {
		return err
	}
	for _, n := range numbers {
		if err = l.load(n, visit); err != nil {
			return err
		}
		l.number = n
	}
	l.refused = errors.CombineErrors(l.syncLast(), l.prepare())
	go l.run()
	return nil
}

func (l *Log) numbers() (list []uint64, err error) {
	names, err := l.Files.List()
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		n, err := strconv.ParseUint(strings.TrimSuffix(name, suffix), 10, 64)
		if err == nil && strings.HasSuffix(name, suffix) {
			list = append(list, n)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list, nil
}

func fileName(n uint64) string { return strconv.FormatUint(n, 10) + suffix }

func (l *Log) load(n uint64, visit func(Pos, []byte)) error {
	f, err := l.Files.Open(fileName(n))
	if err != nil {
		return err
	}
	data, err := io.ReadAll(io.NewSectionReader(f, 0, math.MaxInt64))
	if err != nil {
		return errors.CombineErrors(err, f.Close())
	}
	var offset int64
	for {
		rec := firstRecord(data[offset:])
		if rec == nil {
			break
		}
		visit(Pos{Segment: n, Offset: offset, Size: len(rec)}, rec)
		offset += headerSize + int64(len(rec))
	}
	l.segments[n] = &segment{file: f, size: offset, lastWrite: time.Now()}
	return nil
}

// firstRecord returns the record at the start of data, or nil if it is incomplete or its
// checksum is wrong.
func firstRecord(data []byte) []byte {
	if len(data) < headerSize {
		return nil
	}
	size := binary.LittleEndian.Uint32(data)
	if size == 0 || size > MaxRecord || int(size) > len(data)-headerSize {
		return nil
	}
	rec := data[headerSize : headerSize+int(size)]
	if crc32.Checksum(rec, crcTable) != binary.LittleEndian.Uint32(data[4:]) {
		return nil
	}
	return rec
}

// Append queues a record. Done is called from a goroutine of the log.
func (l *Log) Append(data []byte, done Callback) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || len(data) > MaxRecord || len(data) == 0 {
		go done(Pos{}, l.appendError(data))
		return
	}
	l.pending = append(l.pending, entry{data: data, done: done})
	l.cond.Signal()
}

// appendError returns why a record is not accepted.
func (l *Log) appendError(data []byte) error {
	if l.closed {
		return ErrClosed
	}
	return errors.Newf("seglog: invalid record size: %d bytes", len(data))
}

// run commits the pending records, batch after batch.
func (l *Log) run() {
	defer close(l.done)
	for {
		l.mu.Lock()
		for len(l.pending) == 0 && !l.closed {
			l.cond.Wait()
		}
		batch := l.pending
		l.pending = nil
		l.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		positions, err := l.commit(batch)
		for i, e := range batch {
			e.done(positions[i], err)
		}
	}
}

// Read returns the record at p, which must have its size. The error is os.ErrNotExist if the
// segment was dropped.
func (l *Log) Read(p Pos) (rec []byte, err error) {
	defer func() { err = errors.Wrapf(err, "read segment %d at offset %d", p.Segment, p.Offset) }()
	l.mu.Lock()
	s := l.segments[p.Segment]
	l.mu.Unlock()
	if s == nil {
		return nil, os.ErrNotExist
	}
	data := make([]byte, headerSize+p.Size)
	if _, err = s.file.ReadAt(data, p.Offset); err != nil {
		return nil, err
	}
	if rec = firstRecord(data); rec == nil {
		return nil, errors.New("record is corrupt")
	}
	return rec, nil
}

// Close writes the pending records and closes the files. Further appends fail with
// ErrClosed.
func (l *Log) Close() (err error) {
	l.mu.Lock()
	l.closed = true
	l.cond.Signal()
	l.mu.Unlock()
	<-l.done
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.segments {
		err = errors.CombineErrors(err, s.file.Close())
	}
	return err
}
