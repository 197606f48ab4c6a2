package reach

import (
	"context"
	"fmt"
	"strings"
	"sync"
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
	hangs  disk = "hangs"  // no sync ends
	full   disk = "full"   // the record server refuses records
	silent disk = "silent" // its VM answers nothing
)

type (
	// disk is what a holder's disk does, or empty for one that syncs.
	disk string

	// slowHolder syncs what has come since the last sync began, one sync after the other.
	slowHolder struct {
		name string
		disk disk
		sync time.Duration

		mu        sync.Mutex
		syncUntil time.Time // end of the sync under way
		asked     int       // calls other than writes
	}
)

// durableAt returns when a write that comes now is synced.
func (h *slowHolder) durableAt(now time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Before(h.syncUntil) {
		return h.syncUntil.Add(h.sync)
	}
	h.syncUntil = now.Add(h.sync)
	return h.syncUntil
}

func (h *slowHolder) Invoke(ctx context.Context, method string, _, out any) error {
	var reply any = h.name
	wait := make(<-chan time.Time)
	switch {
	case h.disk == silent:
	case method != recsrv.MethodWrite:
		h.mu.Lock()
		h.asked++
		h.mu.Unlock()
		wait = time.After(0)
	case h.disk == full:
		reply = recsrv.WriteReply{Refusal: recsrv.Refusal{Code: recsrv.CodeFull}}
		wait = time.After(0)
	case h.disk == "":
		reply = recsrv.WriteReply{}
		wait = time.After(time.Until(h.durableAt(time.Now())))
	}
	select {
	case <-wait:
	case <-ctx.Done():
		return ctx.Err()
	}
	data, err := cbor.Marshal(reply)
	*out.(*link.Raw) = data
	return err
}

// newSlowHolders returns the breaker of a front and its three holders.
func newSlowHolders(disks [3]disk, syncTime time.Duration) (*Breaker, map[string]*slowHolder) {
	r := roster.Roster{Version: 1, MaxFailures: 1}
	holders := map[string]*slowHolder{}
	for i, d := range disks {
		n := fmt.Sprint("n", i)
		holders[n] = &slowHolder{name: n, disk: d, sync: syncTime}
		r.Replicas = append(r.Replicas, roster.Replica{Node: n, Address: n, DiskID: n})
	}
	return &Breaker{Records: &quorum.Client{
		Peer:    func(address string) link.Invoker { return holders[address] },
		Roster:  func() roster.Roster { return r },
		Refresh: func(context.Context) {},
	}}, holders
}

// Turns at holders that answer and whose disks are slow must be recorded late, not refused at each try; those of holders that don't answer, or refuse, must be refused as before.
func TestSlowDisksAreWaitedFor(t *testing.T) {
	tests := map[string]struct {
		disks    [3]disk
		sync     time.Duration
		recorded bool
		atMost   time.Duration
	}{
		"fast":                            {[3]disk{}, 10 * time.Millisecond, true, 20 * time.Millisecond},
		"syncs of 0.5 s":                  {[3]disk{}, 500 * time.Millisecond, true, time.Second},
		"syncs of 1.2 s":                  {[3]disk{}, 1200 * time.Millisecond, true, 2400 * time.Millisecond},
		"syncs of 1.2 s, one VM silent":   {[3]disk{"", silent, ""}, 1200 * time.Millisecond, true, 2500 * time.Millisecond},
		"syncs of 1.2 s, two VMs silent":  {[3]disk{"", silent, silent}, 1200 * time.Millisecond, false, CallTimeout},
		"syncs of 3 s":                    {[3]disk{}, 3 * time.Second, false, slowTimeout},
		"callers leave after 1 s":         {[3]disk{}, 1200 * time.Millisecond, false, time.Second},
		"two disks hang":                  {[3]disk{"", hangs, hangs}, 10 * time.Millisecond, false, slowTimeout},
		"two disks full":                  {[3]disk{"", full, full}, 10 * time.Millisecond, false, CallTimeout + 100*time.Millisecond},
		"all VMs silent, as in partition": {[3]disk{silent, silent, silent}, 0, false, CallTimeout},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				b, holders := newSlowHolders(test.disks, test.sync)
				callerTime := 5 * time.Second
				if test.atMost == time.Second && !test.recorded {
					callerTime = test.atMost
				}
				var turns sync.WaitGroup
				for i := range 8 {
					turns.Go(func() {
						began := time.Now()
						id := fmt.Sprint("t", i)
						ctx, stop := context.WithTimeout(t.Context(), callerTime)
						defer stop()
						_, err := b.Write(ctx, index.Record{Program: id, Attempt: id, Reserved: true})
						is.Equal(err == nil, test.recorded)
						is.True(err == nil || errors.Is(err, quorum.ErrNoQuorum))
						is.Equal(err != nil && strings.Contains(err.Error(), "have not synced"), !test.recorded && test.atMost == slowTimeout)
						is.True(time.Since(began) <= test.atMost)
					})
					time.Sleep(30 * time.Millisecond)
				}
				turns.Wait()
				for _, h := range holders {
					is.True(h.asked <= 4) // by all calls that wait together
				}
				time.Sleep(5 * time.Second) // the writes that are under way
			})
		})
	}
}

// Turns that come together at a front whose holders have slow disks must not be refused again and again for lack of slots: those that wait for a disk are no work for the holders.
func TestSlowDisksTakeNoSlots(t *testing.T) {
	const (
		together = 40
		comeBack = 400 * time.Millisecond
		tries    = 5 // after which callers take a turn for lost
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		b, _ := newSlowHolders([3]disk{}, 1200*time.Millisecond)
		var turns sync.WaitGroup
		for i := range together {
			turns.Go(func() {
				var err error
				time.Sleep(time.Duration(i) * time.Microsecond) // the race detector ends if expired timers of one bubble are polled at one moment
				for try := range tries {
					id := fmt.Sprint("t", i, "-", try)
					if _, err = b.Write(t.Context(), index.Record{Program: id, Attempt: id, Reserved: true}); err == nil {
						return
					}
					time.Sleep(comeBack)
				}
				is.NoErr(err)
			})
		}
		turns.Wait()
		time.Sleep(5 * time.Second) // the writes that are under way
		_, inUse, waiting := b.Slots()
		is.Equal(inUse, 0)
		is.Equal(waiting, 0)
	})
}
