package watch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slaterock/slaterock/internal/conf/apply"
	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/conf/head"
	"github.com/slaterock/slaterock/internal/fake/keyval"
	"github.com/slaterock/slaterock/internal/plat/store"
)

const (
	maxDelay          = 4 * time.Second        // from acceptance until active at every daemon
	heartbeatInterval = 500 * time.Millisecond // of each daemon
)

type (
	// cluster is a few daemons that reach each other and a store. Method gossip simulates
	// heartbeats: each daemon learns every other daemon's version.
	cluster struct {
		store keyval.Store

		mu      sync.Mutex
		daemons map[string]*daemon
	}

	// daemon is one daemon. A restart loses its Syncer.
	daemon struct {
		*Syncer
		view         *keyval.View
		link         *link
		stop         context.CancelFunc
		isolated     bool // can't reach peers, nor be reached
		noHeartbeats bool // receives no heartbeats
		versions     []uint64
		loadErrors   int
		alterAnswer  func(a Answer) Answer // changes its answers to peers; may be nil
	}

	// link is a daemon's connection to the store, with injected faults.
	link struct {
		store.Store

		mu        sync.Mutex
		noChunks  bool         // reads of chunks fail
		noWatches bool         // watches never return
		stale     *store.Entry // returned by every read of the head
		afterHead func()       // runs after the head was written; the acknowledgement is then lost
	}
)

var (
	errUnreachable = errors.New("peer unreachable")
	devText        = sync.OnceValues(func() ([]byte, error) { return os.ReadFile("../../../examples/dev.ini") })
)

func (l *link) Get(ctx context.Context, key string) (store.Entry, error) {
	l.mu.Lock()
	noChunks, stale := l.noChunks, l.stale
	l.mu.Unlock()
	if key != head.Key && noChunks {
		return store.Entry{}, store.ErrUnavailable
	}
	if key == head.Key && stale != nil {
		return *stale, nil
	}
	return l.Store.Get(ctx, key)
}

func (l *link) Put(ctx context.Context, key string, data []byte, rev store.Rev, lease store.Lease) (store.Rev, error) {
	l.mu.Lock()
	lose := l.afterHead
	l.mu.Unlock()
	got, err := l.Store.Put(ctx, key, data, rev, lease)
	if key == head.Key && lose != nil {
		lose()
		return 0, store.ErrUnknown
	}
	return got, err
}

func (l *link) Watch(ctx context.Context, key string, rev store.Rev) (store.Entry, error) {
	entry, err := l.Store.Watch(ctx, key, rev)
	l.mu.Lock()
	silent := l.noWatches
	l.mu.Unlock()
	if silent {
		<-ctx.Done()
		return store.Entry{}, ctx.Err()
	}
	return entry, err
}

func (l *link) update(do func(l *link)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	do(l)
}

// start starts n daemons and their heartbeats.
func start(ctx context.Context, n int) *cluster {
	c := &cluster{daemons: map[string]*daemon{}}
	for i := range n {
		c.add(ctx, fmt.Sprint("d", i))
	}
	go func() {
		tick := time.NewTicker(heartbeatInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				c.gossip()
			case <-ctx.Done():
				return
			}
		}
	}()
	return c
}

// add starts a daemon, replacing one with the same name.
func (c *cluster) add(ctx context.Context, name string) *daemon {
	d := &daemon{view: c.store.Client(name)}
	d.link = &link{Store: d.view}
	ctx, cancel := context.WithCancel(ctx)
	d.stop = cancel
	d.Syncer = &Syncer{
		Self:        Member{Name: name, Peer: name},
		Seeds:       []string{"d0", "d1", "d2"},
		Store:       d.link,
		Seed:        1, // the jitter depends on the name too
		Fetch:       func(_ context.Context, peer string, q Query) (Answer, error) { return c.fetch(d, peer, q) },
		OnChange:    func(conf file.File) { c.withLock(func() { d.versions = append(d.versions, conf.Version) }) },
		OnLoadError: func(head.Head, error) { c.withLock(func() { d.loadErrors++ }) },
	}
	c.withLock(func() { c.daemons[name] = d })
	go func() { _ = d.Serve(ctx) }()
	return d
}

func (c *cluster) withLock(do func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	do()
}

func (c *cluster) fetch(from *daemon, peer string, q Query) (Answer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d, ok := c.daemons[peer]
	if !ok || d.isolated || from.isolated {
		return Answer{}, errUnreachable
	}
	a := d.Answer(q)
	if d.alterAnswer != nil {
		a = d.alterAnswer(a)
	}
	return a, nil
}

func (c *cluster) gossip() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var members []Member
	for _, d := range c.daemons {
		if !d.isolated {
			members = append(members, d.Self)
		}
	}
	for _, d := range c.daemons {
		if d.isolated || d.noHeartbeats {
			continue
		}
		d.Members(members)
		for _, other := range c.daemons {
			if v := other.Head().Version; !other.isolated && v > d.Head().Version {
				d.Newer(v, other.Self.Peer)
			}
		}
	}
}

func (c *cluster) set(fault keyval.Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.daemons {
		d.view.SetFault(fault)
	}
}

// versions returns the active version of each daemon, in no order.
func (c *cluster) versions() (list []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.daemons {
		list = append(list, d.Current().Version)
	}
	return list
}

// checkVersions returns an error unless each daemon runs the version and no daemon's version
// ever decreased.
func (c *cluster) checkVersions(version uint64) error {
	for _, v := range c.versions() {
		if v != version {
			return fmt.Errorf("active versions: %v, want %d", c.versions(), version)
		}
	}
	return c.checkRising()
}

func (c *cluster) checkRising() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, d := range c.daemons {
		if !slices.IsSorted(d.versions) || len(slices.Compact(slices.Clone(d.versions))) != len(d.versions) {
			return fmt.Errorf("%s: versions not strictly increasing: %v", name, d.versions)
		}
	}
	return nil
}

// text returns a configuration whose system has the name.
func text(t testing.TB, name string) []byte {
	t.Helper()
	data, err := devText()
	if err != nil {
		t.Fatal(err)
	}
	return bytes.Replace(data, []byte("name = dev\n"), []byte("name = "+name+"\n"), 1)
}

func request(t testing.TB, name string) apply.Request {
	return apply.Request{Name: "dev.ini", Text: text(t, name), Base: apply.Newest, By: "amina"}
}

// apply applies a text through a daemon, or directly to the store if through is empty.
func (c *cluster) apply(t testing.TB, name, through string) {
	t.Helper()
	var err error
	if through == "" {
		_, err = apply.Run(t.Context(), &c.store, request(t, name))
	} else {
		_, err = c.daemons[through].Apply(t.Context(), request(t, name))
	}
	if err != nil {
		t.Fatal(err)
	}
}

func sleep(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}
