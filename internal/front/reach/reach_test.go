package reach

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/book"
	"github.com/slaterock/slaterock/internal/disk/quorum"
)

// away is records that hang while they are down.
type stubRecords struct {
	down  bool
	calls int
}

func (a *stubRecords) Write(ctx context.Context, _ book.Record) (quorum.Result, error) {
	return quorum.Result{}, a.call(ctx)
}

func (a *stubRecords) Read(ctx context.Context, _, _ string) ([]book.Turn, error) {
	return nil, errors.CombineErrors(a.call(ctx), quorum.ErrNoTurn)
}

func (a *stubRecords) call(ctx context.Context) error {
	a.calls++
	if !a.down {
		return nil
	}
	<-ctx.Done()
	return quorum.ErrUnsure
}

// A front is cut off from all holders of records, and from nothing else. Its
// callers must be told at once to come back, where they meet another front, not
// wait until their time is over; and it must serve again soon after the cut.
func TestCutOffFromRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := &stubRecords{}
		p := &Breaker{Records: a}
		reserve := book.Record{Reserved: true}
		try := func() (took time.Duration, err error) {
			began := time.Now()
			_, err = p.Write(t.Context(), reserve)
			return time.Since(began), err
		}
		_, err := try()
		is.NoErr(err)
		a.down = true
		took, err := try()
		is.True(err != nil)
		is.Equal(took, CallTimeout)
		is.True(!p.Down(time.Now())) // one alone may be slow
		_, _ = try()
		is.True(p.Down(time.Now()))
		_, _ = try() // goes through, to probe
		_, _ = p.Read(t.Context(), "", "x")
		before := a.calls
		took, err = try()
		is.True(errors.Is(err, quorum.ErrUnsure))
		is.True(took <= CallTimeout)
		for range 5 {
			took, err = try()
			if a.calls == before {
				is.Equal(took, time.Duration(0)) // at once
			}
			is.True(err != nil)
		}
		a.down = false
		time.Sleep(probeInterval)
		p.Probe(t.Context())
		is.True(!p.Down(time.Now()))
		_, err = try()
		is.NoErr(err)
	})
}

// Callers leave while their turns wait. That says nothing of the holders.
func TestCancelledCallsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &Breaker{Records: &stubRecords{down: true}}
		for range 5 {
			ctx, leave := context.WithCancel(t.Context())
			time.AfterFunc(100*time.Millisecond, leave)
			_, err := p.Write(ctx, book.Record{Reserved: true})
			is.True(err != nil)
		}
		is.True(!p.Down(time.Now()))
	})
}
