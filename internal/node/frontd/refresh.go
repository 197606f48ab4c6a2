package frontd

import (
	"context"
	"time"

	"github.com/slaterock/slaterock/internal/peer/pause"
)

const (
	// staleAge is the age from which a request that matches no route triggers a read before
	// its caller gets an error. An added route must be served within two seconds.
	staleAge = time.Second
	// minRefreshInterval is the shortest interval between reads triggered by requests, and
	// refreshTimeout the longest time that a request waits for one.
	minRefreshInterval = 250 * time.Millisecond
	refreshTimeout     = 500 * time.Millisecond
	// minConfirmInterval is the shortest interval between reads for streams that go on at other
	// upstreams, and confirmTimeout the longest time that one waits: pauses of a stream are to
	// stay below 0.4 s.
	minConfirmInterval = 100 * time.Millisecond
	confirmTimeout     = 300 * time.Millisecond
	confirmRetry       = 20 * time.Millisecond
)

// refreshConfig reads the store for a request that matches no route or no key, if the state is
// older than staleAge and the last such read is at least minRefreshInterval ago. It waits for
// the read, also for one that another request has begun, and reports whether the state is then
// recent enough to refuse the request for good.
func (d *Daemon) refreshConfig(ctx context.Context) (current bool) {
	arrived := time.Now()
	if d.stateAge() < staleAge {
		return true
	}
	ctx, stop := context.WithTimeout(ctx, refreshTimeout)
	defer stop()
	select {
	case <-d.readState.refresh(minRefreshInterval, func() { _ = d.readStore(context.WithoutCancel(ctx)) }): // on failure the state stays old
	case <-ctx.Done():
	}
	return d.stateAge() < staleAge || !d.fleet.View().Confirmed.Before(arrived)
}

// confirm reports whether the state was settled at the given time or later, or is within confirmTimeout.
// It reads the store for it, unless that was read since then and its entries may be old after an outage.
func (d *Daemon) confirm(ctx context.Context, since time.Time) bool {
	read := func() { _ = d.readStore(context.WithoutCancel(ctx)) } // on failure the state stays old
	return d.confirmBy(ctx, since, read)
}

func (d *Daemon) confirmBy(ctx context.Context, since time.Time, read func()) bool {
	ctx, stop := context.WithTimeout(ctx, confirmTimeout)
	defer stop()
	for v := d.fleet.View(); v.Settled.Before(since); v = d.fleet.View() {
		if !v.Confirmed.Before(since) {
			return false
		}
		select {
		case <-d.readState.refresh(minConfirmInterval, read):
		case <-ctx.Done():
			return false
		}
		if d.fleet.View().Confirmed.Before(since) && !pause.For(ctx, confirmRetry) {
			return false
		}
	}
	return true
}

func (d *Daemon) stateAge() time.Duration { return time.Since(d.fleet.View().Confirmed) }

// refresh starts a read, unless one is under way or the last began less than
// minInterval ago. The channel is closed when the read has ended.
func (s *readState) refresh(minInterval time.Duration, read func()) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	recent := s.refreshed != nil && time.Since(s.refreshedAt) < minInterval
	if s.refreshing || recent {
		return s.refreshed
	}
	done := make(chan struct{})
	s.refreshed, s.refreshedAt, s.refreshing = done, time.Now(), true
	go func() {
		read()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refreshing = false
		close(done)
	}()
	return done
}
