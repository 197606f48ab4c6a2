package recsrv

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/disk/seglog"
)

// Trim expires entries of the index, and drops segments without live records. It is
// called every TrimInterval.
func (s *Server) Trim(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "trim") }()
	now := s.Now()
	s.mu.Lock()
	s.index.Expire(now)
	maxTTL := s.maxTTL
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
// copies the live ones to the end of the log. An old record can be live because a turn is
// retained as long as the turns that continue it.
func (s *Server) dropSegment(ctx context.Context, n uint64, force bool) error {
	live, err := s.live(n)
	if err != nil {
		return err
	}
	if len(live) > 0 && !force {
		return nil
	}
	// The segment may have the only record of the fence.
	s.mu.Lock()
	minVersion := s.minVersion
	s.mu.Unlock()
	if err = s.appendAndWait(ctx, index.Record{Fence: minVersion}); err != nil {
		return err
	}
	if err = s.Import(ctx, live); err != nil {
		return err
	}
	return s.log.Drop(n)
}

func (s *Server) live(n uint64) (live [][]byte, err error) {
	from := seglog.Pos{Segment: n}
	for {
		recs, positions, after, err := s.log.Scan(from, pageSize)
		if err != nil || len(recs) == 0 {
			return live, err
		}
		for i, data := range recs {
			if positions[i].Segment != n {
				return live, nil
			}
			r, err := index.Decode(data)
			if err != nil {
				return nil, err
			}
			s.mu.Lock()
			if s.index.Live(r, positions[i]) {
				live = append(live, data)
			}
			s.mu.Unlock()
		}
		from = after
	}
}

// TrimInterval is how often Trim should be called.
const TrimInterval = 3 * time.Second
