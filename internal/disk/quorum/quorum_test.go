package quorum

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/book"
	"github.com/slaterock/slaterock/internal/peer/link"
)

func soon(t *testing.T) context.Context {
	ctx, stop := context.WithTimeout(context.Background(), 200*time.Millisecond)
	t.Cleanup(stop)
	return ctx
}

func inputs(chain []book.Turn) string {
	var list []string
	for _, c := range chain {
		list = append(list, string(c.Input))
	}
	return strings.Join(list, " ")
}

func write(t *testing.T, c *Client, r book.Record) {
	t.Helper()
	_, err := c.Write(context.Background(), r)
	is.New(t).NoErr(err)
}

// A holder of records is away while some turns are written, and another while
// others are. Each has a part of the chain, and neither has all of it. The
// caller's next turn must get the whole chain, not be told that it is gone.
func TestChainIsSpreadOverPlaces(t *testing.T) { synctest.Test(t, testChainIsSpreadOverPlaces) }

func testChainIsSpreadOverPlaces(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3, 1)
	c := w.client()
	write(t, c, turn("1", ""))
	w.set(w.down, "n1", true)
	write(t, c, turn("2", "1"))
	w.set(w.down, "n1", false)
	w.set(w.down, "n2", true)
	write(t, c, turn("3", "2"))
	w.set(w.down, "n2", false)
	w.set(w.down, "n3", true) // the only one that has everything
	chain, err := c.Read(context.Background(), "", "3")
	is.NoErr(err)
	is.Equal(inputs(chain), "1 2 3")
}

// Too few holders answer. A caller that names a turn is told to come back, since
// "no such turn" would end a program whose turn lies on a disk that is away.
func TestNoTurnIsCertain(t *testing.T) { synctest.Test(t, testNoTurnIsCertain) }

func testNoTurnIsCertain(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3, 1)
	c := w.client()
	_, err := c.Read(context.Background(), "", "1")
	is.True(errors.Is(err, ErrNoTurn))
	w.set(w.down, "n1", true)
	_, err = c.Read(context.Background(), "", "1")
	is.True(errors.Is(err, ErrNoTurn)) // two of three are enough
	w.set(w.down, "n2", true)
	_, err = c.Read(soon(t), "", "1")
	is.True(errors.Is(err, ErrUnsure))
	_, err = c.Write(soon(t), turn("1", ""))
	is.True(errors.Is(err, ErrUnsure))
}

// A VM came back with an empty disk and another is down. The empty one knows of
// no turn at all; if its answer counted, callers would be told that turns which
// they saw whole don't exist.
func TestJoiningPlaceDoesNotCount(t *testing.T) { synctest.Test(t, testJoiningPlaceDoesNotCount) }

func testJoiningPlaceDoesNotCount(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3, 1)
	c := w.client()
	w.set(w.down, "n3", true)
	write(t, c, turn("1", ""))
	w.set(w.down, "n1", true) // two are down: the copy can't be made whole
	w.set(w.down, "n3", false)
	is.True(w.replace(1, w.add()) != nil)
	c.Refresh(context.Background())
	_, err := c.Read(soon(t), "", "1")
	is.True(errors.Is(err, ErrUnsure))
	w.set(w.down, "n1", false)
	chain, err := c.Read(context.Background(), "", "1")
	is.NoErr(err)
	is.Equal(inputs(chain), "1")
}

// A place was taken over while its former VM lives on, and one daemon has not
// heard of it. What that daemon writes may be acknowledged by the former VM, which
// no reader asks any more; it must not count as durable.
func TestWritesUnderAnOldRosterAreFenced(t *testing.T) {
	synctest.Test(t, testWritesUnderAnOldRosterAreFenced)
}

