// Package shards manages the shards that one daemon owns: it keeps the daemon's lease, claims
// and takes over shards, runs a host for each, and hands shards over to other daemons.
//
// It is the daemon's local runner.Runner: it routes each request to the host of its program's
// shard, and refuses it if the shard is not owned here.
package shards

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/node/host"
	"github.com/slaterock/slaterock/internal/node/quotas"
	"github.com/slaterock/slaterock/internal/obs/trace"
	"github.com/slaterock/slaterock/internal/peer/swim"
	"github.com/slaterock/slaterock/internal/place/sched"
	"github.com/slaterock/slaterock/internal/plat/store"
	"github.com/slaterock/slaterock/internal/shard/assign"
	"github.com/slaterock/slaterock/internal/shard/blobio"
	"github.com/slaterock/slaterock/internal/shard/lease"
	"github.com/slaterock/slaterock/internal/shard/owner"
)

const (
	mailboxSize  = 256
	tickInterval = 100 * time.Millisecond
	// takeoverDelay is how long a host waits before its first dispatch if the former owner
	// has not released the shard. A former owner that can't reach the store continues to
	// dispatch until it learns by gossip that other daemons can.
	takeoverDelay = 3 * time.Second
	// outageValidity is how long an observed outage of the store counts without renewal.
	outageValidity = time.Second
)

type (
	// Shards is the set of shards owned here. Set the exported fields before Init.
	Shards struct {
		Name    string
		Store   store.Store
		Rand    func() uint64
		Go      func(f func())
		Log     zerolog.Logger
		Members func() []swim.Member
		// StoreAge is the time since any daemon is known to have reached the store,
		// negative for never. Alone reports whether no peer has been in contact lately.
		StoreAge func() time.Duration
		Alone    func() bool
		Attempt  host.Attempt
		Trace    *trace.Trace
		// MaxPrograms limits the open programs of the daemon, in addition to the
		// configuration's limit; zero is none.
		MaxPrograms int
		Place       func(h *host.Host, m sched.Message)
		// OnCallEnd is called when a call has ended, OnOwned when the owned shards have changed.
		OnCallEnd func(l owner.Log)
		OnOwned   func(s []swim.Shard)
		// Peers is the client of all data folders. Domain is this daemon's failure domain.
		Peers  blobio.Peers
		Domain string
		// Offer sends another daemon the request to take a shard that was released for it.
		Offer   func(ctx context.Context, to swim.Member, shard int) error
		Limiter *quotas.Limiter // nil: accounts have no limits
		// Tell sends a report of a continued attempt to the present owner of its shard.
		Tell func(ctx context.Context, r host.Report) (host.ReportReply, error)

		inbox        chan message
		lease        lease.Lease
		assign       assign.Assigner
		session      uint64    // distinguishes this process's claims from an earlier one's
		storeReached time.Time // send time of the latest store call that was answered

		continuing atomic.Int64 // attempts continued for later owners

		mu    sync.RWMutex
		cfg   file.File
		hosts map[int]*ownedShard

		folders []swim.Member // daemons with a data folder, as last sent to the hosts
	}

	// ownedShard is one shard owned here.
	ownedShard struct {
		*host.Host
		keyClaim     claimed
		since        time.Time
		openPrograms []openProgram // at the takeover, until registered
		suspended    bool          // its lease expired and ownership is not verified yet
		releasing    bool
	}

	// message is an input of the event loop.
	message interface{ message() }

	leaseMessage    struct{ m lease.Message }
	assignMessage   struct{ m assign.Message }
	reachedMessage  struct{ at time.Time }
	takeoverMessage struct {
		shard int
		w     *ownedShard
	}
	hostEndedMessage struct {
		shard int
		w     *ownedShard
	}
	verifiedMessage struct{ h *host.Host }
	reclaimMessage  struct {
		w  *ownedShard
		c  claimed
		ok bool
	}
	configMessage struct{ f file.File }
)

func (leaseMessage) message()     {}
func (assignMessage) message()    {}
func (reachedMessage) message()   {}
func (takeoverMessage) message()  {}
func (hostEndedMessage) message() {}
func (verifiedMessage) message()  {}
func (reclaimMessage) message()   {}
func (configMessage) message()    {}

// Init must be called before any other method.
func (s *Shards) Init() {
	s.inbox = make(chan message, mailboxSize)
	s.hosts = map[int]*ownedShard{}
	s.session = s.Rand()
	s.lease.Rand = s.Rand
	s.assign.Self, s.assign.Rand = s.Name, s.Rand
}

// Reached reports that the store has answered a call that was sent at time at.
func (s *Shards) Reached(ctx context.Context, at time.Time) { s.post(ctx, reachedMessage{at}) }

// Configure puts a configuration in force.
func (s *Shards) Configure(ctx context.Context, f file.File) { s.post(ctx, configMessage{f}) }

// Offered reports that the former owner has released a shard for this daemon to take.
func (s *Shards) Offered(ctx context.Context, shard int) {
	s.post(ctx, assignMessage{assign.Offered{Shard: shard}})
}

