package reach

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/disk/quorum"
	"github.com/slaterock/slaterock/internal/disk/recsrv"
	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/peer/link"
)

const (
	// A holder serves its requests one after the other, and refuses them above its limits.
	serveTime       = 4 * time.Millisecond
	refuseTime      = 1600 * time.Microsecond
	maxRequests     = 64 // that are served at a time
	maxReservations = 32

	holderCount   = 5
	frontCount    = 20
	turnRecords   = 2 // of one turn, each at three holders
	turnTime      = 300 * time.Millisecond
	settleTimeout = 4 * time.Second
)

type (
	// holder is a replica of the records with a fixed capacity.
	holder struct {
		mu        sync.Mutex
		busyUntil time.Time
		serving   int
		down      atomic.Bool
	}

	holderConn struct{ h *holder }

	// turns runs turns at a rate and counts those that could record all that they have to.
	turns struct {
		breakers []*Breaker
		work     sync.WaitGroup
		mu       sync.Mutex
		started  int
	}
)

// begin takes the holder's time for one request, and returns when it is done and whether it
// is refused, by the link or by the record server.
func (h *holder) begin(reserved bool) (end time.Time, overloaded, busy bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	overloaded = h.serving >= maxRequests
	busy = reserved && h.serving >= maxReservations
	took := serveTime
	if overloaded || busy {
		took = refuseTime
	} else {
		h.serving++
	}
	if now := time.Now(); h.busyUntil.Before(now) {
		h.busyUntil = now
	}
	h.busyUntil = h.busyUntil.Add(took)
	return h.busyUntil, overloaded, busy
}

func (h *holder) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.serving--
}

func (c holderConn) Invoke(ctx context.Context, _ string, params, out any) error {
	var req recsrv.WriteRequest
	if err := cbor.Unmarshal(params.(link.Raw), &req); err != nil {
		return err
	}
	if c.h.down.Load() {
		return &link.Error{Cause: link.ErrConnLost}
	}
	end, overloaded, busy := c.h.begin(req.Record.Reserved)
	if !overloaded && !busy {
		// It serves the request although its sender may have given up.
		time.AfterFunc(time.Until(end), c.h.end)
	}
	select {
	case <-time.After(time.Until(end)):
	case <-ctx.Done():
		return ctx.Err()
	}
	if overloaded {
		return &link.Error{Cause: errors.Wrap(link.ErrOverloaded, "pool is full")}
	}
	var reply recsrv.WriteReply
	if busy {
		reply.Refusal.Code = recsrv.CodeBusy
	}
	data, err := cbor.Marshal(reply)
	*out.(*link.Raw) = data
	return err
}

func newTurns(holders []*holder) *turns {
	r := roster.Roster{Version: 1, MaxFailures: 2}
	conns := map[string]holderConn{}
	for i, h := range holders {
		name := fmt.Sprint("n", i)
		conns[name] = holderConn{h}
		r.Replicas = append(r.Replicas, roster.Replica{Node: name, Address: name, DiskID: name})
	}
	ts := &turns{}
	for range frontCount {
		ts.breakers = append(ts.breakers, &Breaker{Records: &quorum.Client{
			Peer:    func(address string) link.Invoker { return conns[address] },
			Roster:  func() roster.Roster { return r },
			Refresh: func(context.Context) {},
		}})
	}
	return ts
}

// run starts turns at a rate for some time, and returns a function that waits for them and
// returns how many were recorded, and the longest time in which one was refused.
func (ts *turns) run(perSecond int, duration time.Duration) (outcome func() (recorded, all int, refusedWithin time.Duration)) {
	all, recorded := int(duration.Seconds()*float64(perSecond)), 0
	var longest time.Duration
	var wg sync.WaitGroup
	for range all {
		ts.started++
		b, id := ts.breakers[ts.started%frontCount], fmt.Sprint(ts.started)
		wg.Go(func() {
			began := time.Now()
			ok, refused := ts.turn(b, id)
			ts.mu.Lock()
			defer ts.mu.Unlock()
			if ok {
				recorded++
			}
			if refused {
				longest = max(longest, time.Since(began))
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	return func() (int, int, time.Duration) {
		wg.Wait()
		return recorded, all, longest
	}
}

// turn reserves, runs and records one turn, as a front does.
func (ts *turns) turn(b *Breaker, id string) (ok, refused bool) {
	rec := index.Record{Program: id, Attempt: id, Reserved: true}
	_, err := b.Write(context.Background(), rec)
	rec.Reserved, rec.Settled = false, true
	if err != nil {
		if !errors.Is(err, quorum.ErrNotWritten) {
			ts.work.Go(func() { _ = write(b, rec) })
		}
		return false, true
	}
	time.Sleep(turnTime)
	return write(b, rec) == nil, false
}

func write(b *Breaker, rec index.Record) error {
	ctx, stop := context.WithTimeout(context.Background(), settleTimeout)
	defer stop()
	_, err := b.Write(ctx, rec)
	return err
}

// Holders that are asked for more than they can do must refuse the excess and go on serving; retries and the records of refused turns must not keep them overloaded once the burst has ended.
func TestOverloadEndsWithTheBurst(t *testing.T) {
	const capacity = holderCount * int(time.Second/serveTime) / (3 * turnRecords) // turns a second
	tests := map[string]struct {
		lost  int // holders that are down from the burst on
		burst int // turns a second
		after int
	}{
		"twice the capacity":                  {0, 2 * capacity, capacity * 65 / 100},
		"twice the capacity, one holder lost": {1, 2 * capacity, capacity / 2},
		"three times, two holders lost":       {2, 3 * capacity, capacity * 40 / 100},
		"five times the capacity":             {0, 5 * capacity, capacity * 65 / 100},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t) // the turns under way must end
				var holders []*holder
				for range holderCount {
					holders = append(holders, &holder{})
				}
				ts := newTurns(holders)
				_ = ts.run(test.after, time.Second)
				for i := range test.lost {
					holders[i].down.Store(true)
				}
				burst := ts.run(test.burst, 6*time.Second)
				_ = ts.run(test.after, 2*time.Second)
				after := ts.run(test.after, 3*time.Second)
				recorded, all, _ := after()
				is.Equal(recorded, all)
				recorded, all, longest := burst()
				t.Logf("%d of %d turns of the burst recorded, a refusal took %v at most", recorded, all, longest)
				left := 6 * capacity * (holderCount - test.lost) / holderCount
				is.True(recorded >= left/2)
				is.True(longest <= CallTimeout)
				ts.work.Wait()
				time.Sleep(settleTimeout)
			})
		})
	}
}
