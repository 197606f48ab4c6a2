package frontd

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/slaterock/slaterock/internal/conf/route"
	"github.com/slaterock/slaterock/internal/fake/memnet"
	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/mesh"
	"github.com/slaterock/slaterock/internal/node/discov"
	"github.com/slaterock/slaterock/internal/peer/link"
	"github.com/slaterock/slaterock/internal/peer/pause"
	"github.com/slaterock/slaterock/internal/plat/store"
)

const (
	storeLatency = 4 * time.Millisecond
	silentCall   = 1500 * time.Millisecond // after which a call without an answer is given up
)

// The ways in which the store treats a front.
const (
	storeAnswers = iota
	storeRefuses
	storeSilent
)

type (
	// cluster runs fronts in a synctest bubble, with datagrams, connections and a store in memory.
	cluster struct {
		ctx    context.Context //nolint:containedctx // ends with the test
		fronts []*clusterFront
		net    memnet.Net
		delay  time.Duration // of a datagram, beyond 1 ms, on the average

		mu       sync.Mutex
		rng      *rand.Rand
		revision uint64
		version  int64
		ackedAt  time.Time // of the version
		readAt   time.Time // begin of the last successful read by any front
		reads    int
		readsAll int // of them, of all keys

		readAllTime time.Duration // that reading all keys takes beyond one call
		hubs        []byte        // value of the key with the hubs; nil if there is none
		hubWrites   int           // how often it was written
		listReads   int           // of the list of fronts
		unlisted    time.Time     // until then the fronts' keys are not in the store
	}

	// clusterFront is one front with its network.
	clusterFront struct {
		*Daemon
		c     *cluster
		inbox chan []byte

		mu     sync.Mutex
		store  int  // how the store treats it
		cut    bool // no datagrams or connections to and from other fronts
		noLink bool // no new connections to other fronts
	}
)

// newCluster starts n fronts in four failure domains, a tenth of them with four times the cores.
// Datagrams take 1 ms, and longer by the given time on the average.
func newCluster(t *testing.T, n int, seed uint64, delay time.Duration) *cluster {
	t.Helper()
	c := &cluster{ctx: t.Context(), delay: delay, rng: rand.New(rand.NewPCG(seed, 0)), revision: 1, version: 1, ackedAt: time.Now()}
	for i := range n {
		f := &clusterFront{c: c, inbox: make(chan []byte, 4096)}
		cores := 0.2
		if i%10 == 0 {
			cores = 0.8
		}
		address := fmt.Sprintf("10.0.%d.%d:1", i/200, i%200)
		f.Daemon = &Daemon{
			Settings: Settings{Node: fmt.Sprintf("front-%03d", i), Domain: fmt.Sprint("domain-", i%4), Cores: cores, Peer: address, Callers: address + "0"},
			Source:   f, Store: clusterStore{c: c}, Log: zerolog.Nop(), Scope: tally.NoopScope,
		}
		c.fronts = append(c.fronts, f)
	}
	for _, f := range c.fronts {
		f.run(t)
	}
	return c
}

// run starts the front's exchange with others and its reads of the store.
func (f *clusterFront) run(t *testing.T) {
	t.Helper()
	d := f.Daemon
	d.proxy.Stop = f.c.ctx
	d.link.Address, d.link.Scope, d.link.DialTimeout, d.link.BackOff = d.Settings.Peer, d.Scope, dialTimeout, maxDialBackoff
	d.link.Dial = f.dial
	d.link.Handle(methodSnapshot, link.TypedHandler(d.serveSnapshot))
	d.meshio.Conn, d.meshio.Local, d.meshio.Peers = f, d.ownTick, d.peers
	d.meshio.Self = mesh.Peer{Node: d.Settings.Node, Address: d.Settings.Peer, Domain: d.Settings.Domain, Cores: d.Settings.Cores}
	d.meshio.Received = d.onPeerState
	d.connectParts()
	go func() { _ = d.link.Serve(f.c.ctx, f.c.net.Listen(d.Settings.Peer)) }()
	go func() {
		time.Sleep(f.c.jitter(300 * time.Millisecond))
		go func() { _ = d.meshio.Run(f.c.ctx) }()
		d.readLoop(f.c.ctx)
	}()
}

func (c *cluster) jitter(most time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.rng.Int64N(int64(most)))
}

// accept has the store accept a new version.
func (c *cluster) accept() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision++
	c.version++
	c.ackedAt = time.Now()
}

// lags returns for how long the fronts of the list lack the accepted version, at most, and by
// how much the time at which a front believes its state confirmed is later than any read.
func (c *cluster) lags(list []*clusterFront) (version, belief time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range list {
		v := f.fleet.View()
		belief = max(belief, v.Confirmed.Sub(c.readAt))
		if v.Table == nil || v.Table.Version < c.version {
			version = max(version, time.Since(c.ackedAt))
		}
	}
	return version, belief
}

// watch returns the longest lags of the fronts of the list during a time in which the store
// accepts a version every few seconds.
func (c *cluster) watch(list []*clusterFront, duration time.Duration) (version, belief time.Duration) {
	const step, between = 20 * time.Millisecond, 3700 * time.Millisecond
	for from := time.Now(); time.Since(from) < duration; time.Sleep(step) {
		v, b := c.lags(list)
		version, belief = max(version, v), max(belief, b)
		if time.Since(c.ackedAt) > between {
			c.accept()
		}
	}
	return version, belief
}

func (c *cluster) find(address string) *clusterFront {
	for _, f := range c.fronts {
		if f.Settings.Peer == address {
			return f
		}
	}
	return nil
}

