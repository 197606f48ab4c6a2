package reach

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/disk/quorum"
)

// stubRecords is a Records whose calls hang while it is down.
type stubRecords struct {
	down  atomic.Bool
	calls int
}

func (s *stubRecords) Write(ctx context.Context, _ index.Record) (quorum.Result, error) {
	return quorum.Result{}, s.call(ctx)
}

func (s *stubRecords) ReadWithin(ctx context.Context, _, _ string, _ Room) ([]index.Turn, error) {
	return nil, errors.CombineErrors(s.call(ctx), quorum.ErrNoTurn)
}

func (s *stubRecords) Answering(ctx context.Context) bool {
	if s.down.Load() {
		<-ctx.Done()
	}
	return !s.down.Load()
}

func (s *stubRecords) call(ctx context.Context) error {
	s.calls++
	if !s.down.Load() {
		return nil
	}
	<-ctx.Done()
	return quorum.ErrNoQuorum
}

// A front is partitioned from all holders of records, and from nothing else. Its calls must
// fail within CallTimeout, so that callers can retry at another front, instead of waiting
// until their deadline; and they must succeed again soon after the partition. Each call here
// takes longer than probeInterval, so while the breaker is open all of them are probes.
func TestPartitionedFromRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &stubRecords{}
		b := &Breaker{Records: s}
		reserve := index.Record{Reserved: true}
		write := func() (took time.Duration, err error) {
			began := time.Now()
			_, err = b.Write(t.Context(), reserve)
			return time.Since(began), err
		}
		_, err := write()
		is.NoErr(err)
		s.down.Store(true)
		took, err := write()
		is.True(err != nil)
		is.Equal(took, CallTimeout)
		is.True(!b.Down(time.Now())) // a single failure does not trip the breaker
		_, _ = write()
		is.True(b.Down(time.Now()))
		_, _ = write() // let through as a probe
		_, _ = b.Read(t.Context(), "", "x", nil)
		took, err = write()
		is.True(errors.Is(err, quorum.ErrNoQuorum))
		is.True(took <= CallTimeout)
		for range 5 {
			before := s.calls
			go func() { _, _ = write() }() // let through as a probe
			synctest.Wait()
			is.Equal(s.calls, before+1)
			took, err = write()
			is.Equal(took, time.Duration(0)) // the probe is under way
			is.Equal(s.calls, before+1)
			is.True(errors.Is(err, quorum.ErrNoQuorum))
			time.Sleep(CallTimeout)
		}
		s.down.Store(false)
		time.Sleep(probeInterval)
		b.Probe(t.Context())
		is.True(!b.Down(time.Now()))
		_, err = write()
		is.NoErr(err)
	})
}

// Callers cancel while their turns wait. That does not count as a failure of the holders.
func TestCancelledCallsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &stubRecords{}
		s.down.Store(true)
		b := &Breaker{Records: s}
		for range 5 {
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(100*time.Millisecond, cancel)
			_, err := b.Write(ctx, index.Record{Reserved: true})
			is.True(err != nil)
		}
		is.True(!b.Down(time.Now()))
	})
}
