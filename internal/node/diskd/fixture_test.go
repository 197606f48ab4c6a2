package diskd

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
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

func (s *memStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
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
