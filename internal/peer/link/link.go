// Package link carries what daemons tell each other: relayed calls with their
// streamed answers, packets of the membership and any further method that a
// part of the daemon offers.
//
// Every daemon has one Link. It serves what its fields offer to whoever proves
// the shared key, and Peer returns the way to another daemon. Between two
// daemons there is JSON-RPC over as few TCP connections as can be: one that
// either side opened serves both. Connections are kept while they are used.
//
// A connection can go silent for good, without an end and without a reset,
// because something between the two ends has lost track of it. Calls over it
// would hang. So a side that waits for something and hears nothing asks for a
// sign of life, and gives the connection up when none comes; the next call
// dials anew. Idle connections carry no heartbeats, as at the target size they
// alone would exceed a daemon's bytes for control.
package link

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"
	"github.com/uber-go/tally/v4"

	"github.com/slaterock/slaterock/internal/peer/swim"
	"github.com/slaterock/slaterock/internal/prog/runner"
)

const (
	// DefaultWorkers bounds the relayed calls that a Link serves at a time.
	DefaultWorkers = 8192
	// DefaultIdle is how long an unused connection is kept.
	DefaultIdleTimeout = 5 * time.Minute

	otherWorkers = 256
	scanInterval = 500 * time.Millisecond
	dialTimeout  = 2 * time.Second
)

type (
	// Handler serves one method. Its error reaches the peer as text only.
	Handler func(ctx context.Context, params json.RawMessage) (any, error)

	// Dialer opens a connection to a peer address.
	Dialer func(ctx context.Context, address string) (net.Conn, error)

	// Link is one daemon's end of the connections to all others. Its fields
	// and handlers are set before Start or Serve. The zero value offers
	// nothing and dials TCP with an empty key.
	Link struct {
		Address     string            // own peer address, told to the others
		Key         []byte            // shared by all daemons, never sent
		Runner      runner.Runner     // serves relayed calls
		OnPacket    func(swim.Packet) // must return at once
		Dial        Dialer
		Workers     int
		IdleTimeout time.Duration
		DialTimeout time.Duration // until a connection must be open
		BackOff     time.Duration // longest pause between dials
		Scope       tally.Scope

		handlers  map[string]Handler
		mu        sync.Mutex
		ctx       context.Context // ends all work; set by Start
		callPool  *ants.Pool      // relayed calls, which may take long
		otherPool *ants.Pool      // all else, so that calls can't starve it
		peers     map[string]*Peer
		sessions  map[*session]struct{}
		closed    bool
		lastScan  time.Time
		wg        sync.WaitGroup
	}
)

// Handle offers a method under a name of the form area.verb.
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
	l.callPool, err = ants.NewPool(l.Workers, ants.WithNonblocking(true))
	if err != nil {
		return err
	}
	l.otherPool, err = ants.NewPool(otherWorkers, ants.WithNonblocking(true))
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
// the listener. It returns nil when ctx ended, after all work has.
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

// Wait returns when ctx has ended and all that the Link started has ended.
func (l *Link) Wait() {
	l.wg.Wait()
}

// Peer returns the way to the daemon at a peer address. It dials when used.
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
	s.peer = address
	if s.run(l.ctx) != nil {
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

// watch looks after all sessions with one timer, since a timer for each would
// wake a daemon with hundreds of idle connections for nothing.
func (l *Link) monitor(ctx context.Context) {
	ticker := time.NewTicker(scanInterval)
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

// close makes sure that nothing starts after Wait may have returned.
func (l *Link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.callPool.Release()
	l.otherPool.Release()
}

func (l *Link) scan(now time.Time) {
	// After a pause of this process nothing was heard, but the connections
	// are not to blame: what came meanwhile waits to be read.
	paused := now.Sub(l.lastScan) > 2*scanInterval
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

// enter counts a piece of work that Wait waits for; leave ends it.
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

// submit runs f on a pool, if there is room.
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

// spawn runs f on a goroutine of its own; f ends with ctx.
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
