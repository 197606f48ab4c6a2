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

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/peer/link"
)

func shortContext(t *testing.T) context.Context {
	ctx, stop := context.WithTimeout(context.Background(), 200*time.Millisecond)
	t.Cleanup(stop)
	return ctx
}

func inputs(chain []index.Turn) string {
	var list []string
	for _, c := range chain {
		list = append(list, string(c.Input))
	}
	return strings.Join(list, " ")
}

func write(t *testing.T, c *Client, r index.Record) {
	t.Helper()
	_, err := c.Write(context.Background(), r)
	is.New(t).NoErr(err)
}

// A holder of records is away while some turns are written, and another while
// others are. Each has a part of the chain, and neither has all of it. The
// caller's next turn must get the whole chain, not be told that it is gone.
func TestChainSpreadOverReplicas(t *testing.T) { synctest.Test(t, testChainSpreadOverReplicas) }

func testChainSpreadOverReplicas(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 3, 1)
	c := cl.client()
	write(t, c, turn("1", ""))
	cl.set(cl.down, "n1", true)
	write(t, c, turn("2", "1"))
	cl.set(cl.down, "n1", false)
	cl.set(cl.down, "n2", true)
	write(t, c, turn("3", "2"))
	cl.set(cl.down, "n2", false)
	cl.set(cl.down, "n3", true) // the only one that has everything
	chain, err := c.Read(context.Background(), "", "3")
	is.NoErr(err)
	is.Equal(inputs(chain), "1 2 3")
}

// Too few holders answer. A caller that names a turn is told to come back, since
// "no such turn" would end a program whose turn lies on a disk that is away.
func TestNoTurnNeedsQuorum(t *testing.T) { synctest.Test(t, testNoTurnNeedsQuorum) }

func testNoTurnNeedsQuorum(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 3, 1)
	c := cl.client()
	_, err := c.Read(context.Background(), "", "1")
	is.True(errors.Is(err, ErrNoTurn))
	cl.set(cl.down, "n1", true)
	_, err = c.Read(context.Background(), "", "1")
	is.True(errors.Is(err, ErrNoTurn)) // two of three are enough
	cl.set(cl.down, "n2", true)
	_, err = c.Read(shortContext(t), "", "1")
	is.True(errors.Is(err, ErrNoQuorum))
	_, err = c.Write(shortContext(t), turn("1", ""))
	is.True(errors.Is(err, ErrNoQuorum))
}

// A VM came back with an empty disk and another is down. The empty one knows of
// no turn at all; if its answer counted, callers would be told that turns which
// they saw whole don't exist.
func TestJoiningReplicaDoesNotCount(t *testing.T) { synctest.Test(t, testJoiningReplicaDoesNotCount) }

func testJoiningReplicaDoesNotCount(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 3, 1)
	c := cl.client()
	cl.set(cl.down, "n3", true)
	write(t, c, turn("1", ""))
	cl.set(cl.down, "n1", true) // two are down: the copy can't be made whole
	cl.set(cl.down, "n3", false)
	is.True(cl.replace(1, cl.add()) != nil)
	c.Refresh(context.Background())
	_, err := c.Read(shortContext(t), "", "1")
	is.True(errors.Is(err, ErrNoQuorum))
	cl.set(cl.down, "n1", false)
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
	cl := newCluster(t, 3, 1)
	old, fresh := cl.client(), cl.client()
	is.NoErr(cl.replace(2, cl.add()))
	cl.set(cl.down, "n2", true)
	old.Refresh = func(context.Context) {} // it doesn't reach the store
	old.Learn = func([]byte) {}
	_, err := old.Write(shortContext(t), turn("1", ""))
	is.True(err != nil) // n1 refuses, though n3 would take it
	cl.restart("n1")
	_, err = old.Write(shortContext(t), turn("2", ""))
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
func TestStaleRosterIsReplacedAtOnce(t *testing.T) { synctest.Test(t, testStaleRosterIsReplacedAtOnce) }

func testStaleRosterIsReplacedAtOnce(t *testing.T) {
	is := is.New(t)
	for _, program := range []string{"p", "q", "r", "s"} { // whichever places they prefer
		cl := newCluster(t, 3, 1)
		c := cl.client()
		write(t, c, turn(program, ""))
		cl.set(cl.hangs, "n1", true)
		is.NoErr(cl.replace(0, cl.add()))
		began := time.Now()
		write(t, c, reserve(program, "1", 10))
		_, err := c.Read(context.Background(), program, program)
		is.NoErr(err)
		is.True(time.Since(began) < 200*time.Millisecond)
		time.Sleep(replicaTimeout) // until what still waits for n1 has ended
	}
}

// A process that was away catches up while another disk is joining, so that fewer
// places can be read than a new disk needs. Trying again and again would cost the
// others their time; a disk that is new must not be content with it.
func TestCatchUpWithTooFewSources(t *testing.T) { synctest.Test(t, testCatchUpWithTooFewSources) }

