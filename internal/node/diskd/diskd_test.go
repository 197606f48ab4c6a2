package diskd

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/node/discov"
)

// Dozens of VMs have a disk and few of them are replicas. If each of the others checked the
// roster at short intervals, these reads would be most of the store's load. The first standbys
// in line must check often, and the ones after them once they move up.
func TestCheckIntervals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.started()
		is.Equal(f.daemon.nextInterval(), rosterInterval) // first in line
		before := roster.Member{Node: "bb", Domain: "z", DiskID: "4"}
		f.s.setListed(before, true)
		f.runFixed(rosterInterval)
		is.Equal(f.daemon.nextInterval(), rosterInterval) // the first in line may be lost at any time
		f.s.setListed(roster.Member{Node: "bc", Domain: "z", DiskID: "5"}, true)
		f.s.setListed(roster.Member{Node: "bd", Domain: "z", DiskID: "6"}, true)
		f.runFixed(rosterInterval)
		is.Equal(f.daemon.nextInterval(), idleInterval)
		f.s.down = true
		f.runFixed(rosterInterval)
		is.Equal(f.daemon.nextInterval(), rosterInterval) // to notice the end of the outage
		f.s.down = false
		f.runFixed(rosterInterval)
		is.Equal(f.daemon.nextInterval(), idleInterval)
		f.s.setListed(before, false)
		f.runFixed(rosterInterval)
		is.Equal(f.daemon.nextInterval(), rosterInterval)
		f.daemon.retiring.Store(true)
		is.Equal(f.daemon.nextInterval(), rosterInterval) // its records are to be handed over
	})
}

// A replica's VM and the first standby in line are partitioned together, and the standby's key
// lapses two seconds later. The second standby must have tracked since when the replica's VM is
// missing, and replace it as soon as that key has lapsed: one more loss could not be tolerated.
func TestFirstStandbyIsLostToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.started()
		next := roster.Member{Node: "bb", Domain: "z", DiskID: "4"}
		f.s.setListed(next, true)
		f.s.setListed(roster.Member{Node: "e", Domain: "z", DiskID: "5"}, true)
		f.runPaced(5 * time.Second)
		f.s.setListed(others()[1], false)
		f.runPaced(roster.TakeoverDelay + rosterInterval)
		is.Equal(f.nodes(), "abc")
		f.s.setListed(next, false)
		f.runPaced(2 * rosterInterval)
		is.Equal(f.nodes(), "adc")
	})
}

func TestFirstRoster(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.s.setListed(f.daemon.self(), true)
		f.s.setListed(others()[0], true)
		f.runFixed(time.Second)
		is.Equal(f.nodes(), "") // waits for one more
		f.runFixed(roster.BootstrapWait)
		is.Equal(f.nodes(), "ad") // waited long enough
	})
}

// The VM of a replica is lost permanently. Another must replace it within seconds, or the next
// loss loses records.
func TestPlaceOfLostVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.started()
		f.s.setListed(others()[1], false)
		f.runFixed(roster.TakeoverDelay)
		is.Equal(f.nodes(), "abc")
		f.runFixed(2 * rosterInterval)
		is.Equal(f.nodes(), "adc")
	})
}

// A new VM is started in place of a lost one. It must become a replica sooner than a standby
// would: until it has the records, one more loss could not be tolerated.
func TestPlaceForANewVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.started()
		f.daemon.emptyDisk, f.daemon.started = true, time.Now()
		f.s.setListed(others()[1], false)
		f.runFixed(roster.TakeoverDelayEmptyDisk - rosterInterval)
		is.Equal(f.nodes(), "abc")
		f.runFixed(2 * rosterInterval)
		is.Equal(f.nodes(), "adc")
	})
}

// A killed process restarts within two seconds. Replacing its VM would copy all records
// needlessly.
func TestPlaceOfRestartedVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.started()
		f.s.setListed(others()[1], false)
		f.runFixed(roster.TakeoverDelay - rosterInterval)
		f.s.setListed(others()[1], true)
		f.runFixed(5 * time.Second)
		is.New(t).Equal(f.nodes(), "abc")
	})
}

