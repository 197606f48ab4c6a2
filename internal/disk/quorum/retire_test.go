package quorum

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/holder"
	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/peer/link"
)

// handOver empties place i where no VM can take it, as the keeper does.
func (w *world) handOver(i int) error {
	r := w.current()
	p := r.Places[i]
	w.mu.Lock()
	h := w.holders[p.Address]
	w.mu.Unlock()
	h.Freeze(true)
	if err := h.HandOver(context.Background(), r, func(a string) link.Invoker { return way{w, a} }); err != nil {
		h.Freeze(false)
		return err
	}
	w.mu.Lock()
	w.roster = w.roster.Without(p.Life)
	w.mu.Unlock()
	h.Learn(w.current())
	return nil
}

// missing returns a turn that a place of the roster lacks, or "".
func (w *world) missing(turns []string) string {
	r := w.current()
	for _, p := range r.Places {
		h := w.holders[p.Address]
		for _, id := range turns {
			reply, err := h.Read(context.Background(), holder.ReadAsk{Stamp: holder.Stamp{Version: r.Version}, Turn: id})
			if err != nil || len(reply.Chain) == 0 {
				return fmt.Sprintf("%s lacks %s (%v)", p.Address, id, err)
			}
		}
	}
	return ""
}

// A VM with a disk is to be taken away for good, and no other can take its place,
// while callers' turns are written. The two that remain must both have every turn
// that was acknowledged: from then on one answer is enough to tell a caller that a
// turn does not exist.
func TestRetireWithoutASpare(t *testing.T) { synctest.Test(t, testRetireWithoutASpare) }

func testRetireWithoutASpare(t *testing.T) {
	for round := range 5 {
		is := is.New(t)
		w := newWorld(t, 3, 1)
		var mu sync.Mutex
		var acked []string
		var stop atomic.Bool
		var work sync.WaitGroup
		for n := range 6 {
			c := w.client()
			work.Go(func() {
				for i := 0; !stop.Load() || i < 5; i++ {
					id := fmt.Sprintf("%d-%d-%d", round, n, i)
					ctx, end := context.WithTimeout(context.Background(), time.Second)
					if _, err := c.Write(ctx, turn(id, "")); err == nil {
						mu.Lock()
						acked = append(acked, id)
						mu.Unlock()
					}
					end()
				}
			})
		}
		is.NoErr(w.handOver(0))
		stop.Store(true)
		work.Wait()
		is.True(len(acked) >= 6)
		is.Equal(len(w.current().Places), 2)
		is.Equal(w.missing(acked), "")
	}
}

// The hand-over breaks off because one of the others is down. The VM must go on
// holding its place and taking records, or nothing could be written any more.
func TestRetireThatBreaksOff(t *testing.T) { synctest.Test(t, testRetireThatBreaksOff) }

func testRetireThatBreaksOff(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3, 1)
	c := w.client()
	write(t, c, turn("1", ""))
	w.set(w.down, "n3", true)
	is.True(w.handOver(0) != nil)
	is.Equal(len(w.current().Places), 3)
	write(t, c, turn("2", "1"))
	chain, err := c.Read(t.Context(), "", "2")
	is.NoErr(err)
	is.Equal(inputs(chain), "1 2")
}

// A copy of a disk begins while records are written to it. What it acknowledges
// after the copy has asked must be in what the copy gets, or be refused: it would
// be on one disk of the new roster only.
func TestWriteBesideTheStartOfACopy(t *testing.T) { synctest.Test(t, testWriteBesideTheStartOfACopy) }

func testWriteBesideTheStartOfACopy(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3, 1)
	h := w.holders["n1"]
	old := w.current()
	next := old
	next.Places = append([]roster.Place(nil), old.Places...)
	next.Version++
	var mu sync.Mutex
	acked := map[string]bool{}
	var work sync.WaitGroup
	for i := range 200 {
		work.Go(func() {
			id := fmt.Sprint(i)
			reply, err := h.Write(t.Context(), holder.WriteAsk{Stamp: holder.Stamp{Version: old.Version, Life: h.Life()}, Record: turn(id, "")})
			if err == nil && reply.Refusal.Code == "" {
				mu.Lock()
				defer mu.Unlock()
				acked[id] = true
			}
		})
	}
	first, err := h.Pull(t.Context(), holder.PullAsk{Stamp: holder.Stamp{Version: next.Version}, First: true})
	is.NoErr(err)
	work.Wait()
	copied := map[string]bool{}
	for _, data := range first.Records {
		copied[attempt(t, data)] = true
	}
	for id := range acked {
		is.True(copied[id]) // or else it had to be refused
	}
}

// One of three VMs was emptied without a successor, and later another place was
// taken over while its former VM lived on behind a cut. A daemon that has heard of
// neither asks that VM first. Its "no such turn" is not certain: the caller would
// be told that a turn is gone which it saw whole.
func TestFormerPlaceIsNotCertain(t *testing.T) { synctest.Test(t, testFormerPlaceIsNotCertain) }

func testFormerPlaceIsNotCertain(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3, 1)
	is.NoErr(w.handOver(0))
	var stale []*Client
	for range 8 {
		stale = append(stale, w.client())
	}
	is.NoErr(w.replace(0, w.add()))
	fresh := w.client()
	for i, c := range stale {
		id := fmt.Sprint(i) // some ask the former place first, some last
		write(t, fresh, turn(id, ""))
		chain, err := c.Read(t.Context(), id, id)
		is.NoErr(err)
		is.Equal(inputs(chain), id)
	}
}

// One place of three refuses for a reason of its own: its VM came back with an empty
// disk and has not claimed the place yet, or its disk is full or frozen. The other
// two are enough. If a daemon gave up at the refusal, the callers whose programs
// prefer that place would be told to come back until the roster changes.
func TestPlaceThatRefusesIsPassedBy(t *testing.T) { synctest.Test(t, testPlaceThatRefusesIsPassedBy) }

func testPlaceThatRefusesIsPassedBy(t *testing.T) {
	cases := map[string]func(w *world){
		"an empty disk": func(w *world) {
			m := w.add()
			w.mu.Lock()
			defer w.mu.Unlock()
			w.holders["n1"] = w.holders[m.Address]
		},
		"a frozen disk": func(w *world) { w.holders["n1"].Freeze(true) },
		"a full disk":   func(w *world) { w.holders["n1"].Capacity = 1 },
	}
	for name, change := range cases {
		t.Log(name)
		is := is.New(t)
		w := newWorld(t, 3, 1)
		c := w.client()
		for i := range 8 { // some prefer the place, some don't
			write(t, c, reserve(fmt.Sprint(i), fmt.Sprint("r", i), 1))
			write(t, c, turn(fmt.Sprint(i), ""))
		}
		change(w)
		for i := range 8 {
			program := fmt.Sprint(i)
			_, err := c.Write(soon(t), reserve(program, fmt.Sprint("s", i), 1))
			is.NoErr(err)
			_, err = c.Write(soon(t), turn(fmt.Sprint("next", i), program))
			is.NoErr(err)
			_, err = c.Read(soon(t), program, fmt.Sprint("next", i))
			is.NoErr(err)
		}
	}
}
