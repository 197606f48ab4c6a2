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

// Each of two record servers is down while some turns of a chain are written, so that
// neither has all of it. A read must return the whole chain and not report a turn as
// missing.
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
	cl.set(cl.down, "n3", true) // the only one that has the whole chain
	chain, err := c.Read(context.Background(), "", "3")
	is.NoErr(err)
	is.Equal(inputs(chain), "1 2 3")
}

// Too few record servers answer. The read must fail with ErrNoQuorum, so that the
// caller retries; ErrNoTurn would end a program whose turn is on a disk that is down.
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

// A VM was replaced by one with an empty disk and another is down. The empty one has no
// turns; if its answer counted for the quorum, turns that were delivered whole would be
// reported as missing.
func TestJoiningReplicaDoesNotCount(t *testing.T) { synctest.Test(t, testJoiningReplicaDoesNotCount) }

func testJoiningReplicaDoesNotCount(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 3, 1)
	c := cl.client()
	cl.set(cl.down, "n3", true)
	write(t, c, turn("1", ""))
	cl.set(cl.down, "n1", true) // two are down: the copy can't be completed
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

// A replica was replaced while its former VM still runs, and one daemon has not learnt
// the new roster. Its writes may be acknowledged by the former VM, which readers do not
// ask any more; they must not count as durable.
func TestWritesUnderAnOldRosterAreFenced(t *testing.T) {
	synctest.Test(t, testWritesUnderAnOldRosterAreFenced)
}

func testWritesUnderAnOldRosterAreFenced(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 3, 1)
	old, fresh := cl.client(), cl.client()
	is.NoErr(cl.replace(2, cl.add()))
	cl.set(cl.down, "n2", true)
	old.Refresh = func(context.Context) {} // the store is unreachable
	old.Learn = func([]byte) {}
	_, err := old.Write(shortContext(t), turn("1", ""))
	is.True(err != nil) // n1 refuses, though n3 would take it
	cl.restart("n1")
	_, err = old.Write(shortContext(t), turn("2", ""))
	is.True(err != nil) // also after a restart
	fresh.Refresh(context.Background())
	write(t, fresh, turn("3", ""))
	chain, err := fresh.Read(context.Background(), "", "3")
	is.NoErr(err)
	is.Equal(inputs(chain), "3")
}

// A VM with a disk stops answering and is replaced. A daemon with the old roster asks
// the old replicas, and two refuse at once because its roster is stale. If it waited for
// the third, callers' turns would be delayed by seconds.
func TestStaleRosterIsReplacedAtOnce(t *testing.T) { synctest.Test(t, testStaleRosterIsReplacedAtOnce) }

func testStaleRosterIsReplacedAtOnce(t *testing.T) {
	is := is.New(t)
	for _, program := range []string{"p", "q", "r", "s"} { // with different preference orders
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
		time.Sleep(replicaTimeout) // until the requests to n1 have timed out
	}
}

// A restarted process catches up while another disk is joining, so that fewer replicas
// than the read quorum can be copied from. That must be enough for it, since each retry
// loads the others; for a new disk it must not be enough.
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
	is.True(cl.servers["n3"].CatchUp(t.Context(), r, peers) == nil) // two others are complete
	r.Replicas[1].Joining = true
	is.True(cl.servers["n3"].CatchUp(t.Context(), r, peers) != nil)
}

// Two of a program's sub-agents reserve at the same time, through two daemons. At least
// one must see the other's reservation, or both are admitted where the budget covers one.
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

// A VM with a new disk copies from several others, which have nearly the same records.
// If it copied all of each, the copy would take so long, and load the others so much,
// that another disk may be lost before it is complete.
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
	const bytes = 40 * 5100 // of the records, each of which is on three replicas
	m := cl.add()
	is.NoErr(cl.replace(0, m))
	_, turns, copied := cl.servers[m.Address].Stats()
	is.Equal(turns, 40)
	is.True(copied < bytes*11/10)         // no record twice
	is.True(cl.bytesPulled < bytes*13/10) // and hardly more transferred
}

var histories = flag.Int("histories", 80, "how many random histories TestHistories plays")

// Record servers go down, lose replies, restart, lose their disks one after the other
// and are retired while turns are written. Every acknowledged turn must be readable, and
// a program's charges must include every acknowledged reservation. Three in four
// histories tolerate one lost disk, the others two; `-args -histories 100000` runs many.
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
		switch replicas := len(cl.current().Replicas); rnd.IntN(9) {
		case 0:
			injectFaults(cl, rnd, replicas-losses-1)
		case 1:
			clearFaults(cl)
			replaceDisk(t, cl, rnd)
		case 2:
			cl.restart(cl.current().Replicas[rnd.IntN(replicas)].Address)
		case 3:
			if replicas > losses+1 && rnd.IntN(4) == 0 {
				_ = cl.retire(rnd.IntN(replicas)) // one that fails changes nothing
			}
		case 4, 5:
			if res, err := c.Write(ctx, reserve("p", id, step+1)); err == nil {
				reserved[id] = step + 1
				checkCharges(is, res, reserved)
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

// injectFaults clears all faults, then takes count random replicas down or drops their
// replies.
func injectFaults(cl *cluster, rnd *rand.Rand, count int) {
	clearFaults(cl)
	for _, i := range rnd.Perm(len(cl.current().Replicas))[:count] {
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

func checkCharges(is *is.I, res Result, reserved map[string]int) {
	known := map[string]int{}
	for _, charge := range res.Charges {
		known[charge.Attempt] = charge.Tokens
	}
	for attempt, maxTokens := range reserved {
		is.Equal(known[attempt], maxTokens) // every acknowledged reservation is seen
	}
}

// After a loss of power a VM with an empty disk begins to copy before one of its sources has opened its records; if it copied from the others and then began anew, the few disks that are left would send all records twice.
func TestJoinWaitsForASourceThatStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 3, 1)
		c := cl.client()
		for i := range 40 {
			write(t, c, turn(fmt.Sprint(i), ""))
		}
		cl.set(cl.down, "n2", true)
		time.AfterFunc(3*time.Second, func() { cl.set(cl.down, "n2", false) })
		is.NoErr(cl.replace(0, cl.add()))
		_, turns, _ := cl.servers["n4"].Stats()
		is.Equal(turns, 40)
		is.Equal(cl.firstPulls, 2) // each source is scanned once
	})
}

// A source is lost for good while a new disk copies; it must not be waited for once the roster has another in its place.
func TestJoinStopsAtANewerRoster(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 3, 1)
		write(t, cl.client(), turn("1", ""))
		cl.set(cl.down, "n2", true)
		m := cl.add()
		newer := cl.current()
		newer.Version += 2
		time.AfterFunc(time.Second, func() { cl.servers[m.Address].Learn(newer) })
		began := time.Now()
		is.True(cl.replace(0, m) != nil)
		is.True(time.Since(began) < 2*time.Second)
	})
}
