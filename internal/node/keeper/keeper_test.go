package keeper

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
	"github.com/slaterock/slaterock/internal/node/scout"
	"github.com/slaterock/slaterock/internal/peer/link"
	"github.com/slaterock/slaterock/internal/plat/store"
)

// shelf is a store in memory, without leases.
type shelf struct {
	store.Shared
	mu    sync.Mutex
	down  bool
	rev   store.Rev
	items map[string]store.Entry
}

func (s *shelf) Scan(_ context.Context, prefix string, _ bool) (list []store.Entry, rev store.Rev, err error) {
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

func (s *shelf) Put(_ context.Context, key string, data []byte, rev store.Rev, _ store.Lease) (store.Rev, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items[key].Rev != rev {
		return 0, &store.ConflictError{Key: key, Rev: s.items[key].Rev}
	}
	s.put(key, data)
	return s.rev, nil
}

func (s *shelf) put(key string, data []byte) {
	s.rev++
	s.items[key] = store.Entry{Key: key, Data: data, Rev: s.rev}
}

// list writes a VM's key, or removes it.
func (s *shelf) list(m roster.Member, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !on {
		s.rev++
		delete(s.items, scout.DiskPrefix+m.Node)
		return
	}
	data, _ := json.Marshal(m)
	s.put(scout.DiskPrefix+m.Node, data)
}

// operator wants VMs emptied.
type operator struct {
	want map[string]bool
	told []bool // whether complete
}

func (o *operator) Retiring(context.Context) (map[string]bool, error) { return o.want, nil }

func (o *operator) Retired(_ context.Context, _ string, complete bool) error {
	o.told = append(o.told, complete)
	return nil
}

type world struct {
	t     *testing.T
	s     *shelf
	op    *operator
	k     *Keeper
	due   time.Time       // of the next look
	lives map[string]life // of the VMs that answer, by address
}

// life is the disk of a VM that answers; the empty one doesn't.
type life string

func (l life) Invoke(_ context.Context, _ string, _, out any) error {
	raw, ok := out.(*link.Raw)
	if l == "" || !ok {
		return link.ErrSilent
	}
	data, err := cbor.Marshal(string(l))
	*raw = data
	return err
}

// newWorld starts a VM "d" beside a, b and c. It takes no calls of others.
func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{t: t, s: &shelf{items: map[string]store.Entry{}}, op: &operator{want: map[string]bool{}}}
	w.k = &Keeper{
		Settings: Settings{Node: "d", Address: "d:1", Domain: "w", Losses: 1},
		Store:    w.s, Operator: w.op, Log: zerolog.Nop(), Scope: tally.NoopScope,
	}
	w.k.started = time.Now()
	w.k.joined = make(chan error, 1)
	w.k.recsrv.Dir = t.TempDir()
	_, err := w.k.recsrv.Open()
	is.New(t).NoErr(err)
	w.k.caughtUp = true
	w.k.scout.Store = w.s
	w.k.reach = func(address string) link.Invoker { return w.lives[address] }
	w.k.listed.Init()
	is.New(t).NoErr(w.k.link.Start(t.Context()))
	t.Cleanup(func() { _ = w.k.recsrv.Close() })
	return w
}

func others() []roster.Member {
	return []roster.Member{
		{Node: "a", Address: "a:1", Domain: "x", DiskID: "1"},
		{Node: "b", Address: "b:1", Domain: "y", DiskID: "2"},
		{Node: "c", Address: "c:1", Domain: "z", DiskID: "3"},
	}
}

// run lets the VM look for a while.
func (w *world) run(d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(lookEvery) {
		w.k.step(w.t.Context())
	}
}

// look lets the VM look as often as it means to, from call to call.
func (w *world) look(d time.Duration) {
	until := time.Now().Add(d)
	for w.due.Before(until) {
		time.Sleep(time.Until(w.due))
		w.k.step(w.t.Context())
		w.due = time.Now().Add(w.k.lookPause())
	}
	time.Sleep(time.Until(until))
}

func (w *world) nodes() (s string) {
	data := w.s.items[scout.RosterKey].Data
	if data == nil {
		return ""
	}
	r, err := roster.Decode(data)
	is.New(w.t).NoErr(err)
	for _, p := range r.Replicas {
		s += p.Node
	}
	return s
}

// started has a, b and c hold the records, and d beside them.
func (w *world) started() {
	for _, m := range others() {
		w.s.list(m, true)
	}
	r, _ := roster.Initial(others(), 1)
	data, _ := r.Encode()
	w.s.put(scout.RosterKey, data)
	w.s.list(w.k.self(), true)
	w.run(3 * time.Second)
	is.New(w.t).Equal(w.nodes(), "abc")
}

// Dozens of VMs have a disk and few of them hold records. If each of the others
// looked for a free place all the time, that would be most of what the store has to
// do. The one that would take the next place must look often, and so must the next
// one when that one is gone.
func TestWhoLooksOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		w.started()
		is.Equal(w.k.lookPause(), lookEvery) // the next
		before := roster.Member{Node: "bb", Domain: "z", DiskID: "4"}
		w.s.list(before, true)
		w.run(lookEvery)
		is.Equal(w.k.lookPause(), lookEvery) // the second may be called upon at any time
		w.s.list(roster.Member{Node: "bc", Domain: "z", DiskID: "5"}, true)
		w.s.list(roster.Member{Node: "bd", Domain: "z", DiskID: "6"}, true)
		w.run(lookEvery)
		is.Equal(w.k.lookPause(), idleEvery)
		w.s.down = true
		w.run(lookEvery)
		is.Equal(w.k.lookPause(), lookEvery) // to notice the store's return
		w.s.down = false
		w.run(lookEvery)
		is.Equal(w.k.lookPause(), idleEvery)
		w.s.list(before, false)
		w.run(lookEvery)
		is.Equal(w.k.lookPause(), lookEvery)
		w.k.retiring.Store(true)
		is.Equal(w.k.lookPause(), lookEvery) // its records are to go
	})
}

