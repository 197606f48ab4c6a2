package quorum

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/roster"
)

const (
	rosterSteps  = 30
	settleRounds = 8
)

// fleet is a cluster whose VMs are retired, replaced and lose disks. One loss at a time is borne: the next one
// comes when the roster is complete again. A VM that is being retired is no loss.
type fleet struct {
	*cluster
	is       *is.I
	rnd      *rand.Rand
	members  []roster.Member // VMs that are listed
	gone     map[string]time.Time
	lossOpen bool
	acked    []string
}

// Guards against a roster that can't become complete again without an operator, or that loses a turn, whatever
// was retired, replaced, restarted or lost before, within the losses to be borne.
func TestRosterHistories(t *testing.T) {
	for seed := range uint64(*histories / 2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fleet{cluster: newCluster(t, 3, 1), is: is, rnd: rand.New(rand.NewPCG(seed, 9)), gone: map[string]time.Time{}}
				defer f.closeAll()
				for _, p := range f.current().Replicas {
					f.members = append(f.members, roster.Member{Node: p.Node, Address: p.Address, Domain: p.Domain, DiskID: p.DiskID})
				}
				for range rosterSteps {
					f.step()
				}
				f.settle()
				f.check()
			})
		})
	}
}

func (f *fleet) step() {
	switch f.rnd.IntN(10) {
	case 0:
		f.retireOne()
	case 1:
		f.loseDisk()
	case 2:
		f.loseVM()
	case 3:
		f.cancelRetirement()
	case 4:
		f.members = append(f.members, f.add())
	case 5:
		f.restart(f.members[f.rnd.IntN(len(f.members))].Address)
	case 6:
		f.claims()
	case 7:
		f.catchUp(f.members[f.rnd.IntN(len(f.members))])
	default:
		f.writeTurn()
	}
	f.removeRetired()
	f.lossOpen = f.lossOpen && !f.complete()
}

// complete reports whether the roster has all its replicas and all are complete and live.
func (f *fleet) complete() bool {
	r := f.current()
	return len(r.Replicas) == 3 && !slices.ContainsFunc(r.Replicas, func(p roster.Replica) bool { return p.Joining || f.listed(p.DiskID) < 0 })
}

func (f *fleet) listed(diskID string) int {
	return slices.IndexFunc(f.members, func(m roster.Member) bool { return m.DiskID == diskID })
}

func (f *fleet) retireOne() {
	if slices.ContainsFunc(f.members, func(m roster.Member) bool { return m.Retiring }) || len(f.members) < 4 {
		return
	}
	p := f.current().Replicas[f.rnd.IntN(len(f.current().Replicas))]
	if i := f.listed(p.DiskID); i >= 0 {
		f.members[i].Retiring = true
	}
}

func (f *fleet) cancelRetirement() {
	for i := range f.members {
		f.members[i].Retiring = false
	}
}

// removeRetired removes a retired VM for good, as the operator does once it holds no records.
func (f *fleet) removeRetired() {
	f.members = slices.DeleteFunc(f.members, func(m roster.Member) bool {
		_, in := f.current().Find(m.DiskID)
		empty := m.Retiring && !in && !slices.ContainsFunc(f.current().Replicas, func(p roster.Replica) bool { return p.Joining })
		if empty {
			f.set(f.down, m.Address, true)
			f.gone[m.Node] = time.Now() // its place is another's, unless its disk was lost before
		}
		return empty
	})
}

func (f *fleet) loseDisk() {
	i := f.rnd.IntN(len(f.members))
	if f.lossOpen || !f.complete() && !f.isCalm() {
		return
	}
	f.lossOpen = true
	old := f.members[i]
	f.set(f.down, old.Address, true)
	again := f.add()
	again.Node, again.Retiring = old.Node, old.Retiring
	f.members[i] = again
}

func (f *fleet) loseVM() {
	i := f.rnd.IntN(len(f.members))
	if f.lossOpen || len(f.members) < 4 || !f.complete() && !f.isCalm() {
		return
	}
	f.lossOpen = true
	f.set(f.down, f.members[i].Address, true)
	f.gone[f.members[i].Node] = time.Now()
	f.members = slices.Delete(f.members, i, i+1)
}

// isCalm reports whether all that is under way is the successor of a retiring VM that joins.
func (f *fleet) isCalm() bool {
	for _, p := range f.current().Replicas {
		if f.listed(p.DiskID) < 0 || p.Joining && (p.Source.DiskID == "" || f.listed(p.Source.DiskID) < 0) {
			return false
		}
	}
	return true
}

// claims has each VM that may become a replica do so, as their daemons do at their checks.
func (f *fleet) claims() {
	for _, m := range f.members {
		f.mu.Lock()
		if next, ok := f.roster.Claim(time.Now(), m, f.members, f.gone, roster.TakeoverDelay); ok {
			f.roster = next
		}
		f.mu.Unlock()
	}
}

func (f *fleet) writeTurn() {
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer stop()
	id := fmt.Sprint("t", len(f.acked))
	if _, err := f.client().Write(ctx, turn(id, "")); err == nil {
		f.acked = append(f.acked, id)
	}
}

// settle lets the daemons work without further events.
func (f *fleet) settle() {
	for range settleRounds {
		time.Sleep(roster.TakeoverDelay)
		f.claims()
		for _, m := range f.members {
			f.catchUp(m)
		}
		f.removeRetired()
	}
}

// check checks that the roster is complete if there are VMs enough, and that each turn is there, whichever
// replica is lost next if it is.
func (f *fleet) check() {
	f.is.True(f.complete() || len(f.members) < 3)
	f.writeTurn()
	f.readAll()
	if !f.complete() {
		return
	}
	for _, p := range f.current().Replicas {
		f.set(f.down, p.Address, true)
		f.readAll()
		f.set(f.down, p.Address, false)
	}
}

func (f *fleet) readAll() {
	for _, id := range f.acked {
		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		_, err := f.client().Read(ctx, "", id)
		stop()
		f.is.NoErr(err)
	}
}
