package quorum

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/roster"
)

// Guards against a service that stops for good: the successor of a VM that is being retired and a replica with
// a lost disk join at the same time, and each waits for the other one.
func TestRetirementBesideLostDisk(t *testing.T) {
	cases := map[string]struct {
		sourceDown bool // the VM that is retired is lost, too: more than is to be borne
		lost       bool // the other replica's disk
		joins      bool
	}{
		"retired, a disk lost beside it":          {false, true, true},
		"retired and lost":                        {true, false, true},
		"retired and lost, a disk lost beside it": {true, true, false},
		"retired, nothing lost":                   {false, false, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				cl := newCluster(t, 3, 1)
				defer cl.closeAll()
				client := cl.client()
				for i := range 30 {
					write(t, client, turn(fmt.Sprint(i), ""))
				}
				spare := cl.add()
				members := []roster.Member{spare}
				for i, p := range cl.current().Replicas {
					members = append(members, roster.Member{Node: p.Node, Address: p.Address, Domain: p.Domain, DiskID: p.DiskID, Retiring: i == 0})
				}
				cl.claim(is, spare, members)
				write(t, client, turn("between", "")) // acknowledged by two of the new roster
				cl.set(cl.down, "n1", c.sourceDown)
				joining := []roster.Member{spare}
				if c.lost {
					again := cl.add()
					again.Node = "n2"
					cl.set(cl.down, "n2", true)
					cl.claim(is, again, append(members, again))
					joining = append(joining, again)
				}
				for range 4 { // as daemons do, one beginning after the other ended
					for _, m := range joining {
						cl.catchUp(m)
					}
				}
				complete := 0
				for _, p := range cl.current().Replicas {
					if !p.Joining {
						complete++
						is.Equal(p.Source, roster.Source{})
					}
				}
				is.Equal(complete == 3, c.joins)
				if !c.joins {
					return
				}
				cl.set(cl.down, "n1", true)
				cl.set(cl.down, "n3", true) // the only one that was there all the time
				for i := range 30 {
					_, err := cl.client().Read(t.Context(), "", fmt.Sprint(i))
					is.NoErr(err)
				}
				_, err := cl.client().Read(t.Context(), "", "between")
				is.NoErr(err)
			})
		})
	}
}

// claim makes the member a joining replica, as its daemon does.
func (cl *cluster) claim(is *is.I, m roster.Member, members []roster.Member) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	next, ok := cl.roster.Claim(time.Now(), m, members, nil, 0)
	is.True(ok)
	cl.roster = next
}

// catchUp has the member copy the records, if it is joining, and join once it has all.
func (cl *cluster) catchUp(m roster.Member) {
	r := cl.current()
	p, _ := r.Find(m.DiskID)
	cl.mu.Lock()
	srv := cl.servers[m.Address]
	cl.mu.Unlock()
	if !p.Joining || srv.CatchUp(context.Background(), r, cl.peer) != nil {
		return
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.roster = cl.roster.WithJoined(m.DiskID)
}
