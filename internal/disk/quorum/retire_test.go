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

	"github.com/slaterock/slaterock/internal/disk/recsrv"
	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/peer/link"
)

// retire removes replica i without a successor, as a daemon with a disk does.
func (cl *cluster) retire(i int) error {
	r := cl.current()
	p := r.Replicas[i]
	cl.mu.Lock()
	srv := cl.servers[p.Address]
	cl.mu.Unlock()
	srv.Freeze(true)
	if err := srv.CopyToOthers(context.Background(), r, func(a string) link.Invoker { return conn{cl, a} }); err != nil {
		srv.Freeze(false)
		return err
	}
	cl.mu.Lock()
	cl.roster = cl.roster.Without(p.DiskID)
	cl.mu.Unlock()
	srv.Learn(cl.current())
	return nil
}

// missing describes a turn that a replica of the roster lacks; it is "" if there is none.
func (cl *cluster) missing(turns []string) string {
	r := cl.current()
	for _, p := range r.Replicas {
		srv := cl.servers[p.Address]
		for _, id := range turns {
			reply, err := srv.Read(context.Background(), recsrv.ReadRequest{Target: recsrv.Target{Version: r.Version}, Turn: id})
			if err != nil || len(reply.Chain) == 0 {
				return fmt.Sprintf("%s lacks %s (%v)", p.Address, id, err)
			}
		}
	}
	return ""
}

// A VM with a disk is retired without a successor while turns are written. The two that
// remain must both have every acknowledged turn, since a read quorum is one replica from
// then on.
func TestRetireWithoutASpare(t *testing.T) { synctest.Test(t, testRetireWithoutASpare) }

func testRetireWithoutASpare(t *testing.T) {
	for round := range 5 {
		is := is.New(t)
		cl := newCluster(t, 3, 1)
		var mu sync.Mutex
		var acked []string
		var stop atomic.Bool
		var work sync.WaitGroup
		for n := range 6 {
			c := cl.client()
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
		is.NoErr(cl.retire(0))
		stop.Store(true)
		work.Wait()
		is.True(len(acked) >= 6)
		is.Equal(len(cl.current().Replicas), 2)
		is.Equal(cl.missing(acked), "")
	}
}

// Retiring fails because one of the others is down. The VM must stay a replica and accept
// records again, or nothing could be written any more.
func TestRetireFails(t *testing.T) { synctest.Test(t, testRetireFails) }

func testRetireFails(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 3, 1)
	c := cl.client()
	write(t, c, turn("1", ""))
	cl.set(cl.down, "n3", true)
	is.True(cl.retire(0) != nil)
	is.Equal(len(cl.current().Replicas), 3)
	write(t, c, turn("2", "1"))
	chain, err := c.Read(t.Context(), "", "2")
	is.NoErr(err)
	is.Equal(inputs(chain), "1 2")
}

// A copy of a disk begins while records are written to it. Each write that it
// acknowledges under the old roster must be in the copy, or be refused: otherwise the
// record would be on only one disk of the new roster.
func TestWriteDuringStartOfCopy(t *testing.T) { synctest.Test(t, testWriteDuringStartOfCopy) }

func testWriteDuringStartOfCopy(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 3, 1)
	srv := cl.servers["n1"]
	old := cl.current()
	next := old
	next.Replicas = append([]roster.Replica(nil), old.Replicas...)
	next.Version++
	var mu sync.Mutex
	acked := map[string]bool{}
	var work sync.WaitGroup
	for i := range 200 {
		work.Go(func() {
			id := fmt.Sprint(i)
			reply, err := srv.Write(t.Context(), recsrv.WriteRequest{Target: recsrv.Target{Version: old.Version, DiskID: srv.DiskID()}, Record: turn(id, "")})
			if err == nil && reply.Refusal.Code == "" {
				mu.Lock()
				defer mu.Unlock()
				acked[id] = true
			}
		})
	}
	first, err := srv.Pull(t.Context(), recsrv.PullRequest{Target: recsrv.Target{Version: next.Version}, First: true})
	is.NoErr(err)
	work.Wait()
	copied := map[string]bool{}
	for _, data := range first.Records {
		copied[attempt(t, data)] = true
	}
	for id := range acked {
		is.True(copied[id]) // it was acknowledged, so it must have been copied
	}
}

// One of three VMs was retired without a successor, and later another replica was
// replaced while its former VM still runs, partitioned off. A daemon whose roster is from
// before the replacement may ask that VM first. That the VM lacks a turn must not be
// reported as ErrNoTurn: the turn may have been delivered whole.
func TestFormerReplicaCannotProveAbsence(t *testing.T) {
	synctest.Test(t, testFormerReplicaCannotProveAbsence)
}

func testFormerReplicaCannotProveAbsence(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 3, 1)
	is.NoErr(cl.retire(0))
	var stale []*Client
	for range 8 {
		stale = append(stale, cl.client())
	}
	is.NoErr(cl.replace(0, cl.add()))
	fresh := cl.client()
	for i, c := range stale {
		id := fmt.Sprint(i) // some ask the former replica first, some last
		write(t, fresh, turn(id, ""))
		chain, err := c.Read(t.Context(), id, id)
		is.NoErr(err)
		is.Equal(inputs(chain), id)
	}
}

// One replica of three refuses for a reason of its own: its VM restarted with an empty
// disk and has not rejoined the roster yet, or its disk is full or frozen. The other two
// are enough. If a daemon gave up at the refusal, the programs that prefer that replica
// would fail until the roster changes.
func TestRefusingReplicaIsSkipped(t *testing.T) { synctest.Test(t, testRefusingReplicaIsSkipped) }

func testRefusingReplicaIsSkipped(t *testing.T) {
	cases := map[string]func(cl *cluster){
		"an empty disk": func(cl *cluster) {
			m := cl.add()
			cl.mu.Lock()
			defer cl.mu.Unlock()
			cl.servers["n1"] = cl.servers[m.Address]
		},
		"a frozen disk": func(cl *cluster) { cl.servers["n1"].Freeze(true) },
		"a full disk":   func(cl *cluster) { cl.servers["n1"].Capacity = 1 },
	}
	for name, change := range cases {
		t.Log(name)
		is := is.New(t)
		cl := newCluster(t, 3, 1)
		c := cl.client()
		for i := range 8 { // some prefer the replica, some don't
			write(t, c, reserve(fmt.Sprint(i), fmt.Sprint("r", i), 1))
			write(t, c, turn(fmt.Sprint(i), ""))
		}
		change(cl)
		for i := range 8 {
			program := fmt.Sprint(i)
			_, err := c.Write(shortContext(t), reserve(program, fmt.Sprint("s", i), 1))
			is.NoErr(err)
			_, err = c.Write(shortContext(t), turn(fmt.Sprint("next", i), program))
			is.NoErr(err)
			_, err = c.Read(shortContext(t), program, fmt.Sprint("next", i))
			is.NoErr(err)
		}
	}
}
