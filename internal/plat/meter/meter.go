// Package meter limits a daemon's calls to the platform's key-value service to its
// share of the service's rates, and counts them.
//
// All daemons share the service's rate limits, which grow less than the number of
// daemons. A call above the share waits for its turn, or fails at once if its
// context would end before that. Calls on leases don't wait: an owner that lost its
// shards because a renewal was delayed would only cause more calls.
package meter

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/slaterock/slaterock/internal/plat/head"
	"github.com/slaterock/slaterock/internal/plat/store"
)

const burstSeconds = 2 // burst of the limiters, in seconds of their rate

type (
	// Meter is a store.Store that forwards to Store. Until SetRates is called
	// the rates are unlimited.
	Meter struct {
		Store    store.Store
		OnAnswer func(at time.Time) // called for each answered call except watches, with the time when it was sent

		reads, writes   atomic.Pointer[rate.Limiter]
		nreads, nwrites atomic.Uint64
		nwatches        atomic.Uint64
		nfailed         atomic.Uint64
		nbroken         atomic.Uint64
		waited          atomic.Int64
	}

	// Counts are the numbers of calls since the start. Failed is without watches. Broken are the calls that were
	// answered with a broken header.
	Counts struct {
		Reads   uint64        `json:"reads"`
		Writes  uint64        `json:"writes"`
		Watches uint64        `json:"watches"`
		Failed  uint64        `json:"failed"`
		Broken  uint64        `json:"broken"`
		Waited  time.Duration `json:"waited"` // total time that calls waited for the limiters
	}
)

var _ store.Store = (*Meter)(nil)

// SetRates sets this daemon's share, in calls per second; 0 is unlimited.
func (m *Meter) SetRates(reads, writes float64) {
	m.reads.Store(limiter(reads))
	m.writes.Store(limiter(writes))
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds)))
}

// Counts returns the current counts.
func (m *Meter) Counts() Counts {
	return Counts{
		Reads:   m.nreads.Load(),
		Writes:  m.nwrites.Load(),
		Watches: m.nwatches.Load(),
		Failed:  m.nfailed.Load(),
		Broken:  m.nbroken.Load(),
		Waited:  time.Duration(m.waited.Load()),
	}
}

func (m *Meter) wait(ctx context.Context, p *atomic.Pointer[rate.Limiter]) error {
	l := p.Load()
	if l == nil {
		return nil
	}
	start := time.Now()
	if err := l.Wait(ctx); err != nil {
		return errors.Wrap(store.ErrUnavailable, "wait for the call rate limit")
	}
	m.waited.Add(int64(time.Since(start)))
	return nil
}

// record records how a call ended. Conflicts, missing keys and expired leases count
// as answered, all other errors as failed.
func (m *Meter) record(sent time.Time, err error) {
	m.recordBroken(err)
	var c *store.ConflictError
	answered := err == nil || errors.As(err, &c) || errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrLeaseExpired)
	if !answered {
		m.nfailed.Add(1)
		return
	}
	if m.OnAnswer != nil {
		m.OnAnswer(sent)
	}
}

func (m *Meter) recordBroken(err error) {
	var broken *head.Error
	if errors.As(err, &broken) {
		m.nbroken.Add(1)
	}
}

// Get implements store.Store.
func (m *Meter) Get(ctx context.Context, key string) (e store.Entry, err error) {
	if err := m.wait(ctx, &m.reads); err != nil {
		return e, err
	}
	m.nreads.Add(1)
	defer func(at time.Time) { m.record(at, err) }(time.Now())
	return m.Store.Get(ctx, key)
}

// List implements store.Store.
func (m *Meter) List(ctx context.Context, prefix, after string, limit int) (ks []string, err error) {
	if err := m.wait(ctx, &m.reads); err != nil {
		return nil, err
	}
	m.nreads.Add(1)
	defer func(at time.Time) { m.record(at, err) }(time.Now())
	return m.Store.List(ctx, prefix, after, limit)
}

// Watch implements store.Store.
func (m *Meter) Watch(ctx context.Context, key string, rev store.Rev) (e store.Entry, err error) {
	if err := m.wait(ctx, &m.reads); err != nil {
		return store.Entry{}, err
	}
	m.nwatches.Add(1)
	defer func() { m.recordBroken(err) }()
	return m.Store.Watch(ctx, key, rev)
}

// Put implements store.Store.
func (m *Meter) Put(ctx context.Context, key string, data []byte, rev store.Rev, lease store.Lease) (r store.Rev, err error) {
	if err := m.wait(ctx, &m.writes); err != nil {
		return 0, err
	}
	m.nwrites.Add(1)
	defer func(at time.Time) { m.record(at, err) }(time.Now())
	return m.Store.Put(ctx, key, data, rev, lease)
}

// Delete implements store.Store.
func (m *Meter) Delete(ctx context.Context, key string, rev store.Rev) (err error) {
	if err := m.wait(ctx, &m.writes); err != nil {
		return err
	}
	m.nwrites.Add(1)
	defer func(at time.Time) { m.record(at, err) }(time.Now())
	return m.Store.Delete(ctx, key, rev)
}

// Grant implements store.Store.
func (m *Meter) Grant(ctx context.Context, ttl time.Duration) (l store.Lease, err error) {
	m.nwrites.Add(1)
	defer func(at time.Time) { m.record(at, err) }(time.Now())
	return m.Store.Grant(ctx, ttl)
}

// Renew implements store.Store.
func (m *Meter) Renew(ctx context.Context, lease store.Lease) (err error) {
	m.nwrites.Add(1)
	defer func(at time.Time) { m.record(at, err) }(time.Now())
	return m.Store.Renew(ctx, lease)
}

// Revoke implements store.Store.
func (m *Meter) Revoke(ctx context.Context, lease store.Lease) (err error) {
	m.nwrites.Add(1)
	defer func(at time.Time) { m.record(at, err) }(time.Now())
	return m.Store.Revoke(ctx, lease)
}
