// Package link is the RPC transport between daemons. It carries relayed calls
// with their streamed answers, membership packets, and the methods that other
// parts of a daemon register.
//
// Every daemon has one Link. It serves peers that authenticate with the shared
// key, and Peer returns the client for another daemon. Two daemons speak
// JSON-RPC over as few TCP connections as possible: each side sends requests
// over a connection that either opened. Connections are kept while in use.
//
// A connection can stop passing data without FIN or RST, for example when a
// middlebox dropped its state, and calls over it would hang. So a side that
// waits for data and receives none sends a ping, and tries another connection if
// it still receives nothing; that one replaces the first if it is answered before.
// At last a silent connection is closed, and the next call dials again. Idle connections carry
// no heartbeats: at the target fleet size these alone would exceed a daemon's
// budget for control traffic.
package link

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"
	"github.com/uber-go/tally/v4"

	"github.com/slaterock/slaterock/internal/peer/swim"
	"github.com/slaterock/slaterock/internal/prog/runner"
)

const (
	// DefaultWorkers is the limit of requests to Runner that a Link serves at a time.
	DefaultWorkers = 8192
	// DefaultIdleTimeout is how long an unused connection is kept.
	DefaultIdleTimeout = 5 * time.Minute

	handlerWorkers  = 256
	maxScanInterval = 500 * time.Millisecond
	dialTimeout     = 2 * time.Second
)

type (
	// Handler serves one method. Only the text of its error reaches the peer.
	Handler func(ctx context.Context, params json.RawMessage) (any, error)

	// Dialer opens a connection to a peer address.
	Dialer func(ctx context.Context, address string) (net.Conn, error)

	// Link is one daemon's endpoint of the connections to all others. Its
	// fields and handlers are set before Start or Serve. The zero value serves
	// no methods and dials TCP with an empty key.
	Link struct {
		Address     string            // own peer address, sent to peers
		Key         []byte            // shared by all daemons, never sent
		Runner      runner.Runner     // serves relayed calls
		OnPacket    func(swim.Packet) // must return at once
		Dial        Dialer
		Workers     int
		IdleTimeout time.Duration
		DialTimeout time.Duration // of the default Dial; any dial with its handshake ends after 2 s
		BackOff     time.Duration // maximum pause between dials
		PingAfter   time.Duration // without data on a connection with a request that waits; 1 s if 0
		Scope       tally.Scope
		// Take is called before the attachment of a request is read that is longer than 64 KiB, with its length, and Return
		// once the request has been served; nil for no bound. A request is rejected, before it runs, for which Take fails.
		Take   func(ctx context.Context, n int64) error
		Return func(n int64)
		// Proven is called with each accepted connection whose peer has proved that it has the key; nil for nothing.
		Proven func(net.Conn)

		handlers    map[string]Handler
		mu          sync.Mutex
		ctx         context.Context // ends all work; set by Start
		runnerPool  *ants.Pool      // requests to Runner, which may take long
		handlerPool *ants.Pool      // methods registered with Handle, so that calls can't starve them
		peers       map[string]*Peer
		sessions    map[*session]struct{}
		closed      bool
		lastScan    time.Time
		rejected    atomic.Int64
		wg          sync.WaitGroup
	}
)

// Handle registers a method under a name of the form area.verb.
func (l *Link) Handle(name string, h Handler) {
	if l.handlers == nil {
		l.handlers = map[string]Handler{}
	}
	l.handlers[name] = h
}

// Start makes the Link ready to reach peers until ctx ends. Serve calls it.
func (l *Link) Start(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "start link") }()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx != nil {
		return nil
	}
	l.setDefaults()
	l.runnerPool, err = ants.NewPool(l.Workers, ants.WithNonblocking(true))
	if err != nil {
		return err
	}
	l.handlerPool, err = ants.NewPool(handlerWorkers, ants.WithNonblocking(true))
	if err != nil {
		return err
	}
	l.ctx = ctx
	l.lastScan = time.Now()
	l.wg.Go(func() { l.monitor(ctx) })
	return nil
}

func (l *Link) setDefaults() {
	if l.Workers == 0 {
		l.Workers = DefaultWorkers
	}
	if l.IdleTimeout == 0 {
		l.IdleTimeout = DefaultIdleTimeout
	}
	if l.DialTimeout == 0 {
		l.DialTimeout = dialTimeout
	}
	if l.BackOff == 0 {
		l.BackOff = backOffMax
	}
	if l.PingAfter == 0 {
		l.PingAfter = defaultPingAfter
	}
	if l.Scope == nil {
		l.Scope = tally.NoopScope
	}
	if l.Dial == nil {
		d := &net.Dialer{Timeout: l.DialTimeout}
		l.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		}
	}
	if l.peers == nil {
		l.peers = map[string]*Peer{}
	}
	l.sessions = map[*session]struct{}{}
}