// A VM that holds records and the one that would take its place are cut off together.
// The key of the second lapses two seconds later. The one after it must have seen since
// when the place is empty, and take it then: one more loss can't be borne.
func TestNextInLineIsGoneToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		w.started()
		next := roster.Member{Node: "bb", Domain: "z", DiskID: "4"}
		w.s.list(next, true)
		w.s.list(roster.Member{Node: "e", Domain: "z", DiskID: "5"}, true)
		w.look(5 * time.Second)
		w.s.list(others()[1], false)
		w.look(roster.TakeoverDelay + lookEvery)
		is.Equal(w.nodes(), "abc")
		w.s.list(next, false)
		w.look(2 * lookEvery)
		is.Equal(w.nodes(), "adc")
	})
}

func TestFirstRoster(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		w.s.list(w.k.self(), true)
		w.s.list(others()[0], true)
		w.run(time.Second)
		is.Equal(w.nodes(), "") // one more may come
		w.run(roster.BootstrapWait)
		is.Equal(w.nodes(), "ad") // it didn't
	})
}

// A VM with a disk is gone for good. Another must take its place within seconds, or
// the next loss takes records with it.
func TestPlaceOfAVMThatIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		w.started()
		w.s.list(others()[1], false)
		w.run(roster.TakeoverDelay)
		is.Equal(w.nodes(), "abc")
		w.run(2 * lookEvery)
		is.Equal(w.nodes(), "adc")
	})
}

// A VM was put there in place of one that is gone. It must not wait as long as one
// that has stood by: until it has the records, one more loss can't be borne.
func TestPlaceForANewVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		w.started()
		w.k.blank, w.k.started = true, time.Now()
		w.s.list(others()[1], false)
		w.run(roster.TakeoverDelayEmptyDisk - lookEvery)
		is.Equal(w.nodes(), "abc")
		w.run(2 * lookEvery)
		is.Equal(w.nodes(), "adc")
	})
}

// A killed process is back within two seconds. Taking its place would copy all
// records for nothing.
func TestPlaceOfAVMThatComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.started()
		w.s.list(others()[1], false)
		w.run(roster.TakeoverDelay - lookEvery)
		w.s.list(others()[1], true)
		w.run(5 * time.Second)
		is.New(t).Equal(w.nodes(), "abc")
	})
}

// The store was away and all keys lapsed, of VMs that live. None of their places
// may be taken while they write their keys again.
func TestKeysThatLapsedInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.started()
		w.s.down = true
		w.run(5 * time.Second)
		for _, m := range others() {
			w.s.list(m, false)
		}
		w.s.down = false
		w.run(2 * time.Second)
		for _, m := range others() {
			w.s.list(m, true)
		}
		w.run(5 * time.Second)
		is.New(t).Equal(w.nodes(), "abc")
	})
}

// A VM with an empty disk starts just after an outage in which all keys lapsed, or while the
// store turns others away. It has seen no outage, and would take the place of a VM that
// lives; one that is gone, or has lost its disk, must be replaced all the same.
func TestPlaceOfAVMThatIsNotListed(t *testing.T) {
	cases := map[string]struct {
		lives map[string]life
		want  string
	}{
		"all live":          {map[string]life{"a:1": "1", "b:1": "2", "c:1": "3"}, "abc"},
		"one is gone":       {map[string]life{"a:1": "1", "c:1": "3"}, "adc"},
		"one lost its disk": {map[string]life{"a:1": "1", "b:1": "9", "c:1": "3"}, "adc"},
		"nothing is heard":  {nil, "dbc"},
		"two are gone":      {map[string]life{"a:1": "1"}, "adc"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t)
				w.started()
				w.lives = c.lives
				w.k.blank, w.k.started = true, time.Now()
				for _, m := range others() {
					w.s.list(m, false)
				}
				w.run(2500 * time.Millisecond)
				is.New(t).Equal(w.nodes(), c.want)
			})
		})
	}
}

// The operator wants a VM emptied. "Complete" has its disk thrown away at once, so
// it must not be said while the VM has a place, or while another is still copying.
func TestRetire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		w.started()
		r, _ := roster.Initial(others(), 1)
		r.Version = 5
		r.Replicas[2] = roster.Replica{Node: "d", Address: "d:1", Domain: "w", DiskID: w.k.recsrv.DiskID()}
		set := func() {
			data, _ := r.Encode()
			w.s.put(scout.RosterKey, data)
		}
		set()
		spare := others()[2]
		w.s.list(spare, true)
		w.op.want["d"] = true
		w.run(3 * time.Second)
		is.Equal(w.op.told, []bool{false}) // c may take the place
		r = r.WithJoined("")
		r.Replicas[2] = roster.Replica{Node: "c", DiskID: "3", Joining: true}
		set()
		w.run(3 * time.Second)
		is.Equal(w.op.told, []bool{false})
		r = r.WithJoined("3")
		set()
		w.run(3 * time.Second)
		is.Equal(w.op.told, []bool{false, true})
	})
}
