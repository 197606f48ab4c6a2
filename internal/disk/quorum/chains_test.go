package quorum

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/disk/roster"
)

const (
	chainSteps  = 70
	chainTTL    = time.Minute
	longestTurn = 2 * time.Minute
)

var chainHistories = flag.Uint64("chains", 4, "how many histories TestChainsOverPrograms plays of each kind")

type (
	// chains plays fronts that continue turns of their own and of other programs.
	chains struct {
		is       *is.I
		cl       *cluster
		client   *Client
		rnd      *rand.Rand
		turns    []*chainTurn // that are whole
		running  []*chainTurn
		programs int
		joining  string // disk of the replica that joins; empty for none
	}

	// chainTurn is a turn of a chain.
	chainTurn struct {
		id, program, previous string
		depth                 int
		began, ends           time.Time // ends is when it is whole, or was
		needs                 []string
	}
)

// Guards against a chain over several programs of which a replica forgets the older turns, since it lacks the newer
// ones: calm or not, callers then get 503 for good.
func TestChainsOverPrograms(t *testing.T) {
	cases := map[string]struct{ replicas, losses, faults int }{
		"calm":               {3, 1, 0},
		"faults, one loss":   {3, 1, 4},
		"faults, two losses": {5, 2, 4},
	}
	for name, c := range cases {
		for seed := range *chainHistories {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					cl := newCluster(t, c.replicas, c.losses)
					defer cl.closeAll()
					h := chains{is: is.New(t), cl: cl, client: cl.client(), rnd: rand.New(rand.NewPCG(seed, 11))}
					for range chainSteps {
						h.step(t, c.faults)
					}
				})
			})
		}
	}
}

// step continues turns, has something befall a replica, and lets time pass. Faults is how many of ten steps have any.
func (h *chains) step(t *testing.T, faults int) {
	clearFaults(h.cl)
	h.endJoin()
	if h.rnd.IntN(10) < faults {
		h.fault(t)
	}
	for range 4 {
		h.begin()
	}
	h.end()
	h.cl.pass(time.Duration(3+h.rnd.IntN(13)) * time.Second)
	clearFaults(h.cl)
	h.check()
}

// fault has a replica be away, start again, or lose its disk and copy while time passes.
func (h *chains) fault(t *testing.T) {
	replicas := h.cl.current().Replicas
	i := h.rnd.IntN(len(replicas))
	switch h.rnd.IntN(4) {
	case 0:
		injectFaults(h.cl, h.rnd, 1)
	case 1:
		h.cl.restart(replicas[i].Address)
	case 2:
		replaceDisk(t, h.cl, h.rnd)
		clearFaults(h.cl)
	default:
		h.beginJoin(i)
	}
}

// beginJoin has a new disk take a place in the roster, which copies once the time of a step has passed.
func (h *chains) beginJoin(i int) {
	m := h.cl.add()
	r := h.cl.current()
	h.cl.set(h.cl.down, r.Replicas[i].Address, true)
	r.Version++
	r.Replicas = append([]roster.Replica(nil), r.Replicas...)
	r.Replicas[i] = roster.Replica{Node: m.Node, Address: m.Address, Domain: m.Domain, DiskID: m.DiskID, Joining: true}
	h.cl.mu.Lock()
	h.cl.roster = r
	h.cl.mu.Unlock()
	h.joining = m.Address
}

func (h *chains) endJoin() {
	if h.joining == "" {
		return
	}
	h.cl.mu.Lock()
	srv := h.cl.servers[h.joining]
	h.cl.mu.Unlock()
	h.is.NoErr(srv.CatchUp(context.Background(), h.cl.current(), h.cl.peer))
	h.cl.mu.Lock()
	defer h.cl.mu.Unlock()
	h.cl.roster = h.cl.roster.WithJoined(srv.DiskID())
	h.joining = ""
}

// begin begins a turn that continues one that is still retained, most often of another program.
func (h *chains) begin() {
	n := &chainTurn{id: fmt.Sprint("t", len(h.turns)+len(h.running)), began: time.Now()}
	n.ends = n.began
	if h.rnd.IntN(4) == 0 {
		n.ends = n.began.Add(time.Duration(h.rnd.Int64N(int64(longestTurn))))
	}
	h.programs++
	n.program = fmt.Sprint("p", h.programs)
	if before := h.retained(); len(before) > 0 && h.rnd.IntN(4) > 0 {
		last := before[h.rnd.IntN(len(before))]
		n.previous, n.depth = last.id, last.depth+1
		if h.rnd.IntN(3) == 0 {
			n.program = last.program
		}
		chain, err := h.client.Read(context.Background(), n.program, n.previous)
		h.is.NoErr(err)
		n.needs = index.Owners(chain, n.program)
		if n.ends.After(n.began) {
			claim := n.record(longestTurn)
			claim.Needs = append([]string{n.program}, n.needs...)
			h.write(claim)
		}
	}
	h.running = append(h.running, n)
}

// end stores the turns whose time is over.
func (h *chains) end() {
	kept := h.running[:0]
	for _, n := range h.running {
		if time.Now().Before(n.ends) {
			kept = append(kept, n)
			continue
		}
		n.ends = time.Now()
		rec := n.record(n.ends.Sub(n.began))
		rec.Needs = n.needs
		rec.Turn = &index.Turn{Previous: n.previous, Input: []byte(n.id)}
		h.write(rec)
		h.turns = append(h.turns, n)
	}
	h.running = kept
}

func (n *chainTurn) record(lasts time.Duration) index.Record {
	return index.Record{Program: n.program, Attempt: n.id, At: n.began.UnixMilli(), TTL: (lasts + chainTTL).Milliseconds()}
}

func (h *chains) write(r index.Record) {
	_, err := h.client.Write(context.Background(), r)
	h.is.NoErr(err)
}

// retained returns the turns that callers may continue.
func (h *chains) retained() (list []*chainTurn) {
	for _, n := range h.turns {
		if time.Since(n.ends) < chainTTL {
			list = append(list, n)
		}
	}
	return list
}

// check reads all turns that callers may continue, with their chains.
func (h *chains) check() {
	h.endJoin()
	for _, n := range h.retained() {
		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		chain, err := h.client.Read(ctx, n.program, n.id)
		stop()
		h.is.NoErr(err)
		h.is.Equal(len(chain), n.depth+1)
	}
}