// Serve accepts connections until ctx ends or the listener fails, and closes
// the listener. When ctx ended, it returns nil after all work has ended.
func (l *Link) Serve(ctx context.Context, ln net.Listener) (err error) {
	defer func() { err = errors.Wrap(err, "serve link") }()
	if err = l.Start(ctx); err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	for {
		conn, err := ln.Accept()
		if ctx.Err() != nil {
			l.Wait()
			return nil
		}
		if err != nil {
			_ = ln.Close()
			return err
		}
		if l.spawn(func(context.Context) { l.accept(conn) }) != nil {
			_ = conn.Close()
		}
	}
}

// Wait blocks until ctx and all work that the Link started have ended.
func (l *Link) Wait() {
	l.wg.Wait()
}

// Rejected returns how many requests this daemon has rejected because it served too many.
func (l *Link) Rejected() int64 { return l.rejected.Load() }

// Peer returns the client for the daemon at a peer address. It dials on use.
func (l *Link) Peer(address string) *Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peers == nil {
		l.peers = map[string]*Peer{}
	}
	p := l.peers[address]
	if p == nil {
		p = &Peer{link: l, address: address}
		l.peers[address] = p
	}
	return p
}

// accept authenticates an incoming connection and serves it.
func (l *Link) accept(conn net.Conn) {
	s := &session{link: l, stream: newStream(conn)}
	address, err := s.stream.handshake(l.ctx, l.Key, l.Address, accepting)
	if err != nil {
		l.countHandshake(err)
		_ = conn.Close()
		return
	}
	if l.Proven != nil {
		l.Proven(conn)
	}
	s.peer = address
	if s.start(l.ctx) != nil {
		return
	}
	if address != "" {
		l.Peer(address).adopt(s)
	}
}

func (l *Link) countHandshake(err error) {
	if errors.Is(err, ErrWrongKey) {
		l.Scope.Counter("link_wrong_key").Inc(1)
		return
	}
	l.Scope.Counter("link_handshake_failed").Inc(1)
}

// monitor checks all sessions on one timer, since a timer for each would wake a
// daemon with hundreds of idle connections needlessly.
func (l *Link) monitor(ctx context.Context) {
	ticker := time.NewTicker(l.scanInterval())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.close()
			return
		case now := <-ticker.C:
			l.scan(now)
		}
	}
}

func (l *Link) scanInterval() time.Duration { return min(l.PingAfter/2, maxScanInterval) }

// close prevents new work, since nothing may start once Wait has returned.
// Sessions end by themselves with ctx.
func (l *Link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.runnerPool.Release()
	l.handlerPool.Release()
}

func (l *Link) scan(now time.Time) {
	// After a pause of this process nothing was received, but the connections
	// may be sound: data that came meanwhile is still to be read.
	paused := now.Sub(l.lastScan) > 2*maxScanInterval
	l.lastScan = now
	l.mu.Lock()
	all := make([]*session, 0, len(l.sessions))
	for s := range l.sessions {
		all = append(all, s)
	}
	l.mu.Unlock()
	for _, s := range all {
		if paused {
			s.stream.lastRead.Store(now.UnixNano())
		}
		s.check(now)
	}
}

func (l *Link) add(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sessions[s] = struct{}{}
}

func (l *Link) remove(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sessions, s)
}

// beginWork registers work that Wait waits for; endWork ends it. It fails before
// Start and after the Link has closed.
func (l *Link) beginWork() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx == nil {
		return errNotStarted
	}
	if l.closed {
		return ErrConnLost
	}
	l.wg.Add(1)
	return nil
}

func (l *Link) endWork() { l.wg.Done() }

// submit runs f on a pool; it fails if the pool is full.
func (l *Link) submit(pool *ants.Pool, f func()) error {
	if err := l.beginWork(); err != nil {
		return err
	}
	err := pool.Submit(func() {
		defer l.endWork()
		f()
	})
	if err != nil {
		l.endWork()
	}
	return err
}

// spawn runs f on its own goroutine; f must return when its ctx ends.
func (l *Link) spawn(f func(ctx context.Context)) error {
	if err := l.beginWork(); err != nil {
		return err
	}
	go func() {
		defer l.endWork()
		f(l.ctx)
	}()
	return nil
}
