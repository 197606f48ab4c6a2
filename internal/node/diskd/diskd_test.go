package diskd

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	tally "github.com/uber-go/tally/v4"

	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/node/discov"
	"github.com/slaterock/slaterock/internal/peer/link"
	"github.com/slaterock/slaterock/internal/plat/store"
)

// memStore is a store in memory, without leases.
type memStore struct {
	store.Shared
	mu    sync.Mutex
	down  bool
	rev   store.Rev
	items map[string]store.Entry
}

func (s *memStore) Scan(_ context.Context, prefix string, _ bool) (list []store.Entry, rev store.Rev, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, store.ErrUnavailable
	}
	for key, e := range s.items {
		if strings.HasPrefix(key, prefix) {
			list = append(list, e)
		}
	}
	return list, s.rev, nil
}

func (s *memStore) Put(_ context.Context, key string, data []byte, rev store.Rev, _ store.Lease) (store.Rev, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items[key].Rev != rev {
		return 0, &store.ConflictError{Key: key, Rev: s.items[key].Rev}
	}
	s.put(key, data)
	return s.rev, nil
}

func (s *memStore) put(key string, data []byte) {
	s.rev++
	s.items[key] = store.Entry{Key: key, Data: data, Rev: s.rev}
}

// setListed writes a VM's key, or removes it.
func (s *memStore) setListed(m roster.Member, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !on {
		s.rev++
		delete(s.items, discov.DiskPrefix+m.Node)
		return
	}
	data, _ := json.Marshal(m)
	s.put(discov.DiskPrefix+m.Node, data)
}

// operator requests that VMs are emptied, and records the reports.
type operator struct {
	want    map[string]bool
	reports []bool // whether complete
}

func (o *operator) RetiringNodes(context.Context) (map[string]bool, error) { return o.want, nil }

func (o *operator) ReportRetirement(_ context.Context, _ string, complete bool) error {
	o.reports = append(o.reports, complete)
	return nil
}

type fixture struct {
	t      *testing.T
	s      *memStore
	op     *operator
	daemon *Daemon
	due    time.Time           // time of the next check
	alive  map[string]diskPeer // of the VMs that answer, by address
}

// diskPeer is another VM with a disk, which answers with this disk ID; an empty one does not answer.
type diskPeer string

func (p diskPeer) Invoke(_ context.Context, _ string, _, out any) error {
	raw, ok := out.(*link.Raw)
	if p == "" || !ok {
		return link.ErrUnresponsive
	}
	data, err := cbor.Marshal(string(p))
	*raw = data
	return err
}

// newFixture returns the daemon of a VM "d", without a listener for other daemons. The
// others are a, b and c.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, s: &memStore{items: map[string]store.Entry{}}, op: &operator{want: map[string]bool{}}}
	f.daemon = &Daemon{
		Settings: Settings{Node: "d", Address: "d:1", Domain: "w", Losses: 1},
		Store:    f.s, Operator: f.op, Log: zerolog.Nop(), Scope: tally.NoopScope,
	}
	f.daemon.started = time.Now()
	f.daemon.joinResult = make(chan error, 1)
	f.daemon.recsrv.Dir = t.TempDir()
	_, err := f.daemon.recsrv.Open()
	is.New(t).NoErr(err)
	f.daemon.caughtUp = true
	f.daemon.discov.Store = f.s
	f.daemon.peerFunc = func(address string) link.Invoker { return f.alive[address] }
	f.daemon.leased.Init()
	is.New(t).NoErr(f.daemon.link.Start(t.Context()))
	t.Cleanup(func() { _ = f.daemon.recsrv.Close() })
	return f
}

func others() []roster.Member {
	return []roster.Member{
		{Node: "a", Address: "a:1", Domain: "x", DiskID: "1"},
		{Node: "b", Address: "b:1", Domain: "y", DiskID: "2"},
		{Node: "c", Address: "c:1", Domain: "z", DiskID: "3"},
	}
}

// runFixed runs checks at rosterInterval for the time d.
func (f *fixture) runFixed(d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(rosterInterval) {
		f.daemon.check(f.t.Context())
	}
}

// runPaced runs checks for the time d at the daemon's own intervals, which go on from one call
// to the next.
func (f *fixture) runPaced(d time.Duration) {
	until := time.Now().Add(d)
	for f.due.Before(until) {
		time.Sleep(time.Until(f.due))
		f.daemon.check(f.t.Context())
		f.due = time.Now().Add(f.daemon.nextInterval())
	}
	time.Sleep(time.Until(until))
}

func (f *fixture) nodes() (s string) {
	data := f.s.items[discov.RosterKey].Data
	if data == nil {
		return ""
	}
	r, err := roster.Decode(data)
	is.New(f.t).NoErr(err)
	for _, p := range r.Replicas {
		s += p.Node
	}
	return s
}

// started lists all four VMs and writes a roster with a, b and c as replicas.
func (f *fixture) started() {
	for _, m := range others() {
		f.s.setListed(m, true)
	}
	r, _ := roster.Initial(others(), 1)
	data, _ := r.Encode()
	f.s.put(discov.RosterKey, data)
	f.s.setListed(f.daemon.self(), true)
	f.runFixed(3 * time.Second)
	is.New(f.t).Equal(f.nodes(), "abc")
}

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