// disturb sets how the store treats the front, and which of its paths to other fronts fail.
func (f *clusterFront) disturb(store int, cut, noLink bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.store, f.cut, f.noLink = store, cut, noLink
}

func (f *clusterFront) isCut() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut
}

func (f *clusterFront) dial(ctx context.Context, address string) (net.Conn, error) {
	o := f.c.find(address)
	f.mu.Lock()
	cut := f.cut || f.noLink
	f.mu.Unlock()
	if cut || o.isCut() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := f.c.net.Connect(ctx, address)
	return &cutConn{Conn: conn, ends: [2]*clusterFront{f, o}}, err
}

// cutConn loses what is written or read while one of its ends is cut off.
type cutConn struct {
	net.Conn
	ends [2]*clusterFront
}

func (c *cutConn) isCut() bool { return c.ends[0].isCut() || c.ends[1].isCut() }

func (c *cutConn) Write(data []byte) (int, error) {
	if c.isCut() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

func (c *cutConn) Read(buf []byte) (int, error) {
	for {
		n, err := c.Conn.Read(buf)
		if err != nil || !c.isCut() {
			return n, err
		}
	}
}

// clusterStore lists the fronts that are in the store.
type clusterStore struct {
	store.Shared

	c *cluster
}

func (s clusterStore) Scan(ctx context.Context, prefix string, _ bool) ([]store.Entry, store.Rev, error) {
	if !pause.For(ctx, storeLatency) {
		return nil, 0, ctx.Err()
	}
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	if prefix != discov.HubsKey {
		s.c.listReads++
		return s.c.listed(), 1, nil
	}
	if s.c.hubs == nil {
		return nil, 1, nil
	}
	return []store.Entry{{Key: discov.HubsKey, Data: s.c.hubs}}, 1, nil
}

func (s clusterStore) Set(ctx context.Context, key string, data []byte, _ store.Lease) (store.Rev, error) {
	if !pause.For(ctx, storeLatency) {
		return 0, ctx.Err()
	}
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	if key == discov.HubsKey {
		s.c.hubs = data
		s.c.hubWrites++
	}
	return 1, nil
}

// listed returns the keys of the fronts, none before they are written; c.mu is held.
func (c *cluster) listed() (list []store.Entry) {
	if time.Now().Before(c.unlisted) {
		return nil
	}
	for _, o := range c.fronts {
		list = append(list, store.Entry{Key: discov.FrontPrefix + o.Settings.Node, Data: discov.FrontValue(o.self())})
	}
	return list
}

// call waits for an answer of the store.
func (f *clusterFront) call(ctx context.Context) error {
	f.mu.Lock()
	mode := f.store
	f.mu.Unlock()
	asked := time.Now()
	wait := storeLatency
	if mode == storeSilent {
		wait = silentCall
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait):
	}
	if mode != storeAnswers {
		return errors.New("store away")
	}
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	f.c.reads++
	if asked.After(f.c.readAt) {
		f.c.readAt = asked
	}
	return nil
}

// Changes implements Source. Only versions change.
func (f *clusterFront) Changes(ctx context.Context, since uint64) (n fleet.Changes, others []store.Change, bad []error, err error) {
	if err = f.call(ctx); err != nil {
		return n, nil, nil, err
	}
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	n.Since, n.Revision = since, f.c.revision
	if n.Revision > since {
		n.Table = testTable(f.c.version)
	}
	return n, nil, nil, nil
}

// Unusable implements Source.
func (f *clusterFront) Unusable() int { return 0 }

// Read implements Source.
func (f *clusterFront) Read(ctx context.Context) (s fleet.Snapshot, others []store.Entry, bad []error, err error) {
	if err = f.call(ctx); err != nil {
		return s, nil, nil, err
	}
	f.c.mu.Lock()
	f.c.readsAll++
	wait := f.c.readAllTime
	f.c.mu.Unlock()
	if !pause.For(ctx, wait) {
		return s, nil, nil, ctx.Err()
	}
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	s.Revision = f.c.revision
	s.Table = testTable(f.c.version)
	return s, f.c.listed(), nil, nil
}

func testTable(version int64) *route.Table {
	t := route.New(version, nil, nil, route.Limits{})
	t.Text = fmt.Append(nil, version)
	return t
}

// Decode implements Source.
func (f *clusterFront) Decode(text []byte, _ uint64) (*route.Table, error) {
	var version int64
	_, err := fmt.Sscan(string(text), &version)
	return testTable(version), err
}

// WriteTo implements net.PacketConn.
func (f *clusterFront) WriteTo(data []byte, to net.Addr) (int, error) {
	o := f.c.find(to.String())
	if o == nil || f.isCut() || o.isCut() {
		return len(data), nil
	}
	f.c.mu.Lock()
	wait := time.Millisecond + time.Duration(f.c.rng.ExpFloat64()*float64(f.c.delay))
	f.c.mu.Unlock()
	time.AfterFunc(wait, func() {
		select {
		case o.inbox <- data:
		default: // full: lost
		}
	})
	return len(data), nil
}

// ReadFrom implements net.PacketConn.
func (f *clusterFront) ReadFrom(buf []byte) (int, net.Addr, error) {
	select {
	case data := <-f.inbox:
		return copy(buf, data), nil, nil
	case <-f.c.ctx.Done():
		return 0, nil, net.ErrClosed
	}
}

func (f *clusterFront) Close() error                     { return nil }
func (f *clusterFront) LocalAddr() net.Addr              { return nil }
func (f *clusterFront) SetDeadline(time.Time) error      { return nil }
func (f *clusterFront) SetReadDeadline(time.Time) error  { return nil }
func (f *clusterFront) SetWriteDeadline(time.Time) error { return nil }