// Drain hands all shards over and returns when none is left and no attempt is in progress
// here.
func (s *Shards) Drain(ctx context.Context) error {
	s.post(ctx, assignMessage{assign.Drain{}})
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		if len(s.List()) == 0 && s.continuing.Load() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// List returns the shards owned here.
func (s *Shards) List() []swim.Shard {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]swim.Shard, 0, len(s.hosts))
	for n, w := range s.hosts {
		out = append(out, swim.Shard{Shard: n, Epoch: w.Epoch()})
	}
	slices.SortFunc(out, func(a, b swim.Shard) int { return a.Shard - b.Shard })
	return out
}

// Epoch returns the epoch in which a shard is owned here, and since when.
func (s *Shards) Epoch(shard int) (epoch uint64, since time.Time, ok bool) {
	w := s.host(shard)
	if w == nil {
		return 0, since, false
	}
	return w.Epoch(), w.since, true
}

func (s *Shards) host(shard int) *ownedShard {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.hosts[shard]
}

func (s *Shards) post(ctx context.Context, m message) {
	select {
	case s.inbox <- m:
	case <-ctx.Done():
	}
}

// Serve runs until ctx ends and all hosts have ended.
func (s *Shards) Serve(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	defer s.stopAll()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.inbox:
			s.handle(ctx, m)
		case <-t.C:
			s.tick(ctx)
		}
	}
}

func (s *Shards) stopAll() {
	s.mu.Lock()
	hosts := s.hosts
	s.hosts = map[int]*ownedShard{}
	s.mu.Unlock()
	for _, w := range hosts {
		w.Stop()
	}
}

func (s *Shards) handle(ctx context.Context, m message) {
	switch m := m.(type) {
	case leaseMessage:
		s.stepLease(ctx, m.m)
	case assignMessage:
		s.stepAssign(ctx, m.m)
	case reachedMessage:
		if m.at.After(s.storeReached) {
			s.storeReached = m.at
		}
	case takeoverMessage:
		s.handleTakeover(ctx, m)
	case hostEndedMessage:
		s.handleHostEnd(ctx, m)
	case verifiedMessage:
		s.handleVerified(m.h)
	case reclaimMessage:
		s.handleReclaim(m)
	case configMessage:
		s.configure(m.f)
	}
}

func (s *Shards) configure(f file.File) {
	s.mu.Lock()
	s.cfg = f
	s.mu.Unlock()
	s.assign.Shards = f.System.Shards
	s.sendConfig()
}

// sendConfig sends the configuration to all hosts. The limit on the daemon's open programs is
// divided among them, because each host counts only its own.
func (s *Shards) sendConfig() {
	f := s.cfg
	if s.MaxPrograms > 0 && (f.Limits.MaxPrograms == 0 || s.MaxPrograms < f.Limits.MaxPrograms) {
		f.Limits.MaxPrograms = s.MaxPrograms
	}
	if n := len(s.hosts); n > 0 && f.Limits.MaxPrograms > 0 {
		f.Limits.MaxPrograms = max(1, f.Limits.MaxPrograms/n)
	}
	for _, w := range s.hosts {
		w.Tell(owner.Configure{File: f})
		w.Tell(pace(f))
	}
}

// pace divides half of the store's write capacity evenly among the shards' journals.
func pace(f file.File) owner.WriteInterval {
	const share = 0.5
	if f.System.StoreWrites <= 0 || f.System.Shards <= 0 {
		return owner.WriteInterval{}
	}
	perShard := f.System.StoreWrites * share / float64(f.System.Shards)
	return owner.WriteInterval{Interval: time.Duration(float64(time.Second) / perShard)}
}

func (s *Shards) tick(ctx context.Context) {
	members := s.Members()
	s.stepAssign(ctx, assign.View{Members: members})
	s.sendFolders(members)
	if s.lease.ID() != 0 || s.assign.NeedsLease(time.Now()) {
		s.stepLease(ctx, lease.Tick{})
	}
	s.revokeIdleLease(ctx)
	s.stepAssign(ctx, assign.Tick{})
	s.sendLease()
}

// revokeIdleLease drops and revokes the lease when no shard is owned or wanted.
func (s *Shards) revokeIdleLease(ctx context.Context) {
	id := s.lease.ID()
	if id == 0 || len(s.hosts) > 0 || s.assign.NeedsLease(time.Now()) {
		return
	}
	s.stepLease(ctx, lease.Forget{})
	s.stepAssign(ctx, assign.Leased{})
	s.Go(func() {
		callCtx, stop := context.WithTimeout(ctx, leaseTimeout)
		defer stop()
		if err := s.Store.Revoke(callCtx, id); err != nil {
			s.Log.Debug().Err(err).Msg("lease not revoked; it will expire")
		}
	})
}

// sendLease sends all hosts the time until which they may dispatch.
func (s *Shards) sendLease() {
	now := time.Now()
	held := owner.Lease{Until: s.lease.Until()}
	if s.outage(now) {
		held.OutageUntil = now.Add(outageValidity)
	}
	for _, w := range s.hosts {
		if w.suspended {
			w.Tell(owner.Lease{})
			continue
		}
		w.Tell(held)
	}
}

// outage reports whether no daemon is known to have reached the store since the lease ended,
// so that none can have taken a shard. This daemon counts too: if it reaches the store, its
// lease alone decides. A daemon without contact to any peer must assume that the others reach
// the store.
func (s *Shards) outage(now time.Time) bool {
	until := s.lease.Until()
	if s.Alone() || s.storeReached.After(until) {
		return false
	}
	age := s.StoreAge()
	return age < 0 || age > now.Sub(until)
}