func testWritesUnderAnOldRosterAreFenced(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3, 1)
	old, fresh := w.client(), w.client()
	is.NoErr(w.replace(2, w.add()))
	w.set(w.down, "n2", true)
	old.Refresh = func(context.Context) {} // it doesn't reach the store
	old.Learn = func([]byte) {}
	_, err := old.Write(soon(t), turn("1", ""))
	is.True(err != nil) // n1 refuses, though n3 would take it
	w.restart("n1")
	_, err = old.Write(soon(t), turn("2", ""))
	is.True(err != nil) // and it still does after a restart
	fresh.Refresh(context.Background())
	write(t, fresh, turn("3", ""))
	chain, err := fresh.Read(context.Background(), "", "3")
	is.NoErr(err)
	is.Equal(inputs(chain), "3")
}

// A VM with a disk is gone without a word and another has taken its place. A daemon
// that has not heard of it asks the old places; two say so at once. If it waited
// for the third, callers' turns would stand still for seconds.
func TestNewRosterIsTakenAtOnce(t *testing.T) { synctest.Test(t, testNewRosterIsTakenAtOnce) }

func testNewRosterIsTakenAtOnce(t *testing.T) {
	is := is.New(t)
	for _, program := range []string{"p", "q", "r", "s"} { // whichever places they prefer
		w := newWorld(t, 3, 1)
		c := w.client()
		write(t, c, turn(program, ""))
		w.set(w.hangs, "n1", true)
		is.NoErr(w.replace(0, w.add()))
		began := time.Now()
		write(t, c, reserve(program, "1", 10))
		_, err := c.Read(context.Background(), program, program)
		is.NoErr(err)
		is.True(time.Since(began) < 200*time.Millisecond)
		time.Sleep(placeTime) // until what still waits for n1 has ended
	}
}

// A process that was away catches up while another disk is joining, so that fewer
// places can be read than a new disk needs. Trying again and again would cost the
// others their time; a disk that is new must not be content with it.
func TestCatchUpTakesWhatThereIs(t *testing.T) { synctest.Test(t, testCatchUpTakesWhatThereIs) }

func testCatchUpTakesWhatThereIs(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3, 1)
	c := w.client()
	w.set(w.down, "n1", true)
	write(t, c, turn("1", ""))
	w.set(w.down, "n1", false)
	r := w.current()
	r.Places[2].Joining = true
	peers := func(a string) link.Invoker { return way{w, a} }
	is.NoErr(w.holders["n1"].Join(t.Context(), r, peers))
	_, turns, _ := w.holders["n1"].Stats()
	is.Equal(turns, 1)
	is.True(w.holders["n3"].Join(t.Context(), r, peers) == nil) // two others are whole
	r.Places[1].Joining = true
	is.True(w.holders["n3"].Join(t.Context(), r, peers) != nil)
}

// Two of a program's sub-agents ask at the same time, through two daemons. Each
// must see what the other takes, or both are let in where the budget bears one.
func TestConcurrentReservationsSeeEachOther(t *testing.T) {
	for seed := range uint64(50) {
		synctest.Test(t, func(t *testing.T) { reserveTwice(t, seed) })
	}
}

func reserveTwice(t *testing.T, seed uint64) {
	w := newWorld(t, 3, 1)
	rnd := rand.New(rand.NewPCG(seed, 0))
	w.set(w.deaf, fmt.Sprintf("n%d", 1+rnd.IntN(3)), true)
	fits := make(chan bool, 2)
	for _, attempt := range []string{"a", "b"} {
		c := w.client()
		go func() {
			res, err := c.Write(context.Background(), reserve("p", attempt, 60))
			fits <- err == nil && book.Fits(res.Shares, 100)
		}()
	}
	first, second := <-fits, <-fits
	is.New(t).True(!first || !second)
}

// A VM with a new disk copies from several others, which hold nearly the same. If
// it copied all of each, it would take so long and so much of the others' time
// that the next loss comes before it is done.
func TestJoinCopiesWhatIsMissing(t *testing.T) { synctest.Test(t, testJoinCopiesWhatIsMissing) }

