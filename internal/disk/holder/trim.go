package holder

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/disk/book"
	"github.com/slaterock/slaterock/internal/disk/seglog"
)

// Trim forgets what need not be kept any more and drops segments that hold
// nothing else. It is called every few seconds.
func (h *Holder) Trim(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "trim") }()
	now := h.Now()
	h.mu.Lock()
	h.book.Expire(now)
	longest := h.longest
	h.mu.Unlock()
	numbers, last := h.log.Segments()
	for i, n := range numbers {
		age := now.Sub(last[i])
		if age < longest {
			return nil
		}
		if err = h.drop(ctx, n, age > longest+lateCopy+book.Slack); err != nil {
			return err
		}
	}
	return nil
}

// drop removes a segment without live records. With force it copies live ones
// to the log's end first: a turn is kept as long as one that continues it.
func (h *Holder) drop(ctx context.Context, n uint64, force bool) error {
	live, err := h.live(n)
	if err != nil {
		return err
	}
	if len(live) > 0 && !force {
		return nil
	}
	h.mu.Lock()
	known := h.known
	h.mu.Unlock()
	if err = h.store(ctx, book.Record{Fence: known}); err != nil {
		return err
	}
	if err = h.Fill(ctx, live); err != nil {
		return err
	}
	return h.log.Drop(n)
}

func (h *Holder) live(n uint64) (live [][]byte, err error) {
	from := seglog.Pos{Segment: n}
	for {
		recs, places, after, err := h.log.Scan(from, pageSize)
		if err != nil || len(recs) == 0 {
			return live, err
		}
		for i, data := range recs {
			if places[i].Segment != n {
				return live, nil
			}
			r, err := book.Decode(data)
			if err != nil {
				return nil, err
			}
			h.mu.Lock()
			if h.book.Live(r, places[i]) {
				live = append(live, data)
			}
			h.mu.Unlock()
		}
		from = after
	}
}

// TrimEvery is how often Trim is called.
const TrimEvery = 3 * time.Second
