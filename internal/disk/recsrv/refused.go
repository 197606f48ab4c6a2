package recsrv

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/peer/pause"
)

const (
	// A disk that has refused a record is tried at once, then after pauses that double from
	// minTryPause to maxTryPause: it may have refused one write, or be full for hours.
	minTryPause = 50 * time.Millisecond
	maxTryPause = time.Second
	// refusedSpan is how long after a refused record a replica tells so in its answers: longer than the
	// callers of requests come back.
	refusedSpan = time.Minute
)

// diskState is whether records are taken, as told.
type diskState struct {
	mu       sync.Mutex // held while a change is told, so that changes are told in order
	refusing bool
	trying   bool // tryDisk runs
	closed   bool
	stop     context.CancelFunc // ends tryDisk
}

// unsaved are records that the disk has refused. The index may have their charges and runs, which it got
// before the write; they don't count as held.
type unsaved struct {
	programs map[string]string // by attempt
	total    uint64            // refused so far
}

// errRefusedWrite reports a copy during which the disk refused a record.
var errRefusedWrite = errors.New("the disk refused a record during the copy")

func (u *unsaved) add(r index.Record) {
	u.total++
	if u.programs == nil {
		u.programs = map[string]string{}
	}
	u.programs[r.Attempt] = r.Program
}

func (u *unsaved) has(r index.Record) bool {
	_, found := u.programs[r.Attempt]
	return found && r.Attempt != ""
}

// expire removes the records of programs that have expired.
func (u *unsaved) expire(ix *index.Index) {
	maps.DeleteFunc(u.programs, func(_, program string) bool { return ix.RetainedUntil(program).IsZero() })
}

// holds reports whether the record is indexed, and not refused by the disk. Its write may be under way. The
// caller holds s.mu.
func (s *Server) holds(r index.Record) bool { return s.index.Has(r) && !s.unsaved.has(r) }

// refusals returns how many records the disk has refused.
func (s *Server) refusals() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unsaved.total
}

// hasRefused reports whether records were refused within refusedSpan.
func (s *Server) hasRefused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.refusedAt.IsZero() && s.Now().Sub(s.refusedAt) <= refusedSpan
}

// diskError returns why records are refused for the disk; nil if it takes them.
func (s *Server) diskError() error {
	if err := s.log.Refused(); err != nil {
		return err
	}
	if bytes := s.log.Bytes(); s.Capacity > 0 && float64(bytes) > maxFill*float64(s.Capacity) {
		return errors.Newf("the records have %d bytes, %.0f%% of the disk's %d", bytes, 100*maxFill, s.Capacity)
	}
	return nil
}

// noteDisk tells whether records are taken, if that has changed. It is called after a record was refused
// or written. While the disk refuses writes it is tried again.
func (s *Server) noteDisk(refused bool) {
	s.disk.mu.Lock()
	defer s.disk.mu.Unlock()
	if !refused && !s.disk.refusing {
		return // the usual case
	}
	err := s.diskError()
	if (err != nil) == s.disk.refusing {
		return
	}
	s.disk.refusing = err != nil
	s.meter.refusing.Update(map[bool]float64{true: 1}[err != nil])
	if s.OnDisk != nil {
		s.OnDisk(err)
	}
	if s.disk.refusing && !s.disk.trying && !s.disk.closed {
		var ctx context.Context
		ctx, s.disk.stop = context.WithCancel(context.Background())
		s.disk.trying = true
		go s.tryDisk(ctx)
	}
}

// tryDisk tells once records are taken again. While the disk refuses writes, it writes a record from time
// to time.
func (s *Server) tryDisk(ctx context.Context) {
	for wait := minTryPause; s.keepsTrying(ctx); wait = min(2*wait, maxTryPause) {
		if s.log.Refused() == nil || s.barrier(ctx, s.fenceVersion()) != nil {
			pause.For(ctx, wait)
		}
		s.noteDisk(false)
	}
}

func (s *Server) keepsTrying(ctx context.Context) bool {
	s.disk.mu.Lock()
	defer s.disk.mu.Unlock()
	s.disk.trying = s.disk.refusing && ctx.Err() == nil
	return s.disk.trying
}

// close ends tryDisk.
func (d *diskState) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	if d.stop != nil {
		d.stop()
	}
}
