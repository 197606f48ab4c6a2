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
	bound    = 4 * time.Second        // from acceptance to in force everywhere
	gossiped = 500 * time.Millisecond // between two heartbeats of a daemon
)

type (
	// fleet is a few daemons that reach each other and a store. Its gossip
	// stands for heartbeats: each daemon hears of every other's version.
	fleet struct {
		store keyval.Store

		mu      sync.Mutex
		daemons map[string]*daemon
	}

	// daemon is one of them. What its operating system would lose with it is
	// the Keeper.
	daemon struct {
		*Keeper
		view   *keyval.View
		link   *link
		stop   context.CancelFunc
		cut    bool // reaches no peer
		deaf   bool // hears no heartbeats
		forced []uint64
		faults int
		bend   func(a Answer) Answer // of what it answers to peers
	}

	// link is a daemon's way to the store, on which some calls go wrong.
	link struct {
		store.Store

		mu        sync.Mutex
		noChunks  bool         // chunks can't be read
		noWatches bool         // watches hear nothing
		stale     *store.Entry // every read of the head answers with it
		loseHead  func()       // happens after the head was written, unheard
	}
)

var (
	errCut  = errors.New("peer out of reach")
	devText = sync.OnceValues(func() ([]byte, error) { return os.ReadFile("../../../examples/dev.ini") })
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
	lose := l.loseHead
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

func (l *link) bend(do func(l *link)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	do(l)
}

// start starts n daemons and their heartbeats.
func start(ctx context.Context, n int) *fleet {
	f := &fleet{daemons: map[string]*daemon{}}
	for i := range n {
		f.add(ctx, fmt.Sprint("d", i))
	}
	go func() {
		tick := time.NewTicker(gossiped)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				f.gossip()
			case <-ctx.Done():
				return
			}
		}
	}()
	return f
}

// add starts a daemon, in the place of one with the same name.
func (f *fleet) add(ctx context.Context, name string) *daemon {
	d := &daemon{view: f.store.Client(name)}
	d.link = &link{Store: d.view}
	ctx, cancel := context.WithCancel(ctx)
	d.stop = cancel
	d.Keeper = &Keeper{
		Self:     Member{Name: name, Peer: name},
		Seeds:    []string{"d0", "d1", "d2"},
		Store:    d.link,
		Seed:     1, // the name goes into the jitter as well
		Fetch:    func(_ context.Context, peer string, q Question) (Answer, error) { return f.fetch(d, peer, q) },
		OnChange: func(c file.File) { f.locked(func() { d.forced = append(d.forced, c.Version) }) },
		OnFault:  func(head.Head, error) { f.locked(func() { d.faults++ }) },
	}
	f.locked(func() { f.daemons[name] = d })
	go func() { _ = d.Serve(ctx) }()
	return d
}

func (f *fleet) locked(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

func (f *fleet) fetch(from *daemon, peer string, q Question) (Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d, ok := f.daemons[peer]
	if !ok || d.cut || from.cut {
		return Answer{}, errCut
	}
	a := d.Answer(q)
	if d.bend != nil {
		a = d.bend(a)
	}
	return a, nil
}

func (f *fleet) gossip() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var members []Member
	for _, d := range f.daemons {
		if !d.cut {
			members = append(members, d.Self)
		}
	}
	for _, d := range f.daemons {
		if d.cut || d.deaf {
			continue
		}
		d.Members(members)
		for _, other := range f.daemons {
			if v := other.Head().Version; !other.cut && v > d.Head().Version {
				d.Newer(v, other.Self.Peer)
			}
		}
	}
}

func (f *fleet) set(fault keyval.Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.daemons {
		d.view.SetFault(fault)
	}
}

// versions returns the version in force at each daemon, in no order.
func (f *fleet) versions() (list []uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.daemons {
		list = append(list, d.Current().Version)
	}
	return list
}

// agree reports whether each daemon runs the version and none ever went back.
func (f *fleet) agree(version uint64) error {
	for _, v := range f.versions() {
		if v != version {
			return fmt.Errorf("in force: %v, want %d", f.versions(), version)
		}
	}
	return f.risen()
}

func (f *fleet) risen() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, d := range f.daemons {
		if !slices.IsSorted(d.forced) || len(slices.Compact(slices.Clone(d.forced))) != len(d.forced) {
			return fmt.Errorf("%s went back: %v", name, d.forced)
		}
	}
	return nil
}

// text is a configuration whose system has the name.
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

// apply applies through a daemon, or straight to the store.
func (f *fleet) apply(t testing.TB, name, through string) {
	t.Helper()
	var err error
	if through == "" {
		_, err = apply.Run(t.Context(), &f.store, request(t, name))
	} else {
		_, err = f.daemons[through].Apply(t.Context(), request(t, name))
	}
	if err != nil {
		t.Fatal(err)
	}
}

func pass(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}
