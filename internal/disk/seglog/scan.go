package seglog

import (
	"sort"
	"time"

	"github.com/cockroachdb/errors"
)

// Segments returns the numbers of the complete segments in ascending order, and the time
// of the last write to each. For a segment from before a restart that is the time of Open.
func (l *Log) Segments() (numbers []uint64, lastWrite []time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for n := range l.segments {
		if n != l.number || l.file == nil {
			numbers = append(numbers, n)
		}
	}
	sort.Slice(numbers, func(i, j int) bool { return numbers[i] < numbers[j] })
	for _, n := range numbers {
		lastWrite = append(lastWrite, l.segments[n].lastWrite)
	}
	return numbers, lastWrite
}

// Drop removes a complete segment. It fails for the segment that is being written.
func (l *Log) Drop(n uint64) (err error) {
	defer func() { err = errors.Wrapf(err, "drop segment %d", n) }()
	l.mu.Lock()
	s := l.segments[n]
	if s == nil || n == l.number && l.file != nil {
		l.mu.Unlock()
		return errors.New("not a complete segment")
	}
	delete(l.segments, n)
	l.mu.Unlock()
	return errors.CombineErrors(s.file.Close(), l.Files.Remove(fileName(n)))
}

// End returns the position after the last batch that was made durable, or after the segment that had it.
func (l *Log) End() Pos {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Pos{Segment: l.number, Offset: l.size}
}

// Before reports whether p comes before q in the log.
func (p Pos) Before(q Pos) bool {
	return p.Segment < q.Segment || p.Segment == q.Segment && p.Offset < q.Offset
}

// Bytes returns the total size of all segments.
func (l *Log) Bytes() (n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.segments {
		n += s.size
	}
	return n
}

// Scan returns about limit bytes of records from the position on, their positions, and the
// position after them. It returns no records at the end of the log.
func (l *Log) Scan(from Pos, limit int) (recs [][]byte, positions []Pos, after Pos, err error) {
	defer func() { err = errors.Wrapf(err, "scan from segment %d, offset %d", from.Segment, from.Offset) }()
	after = from
	for size := 0; size < limit; {
		s, n, more := l.segmentAt(after)
		if s == nil {
			return recs, positions, after, nil
		}
		if n != after.Segment {
			after = Pos{Segment: n}
		}
		if after.Offset >= s.size {
			if !more {
				return recs, positions, after, nil
			}
			after = Pos{Segment: n + 1}
			continue
		}
		data := make([]byte, min(s.size-after.Offset, int64(max(limit, MaxRecord/16))))
		if _, err = s.file.ReadAt(data, after.Offset); err != nil {
			return nil, nil, from, err
		}
		rec := firstRecord(data)
		if rec == nil {
			data = make([]byte, s.size-after.Offset) // a record larger than the read
			if _, err = s.file.ReadAt(data, after.Offset); err != nil {
				return nil, nil, from, err
			}
			if rec = firstRecord(data); rec == nil {
				return nil, nil, from, errors.New("record is corrupt")
			}
		}
		for rec != nil && size < limit {
			recs = append(recs, rec)
			positions = append(positions, Pos{Segment: n, Offset: after.Offset, Size: len(rec)})
			size += len(rec)
			after.Offset += headerSize + int64(len(rec))
			data = data[headerSize+len(rec):]
			rec = firstRecord(data)
		}
	}
	return recs, positions, after, nil
}

// segmentAt returns a copy of the segment at the position, or the next one if that was
// dropped, with its number, and whether there are later ones.
func (l *Log) segmentAt(p Pos) (s *segment, number uint64, more bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for n := max(p.Segment, 1); n <= l.number; n++ {
		if found := l.segments[n]; found != nil {
			c := *found
			return &c, n, n < l.number
		}
	}
	return nil, 0, false
}