// All keys lapsed in an outage of the store, although the VMs are alive. None of them may be
// replaced while they write their keys again.
func TestKeysThatLapsedInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.started()
		f.s.down = true
		f.runFixed(5 * time.Second)
		for _, m := range others() {
			f.s.setListed(m, false)
		}
		f.s.down = false
		f.runFixed(2 * time.Second)
		for _, m := range others() {
			f.s.setListed(m, true)
		}
		f.runFixed(5 * time.Second)
		is.New(t).Equal(f.nodes(), "abc")
	})
}

// A VM with an empty disk starts just after an outage in which all keys lapsed, or while the
// store refuses the calls of other VMs. It has not seen the outage, and must not replace a
// live VM; one that is lost, or has lost its disk, must still be replaced.
func TestPlaceOfUnlistedVM(t *testing.T) {
	cases := map[string]struct {
		alive map[string]diskPeer
		want  string
	}{
		"all live":          {map[string]diskPeer{"a:1": "1", "b:1": "2", "c:1": "3"}, "abc"},
		"one is gone":       {map[string]diskPeer{"a:1": "1", "c:1": "3"}, "adc"},
		"one lost its disk": {map[string]diskPeer{"a:1": "1", "b:1": "9", "c:1": "3"}, "adc"},
		"nothing is heard":  {nil, "dbc"},
		"two are gone":      {map[string]diskPeer{"a:1": "1"}, "adc"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.started()
				f.alive = c.alive
				f.daemon.emptyDisk, f.daemon.started = true, time.Now()
				for _, m := range others() {
					f.s.setListed(m, false)
				}
				f.runFixed(2500 * time.Millisecond)
				is.New(t).Equal(f.nodes(), c.want)
			})
		})
	}
}

// The operator requests that a VM is emptied, and discards its disk as soon as "complete" is
// reported. That must not happen while the VM is a replica, or while another is still copying.
func TestRetire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.started()
		r, _ := roster.Initial(others(), 1)
		r.Version = 5
		r.Replicas[2] = roster.Replica{Node: "d", Address: "d:1", Domain: "w", DiskID: f.daemon.recsrv.DiskID()}
		set := func() {
			data, _ := r.Encode()
			f.s.put(discov.RosterKey, data)
		}
		set()
		spare := others()[2]
		f.s.setListed(spare, true)
		f.op.want["d"] = true
		f.runFixed(3 * time.Second)
		is.Equal(f.op.reports, []bool{false}) // c can replace d
		r = r.WithJoined("")
		r.Replicas[2] = roster.Replica{Node: "c", DiskID: "3", Joining: true}
		set()
		f.runFixed(3 * time.Second)
		is.Equal(f.op.reports, []bool{false})
		r = r.WithJoined("3")
		set()
		f.runFixed(3 * time.Second)
		is.Equal(f.op.reports, []bool{false, true})
	})
}

// After a loss of power some replicas have lost their disks. A replica that still has its records must not copy from the others at the same time: its copies can wait, and the few complete replicas serve all callers.
func TestCatchUpWaitsForJoiningReplicas(t *testing.T) {
	cases := map[string]struct {
		joined bool // the other replica completes its copy
		waited time.Duration
	}{
		"the other one joins":        {true, 5 * time.Second},
		"the other one never joins":  {false, maxCatchUpDelay},
		"it joins as the time is up": {true, maxCatchUpDelay},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t)
				members := append(others()[:2], f.daemon.self())
				r, _ := roster.Initial(members, 1)
				r.Replicas[0].Joining = true
				data, _ := r.Encode()
				f.s.put(discov.RosterKey, data)
				for _, m := range members {
					f.s.setListed(m, true)
				}
				f.daemon.caughtUp = false
				f.runFixed(tc.waited)
				is.True(!f.daemon.joining && !f.daemon.caughtUp)
				if tc.joined {
					data, _ = r.WithJoined(r.Replicas[0].DiskID).Encode()
					f.s.put(discov.RosterKey, data)
				}
				f.runFixed(3 * rosterInterval)
				is.True(f.daemon.joining || f.daemon.caughtUp)
				synctest.Wait()
			})
		})
	}
}
