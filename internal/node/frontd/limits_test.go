package frontd

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/conf/accnt"
	"github.com/slaterock/slaterock/internal/conf/route"
	"github.com/slaterock/slaterock/internal/front/bucket"
	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/limits"
	"github.com/slaterock/slaterock/internal/front/mesh"
)

// Fronts that are partitioned still serve, so they count among those that share the limits of
// accounts until they have given up their share by themselves. If they were dropped too early,
// both sides of the partition would use the whole limit; a front that goes on alone for too
// long uses a share that the others consider theirs.
func TestLimitPeers(t *testing.T) {
	all, some := []string{"self", "a", "b", "c"}, []string{"self", "a"}
	cases := map[string]struct {
		nodes  []string // listed or heard from after all were
		heard  int      // number of fronts heard from, with this one
		lasts  time.Duration
		fronts int
		all    int
	}{
		"all are there":                   {all, 4, time.Hour, 4, 4},
		"two are not heard":               {all, 2, time.Hour, 2, 4},
		"two are gone, for a while":       {some, 2, peerExpiry - time.Second, 2, 4},
		"two are gone, for long":          {some, 2, peerExpiry + time.Second, 2, 2},
		"this one hears nobody":           {all, 1, isolationTimeout - time.Second, 1, 4},
		"this one hears nobody, for long": {all, 1, isolationTimeout + time.Second, 0, 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var p limitPeers
			now := time.Unix(1000, 0)
			p.count(now, all, 4)
			for range int(c.lasts / time.Second) {
				now = now.Add(time.Second)
				p.count(now, c.nodes, c.heard)
			}
			h := p.count(now, c.nodes, c.heard)
			is.Equal([]int{h.Fronts, h.Total}, []int{c.fronts, c.all})
		})
	}
	is.New(t).True(isolationTimeout < peerExpiry)
}

// The requests that wait are reported by account, those of programs that have begun also
// under a key of their own, which must not count as another account's.
func TestUseByKnownAccount(t *testing.T) {
	is := is.New(t)
	a, err := accnt.New([]accnt.Account{{Name: "cafe"}, {Name: "bar"}})
	is.NoErr(err)
	var p limitPeers
	is.Equal(p.byAccount(a, map[mesh.ID]int{mesh.IDOf("cafe"): 3, mesh.IDOf("gone"): 2, begunID("cafe"): 1}), map[string]int{"cafe": 3})
	is.Equal(p.begunByAccount(map[mesh.ID]int{mesh.IDOf("cafe"): 3, begunID("cafe"): 1}), map[string]int{"cafe": 1})
	is.Equal(len(p.byAccount(nil, map[mesh.ID]int{mesh.IDOf("cafe"): 3})), 0)
}

// Without requests that wait and programs that begin, as without accounts, messages must have no
// field for demand.
func TestNoDemandWithoutContention(t *testing.T) {
	is := is.New(t)
	var d Daemon
	is.Equal(d.limitDemand(time.Unix(1000, 0)), mesh.Demand{})
}

// All accounts are removed while a request waits for a limit. It must be decided at once: it
// would be refused as over a limit that no longer exists.
func TestAccountsRemovedWhileRequestsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDaemon()
		a, err := accnt.New([]accnt.Account{{Name: "cafe", Rate: 1, Burst: 1}})
		is.NoErr(err)
		configure := func(revision uint64, a *accnt.Accounts) {
			table := route.New(int64(revision), nil, nil, route.Limits{})
			table.Accounts = a
			d.fleet.Update(time.Now(), fleet.Snapshot{Revision: revision, Table: table})
			time.Sleep(limitInterval)
			d.updateLimits(mesh.Summary{Fronts: 1})
		}
		configure(8, a)
		d.limits.Drain(time.Now())
		var waited bucket.Decision
		done := make(chan struct{})
		go func() {
			defer close(done)
			waited = d.limits.Acquire(t.Context(), limits.Request{Account: "cafe", Begun: true, Until: time.Now().Add(3 * time.Second)})
		}()
		synctest.Wait()
		is.Equal(d.limits.Demand(time.Now()).Waiting["cafe"], 1)
		configure(9, nil)
		synctest.Wait()
		is.Equal(len(d.limits.Demand(time.Now()).Waiting), 0)
		<-done
		is.True(waited.OK)
	})
}
