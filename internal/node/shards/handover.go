package shards

import (
	"context"
	"time"

	"github.com/slaterock/slaterock/internal/node/host"
	"github.com/slaterock/slaterock/internal/place/sched"
)

const (
	reportInterval = 100 * time.Millisecond
	reportTimeout  = 2 * time.Second
)

// Report processes a former owner's report of an attempt that it continues.
func (s *Shards) Report(ctx context.Context, r host.Report) (host.ReportReply, error) {
	w := s.host(r.Shard)
	if w == nil {
		return host.ReportReply{}, host.ErrNotOwner
	}
	return w.Report(ctx, r)
}

// reportAttempt reports an attempt to the shard's present owner until the owner has
// received the result or no longer waits for it. The shard may move again meanwhile.
func (s *Shards) reportAttempt(ctx context.Context, shard int, t *host.RunningAttempt) {
	defer s.continuing.Add(-1)
	defer t.Cancel()
	r := host.Report{Shard: shard, Request: t.Request}
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	done := t.Done
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-done:
			s.Place(nil, sched.Done{ID: t.Request, Upstream: t.Upstream, Outcome: e.Outcome, Usage: e.Usage})
			r.Ended, done = &e, nil
		case <-tick.C:
		}
		if !s.sendReport(ctx, &r, t) {
			return
		}
	}
}

// sendReport sends one report. It returns false if no more reports are needed.
func (s *Shards) sendReport(ctx context.Context, r *host.Report, t *host.RunningAttempt) bool {
	callCtx, stop := context.WithTimeout(ctx, reportTimeout)
	defer stop()
	r.Text, _ = t.Feed.After(r.Offset)
	a, err := s.Tell(callCtx, *r)
	switch {
	case err != nil:
		return true // try again: the owner is unknown, has changed or did not answer
	case !a.Known:
		return false
	}
	r.Offset = a.Received
	return r.Ended == nil
}