func testJoinCopiesWhatIsMissing(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 5, 2)
	c := w.client()
	for i := range 40 {
		r := turn(fmt.Sprint(i), "")
		r.Turn.Input = make([]byte, 5000)
		write(t, c, r)
	}
	const bytes = 40 * 5100 // of the records, each of which lies on three places
	m := w.add()
	is.NoErr(w.replace(0, m))
	_, turns, copied := w.holders[m.Address].Stats()
	is.Equal(turns, 40)
	is.True(copied < bytes*11/10)    // no record twice
	is.True(w.carried < bytes*13/10) // and hardly more asked for
}

var histories = flag.Int("histories", 80, "how many random histories TestHistories plays")

// Places go down, lose answers, restart, lose their disks one after the other and
// are emptied while turns are written. Whatever was acknowledged must be read, and
// a program's shares must hold all that was. Three in four histories bear one loss,
// the others two; `-args -histories 100000` plays many.
func TestHistories(t *testing.T) {
	work := make(chan uint64)
	go func() {
		defer close(work)
		for seed := range uint64(*histories) {
			work <- seed
		}
	}()
	for worker := range runtime.GOMAXPROCS(0) {
		t.Run(fmt.Sprint("worker ", worker), func(t *testing.T) {
			t.Parallel()
			for seed := range work {
				losses := 1
				if seed%4 == 3 {
					losses = 2
				}
				synctest.Test(t, func(t *testing.T) { playHistory(t, seed, losses) })
				if t.Failed() {
					t.Fatalf("history %d, %d losses", seed, losses)
				}
			}
		})
	}
}

func playHistory(t *testing.T, seed uint64, losses int) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(seed, uint64(losses)))
	w := newWorld(t, 2*losses+1, losses)
	clients := []*Client{w.client(), w.client(), w.client()}
	acked := []string{""}
	reserved := map[string]int{}
	for step := range 60 {
		c := clients[rnd.IntN(len(clients))]
		ctx, stop := context.WithTimeout(context.Background(), 20*time.Millisecond)
		id := fmt.Sprint("t", step)
		switch places := len(w.current().Places); rnd.IntN(9) {
		case 0:
			hurt(w, rnd, places-losses-1)
		case 1:
			heal(w)
			lostDisk(t, w, rnd)
		case 2:
			w.restart(w.current().Places[rnd.IntN(places)].Address)
		case 3:
			if places > losses+1 && rnd.IntN(4) == 0 {
				_ = w.handOver(rnd.IntN(places)) // one that breaks off changes nothing
			}
		case 4, 5:
			if res, err := c.Write(ctx, reserve("p", id, step+1)); err == nil {
				reserved[id] = step + 1
				checkShares(is, res, reserved)
			}
		default:
			previous := acked[rnd.IntN(len(acked))]
			if _, err := c.Write(ctx, turn(id, previous)); err == nil {
				acked = append(acked, id)
			}
		}
		stop()
	}
	heal(w)
	for _, id := range acked[1:] {
		chain, err := clients[0].Read(context.Background(), "", id)
		is.NoErr(err)
		is.Equal(string(chain[len(chain)-1].Input), id)
	}
}

// hurt takes as many places down, or their answers away, as may be lost.
func hurt(w *world, rnd *rand.Rand, losses int) {
	heal(w)
	for _, i := range rnd.Perm(len(w.current().Places))[:losses] {
		a := w.current().Places[i].Address
		if rnd.IntN(2) == 0 {
			w.set(w.down, a, true)
		} else {
			w.set(w.deaf, a, true)
		}
	}
}

func heal(w *world) {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.down)
	clear(w.deaf)
}

func lostDisk(t *testing.T, w *world, rnd *rand.Rand) {
	i := rnd.IntN(len(w.current().Places))
	w.set(w.down, w.current().Places[i].Address, true)
	is.New(t).NoErr(w.replace(i, w.add()))
}

func checkShares(is *is.I, res Result, reserved map[string]int) {
	known := map[string]int{}
	for _, s := range res.Shares {
		known[s.Attempt] = s.Tokens
	}
	for attempt, most := range reserved {
		is.Equal(known[attempt], most) // every acknowledged reservation is seen
	}
}
