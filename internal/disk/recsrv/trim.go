package recsrv

import (
	"cmp"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/disk/seglog"
)

const (
	// TrimInterval is how often Trim should be called.
	TrimInterval = 3 * time.Second
	// importGrace is how long after an import nothing expires: a turn that only later turns retain comes
	// before them in a copy. It is longer than a copy waits for sources that do not answer.
	importGrace = sourceWait + 5*time.Second
)

// stored is a record with its encoding.
type stored struct {
	rec  index.Record
	data []byte
}

// Trim expires entries of the index, and drops segments without live records. It is
// called every TrimInterval.
func (s *Server) Trim(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "trim") }()
	now := s.Now()
	s.expire(ctx, now)
	s.mu.Lock()
	maxTTL := cmp.Or(s.maxTTL, s.maxOpenTTL)
	s.unsaved.expire(&s.index)
	s.mu.Unlock()
	numbers, lastWrite := s.log.Segments()
	for i, n := range numbers {
		age := now.Sub(lastWrite[i])
		if age < maxTTL {
			return nil
		}
		if err = s.dropSegment(ctx, n, age > maxTTL+forceDropAfter+index.ClockSlack); err != nil {
			return err
		}
	}
	return nil
}

// dropSegment removes a segment if it has no live records, or if force is set. Force first
// moves the live ones. An old record can be live because a turn is retained as long as the
// turns that continue it.
func (s *Server) dropSegment(ctx context.Context, n uint64, force bool) error {
	for from := (seglog.Pos{Segment: n}); from.Segment == n; {
		live, after, err := s.livePage(n, from)
		switch {
		case err != nil:
			return err
		case len(live) > 0 && !force:
			return nil
		}
		if err = s.move(ctx, live); err != nil {
			return err
		}
		from = after
	}
	// The segment may have the only record of the fence.
	if err := s.barrier(ctx, s.fenceVersion()); err != nil {
		return err
	}
	s.meter.dropped.Inc(1)
	return s.log.Drop(n)
}

// livePage returns the live ones of about pageSize bytes of records of segment n, and the position after
// these, which is in a later segment once there are no more.
func (s *Server) livePage(n uint64, from seglog.Pos) (live []stored, after seglog.Pos, err error) {
	recs, positions, after, err := s.log.Scan(from, pageSize)
	if err != nil {
		return nil, after, err
	}
	if len(recs) == 0 {
		return nil, seglog.Pos{Segment: n + 1}, nil
	}
	for i, data := range recs {
		if positions[i].Segment != n {
			return live, positions[i], nil
		}
		r, err := index.Decode(data)
		if err != nil {
			return nil, after, err
		}
		s.mu.Lock()
		if s.index.Live(r, positions[i]) {
			live = append(live, stored{r, data})
		}
		s.mu.Unlock()
	}
	return live, after, nil
}

// move appends copies of live records and waits until they are durable and indexed in place of the
// originals, which may then be dropped. The index knows the records already, so Import would add none.
func (s *Server) move(ctx context.Context, live []stored) error {
	if len(live) == 0 {
		return nil
	}
	wait := make(chan error, len(live))
	for _, l := range live {
		s.append(l.rec, l.data, wait)
	}
	if err := drain(ctx, wait, len(live)); err != nil {
		return err
	}
	for _, l := range live {
		s.meter.movedBytes.Inc(int64(len(l.data)))
	}
	s.meter.moved.Inc(int64(len(live)))
	s.mu.Lock()
	s.movedTo = s.log.End()
	s.mu.Unlock()
	return nil
}

// drain receives n results of appends and returns their errors.
func drain(ctx context.Context, wait <-chan error, n int) (err error) {
	for range n {
		err = errors.CombineErrors(err, await(ctx, wait))
	}
	return err
}