func testCatchUpWithTooFewSources(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 3, 1)
	c := cl.client()
	cl.set(cl.down, "n1", true)
	write(t, c, turn("1", ""))
	cl.set(cl.down, "n1", false)
	r := cl.current()
	r.Replicas[2].Joining = true
	peers := func(a string) link.Invoker { return conn{cl, a} }
	is.NoErr(cl.servers["n1"].CatchUp(t.Context(), r, peers))
	_, turns, _ := cl.servers["n1"].Stats()
	is.Equal(turns, 1)
	is.True(cl.servers["n3"].CatchUp(t.Context(), r, peers) == nil) // two others are whole
	r.Replicas[1].Joining = true
	is.True(cl.servers["n3"].CatchUp(t.Context(), r, peers) != nil)
}

// Two of a program's sub-agents ask at the same time, through two daemons. Each
// must see what the other takes, or both are let in where the budget bears one.
func TestConcurrentReservationsSeeEachOther(t *testing.T) {
	for seed := range uint64(50) {
		synctest.Test(t, func(t *testing.T) { reserveTwice(t, seed) })
	}
}

func reserveTwice(t *testing.T, seed uint64) {
	cl := newCluster(t, 3, 1)
	rnd := rand.New(rand.NewPCG(seed, 0))
	cl.set(cl.dropReplies, fmt.Sprintf("n%d", 1+rnd.IntN(3)), true)
	fits := make(chan bool, 2)
	for _, attempt := range []string{"a", "b"} {
		c := cl.client()
		go func() {
			res, err := c.Write(context.Background(), reserve("p", attempt, 60))
			fits <- err == nil && index.WithinBudget(res.Charges, 100)
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
	cl := newCluster(t, 5, 2)
	c := cl.client()
	for i := range 40 {
		r := turn(fmt.Sprint(i), "")
		r.Turn.Input = make([]byte, 5000)
		write(t, c, r)
	}
	const bytes = 40 * 5100 // of the records, each of which lies on three places
	m := cl.add()
	is.NoErr(cl.replace(0, m))
	_, turns, copied := cl.servers[m.Address].Stats()
	is.Equal(turns, 40)
	is.True(copied < bytes*11/10)         // no record twice
	is.True(cl.bytesPulled < bytes*13/10) // and hardly more asked for
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
				synctest.Test(t, func(t *testing.T) { runHistory(t, seed, losses) })
				if t.Failed() {
					t.Fatalf("history %d, %d losses", seed, losses)
				}
			}
		})
	}
}

func runHistory(t *testing.T, seed uint64, losses int) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(seed, uint64(losses)))
	cl := newCluster(t, 2*losses+1, losses)
	clients := []*Client{cl.client(), cl.client(), cl.client()}
	acked := []string{""}
	reserved := map[string]int{}
	for step := range 60 {
		c := clients[rnd.IntN(len(clients))]
		ctx, stop := context.WithTimeout(context.Background(), 20*time.Millisecond)
		id := fmt.Sprint("t", step)
		switch places := len(cl.current().Replicas); rnd.IntN(9) {
		case 0:
			injectFaults(cl, rnd, places-losses-1)
		case 1:
			clearFaults(cl)
			replaceDisk(t, cl, rnd)
		case 2:
			cl.restart(cl.current().Replicas[rnd.IntN(places)].Address)
		case 3:
			if places > losses+1 && rnd.IntN(4) == 0 {
				_ = cl.retire(rnd.IntN(places)) // one that breaks off changes nothing
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
	clearFaults(cl)
	for _, id := range acked[1:] {
		chain, err := clients[0].Read(context.Background(), "", id)
		is.NoErr(err)
		is.Equal(string(chain[len(chain)-1].Input), id)
	}
}

// hurt takes as many places down, or their answers away, as may be lost.
func injectFaults(cl *cluster, rnd *rand.Rand, losses int) {
	clearFaults(cl)
	for _, i := range rnd.Perm(len(cl.current().Replicas))[:losses] {
		a := cl.current().Replicas[i].Address
		if rnd.IntN(2) == 0 {
			cl.set(cl.down, a, true)
		} else {
			cl.set(cl.dropReplies, a, true)
		}
	}
}

func clearFaults(cl *cluster) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	clear(cl.down)
	clear(cl.dropReplies)
}

func replaceDisk(t *testing.T, cl *cluster, rnd *rand.Rand) {
	i := rnd.IntN(len(cl.current().Replicas))
	cl.set(cl.down, cl.current().Replicas[i].Address, true)
	is.New(t).NoErr(cl.replace(i, cl.add()))
}

func checkShares(is *is.I, res Result, reserved map[string]int) {
	known := map[string]int{}
	for _, s := range res.Charges {
		known[s.Attempt] = s.Tokens
	}
	for attempt, most := range reserved {
		is.Equal(known[attempt], most) // every acknowledged reservation is seen
	}
}
