// Package shards owns, at one daemon, the shards that fall to it: it keeps the
// daemon's lease, claims and takes over shards, drives their hosts, and hands
// them to other daemons.
//
// It is the daemon's local runner.Runner: a request goes to the host of its
// program's shard, or is refused as not owned here.
package shards

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/node/guard"
	"github.com/slaterock/slaterock/internal/node/host"
	"github.com/slaterock/slaterock/internal/obs/trace"
	"github.com/slaterock/slaterock/internal/peer/swim"
	"github.com/slaterock/slaterock/internal/place/sched"
	"github.com/slaterock/slaterock/internal/plat/store"
	"github.com/slaterock/slaterock/internal/shard/assign"
	"github.com/slaterock/slaterock/internal/shard/bulk"
	"github.com/slaterock/slaterock/internal/shard/lease"
	"github.com/slaterock/slaterock/internal/shard/owner"
)

const (
	mailbox   = 256
	tickEvery = 100 * time.Millisecond
	// graceTime is how long a taker waits before its first dispatch, so that a
	// former owner that can't reach the store hears that others can.
	graceTime = 3 * time.Second
	// newsTime is how long the news of an outage holds.
	newsTime = time.Second
)

type (
	// Shards is the set of shards owned here. Set the fields before Init.
	Shards struct {
		Name    string
		Store   store.Store
		Rand    func() uint64
		Go      func(f func())
		Log     zerolog.Logger
		Members func() []swim.Member
		// StoreAge is the time since any daemon is known to have reached the
		// store, negative for never; Alone tells that no peer was heard.
		StoreAge func() time.Duration
		Alone    func() bool
		Attempt  host.Attempt
		Trace    *trace.Trace
		// MaxPrograms bounds the open programs of the daemon, beside the
		// configuration's bound; zero is none.
		MaxPrograms int
		Place       func(h *host.Host, m sched.Message)
		Ended       func(l owner.Log)
		Owned       func(s []swim.Shard)
		// Peers reaches data folders; Domain is this daemon's failure domain.
		Peers  bulk.Peers
		Domain string
		Offer  func(ctx context.Context, to swim.Member, shard int) error
		Guard  *guard.Guard // nil: accounts have no limits
		// Tell reports an attempt to whoever owns its shard now.
		Tell func(ctx context.Context, r host.Report) (host.Receipt, error)

		mail    chan message
		lease   lease.Lease
		assign  assign.Assign
		session uint64    // tells this process's claims from those of an earlier one
		reached time.Time // when this daemon last reached the store

		tails atomic.Int64 // attempts that go on for later owners

		mu    sync.RWMutex
		cfg   file.File
		hosts map[int]*ward

		folders []swim.Member // with a data folder, as the hosts were told
	}

	// ward is one shard owned here.
	ward struct {
		*host.Host
		key       claimed
		since     time.Time
		open      []adopted // programs, until they are counted
		suspended bool      // its lease lapsed and ownership is not proved yet
		giving    bool
	}

	// message is what the loop reacts to.
	message interface{ message() }

	leaseMessage   struct{ m lease.Message }
	assignMessage  struct{ m assign.Message }
	reachedMessage struct{ at time.Time }
	tookMessage    struct {
		shard int
		w     *ward
	}
	endedMessage struct {
		shard int
		w     *ward
	}
	provedMessage struct{ h *host.Host }
	rekeyMessage  struct {
		w  *ward
		c  claimed
		ok bool
	}
	configMessage struct{ f file.File }
)

func (leaseMessage) message()   {}
func (assignMessage) message()  {}
func (reachedMessage) message() {}
func (tookMessage) message()    {}
func (endedMessage) message()   {}
func (provedMessage) message()  {}
func (rekeyMessage) message()   {}
func (configMessage) message()  {}

// Init makes the set ready to be told things.
func (s *Shards) Init() {
	s.mail = make(chan message, mailbox)
	s.hosts = map[int]*ward{}
	s.session = s.Rand()
	s.lease.Rand = s.Rand
	s.assign.Self, s.assign.Rand = s.Name, s.Rand
}

// Reached tells that a call to the store was answered that was sent at a time.
func (s *Shards) Reached(ctx context.Context, at time.Time) { s.post(ctx, reachedMessage{at}) }

// Configure puts a configuration in force.
func (s *Shards) Configure(ctx context.Context, f file.File) { s.post(ctx, configMessage{f}) }

// Offered tells that the former owner has given a shard to this daemon.
func (s *Shards) Offered(ctx context.Context, shard int) {
	s.post(ctx, assignMessage{assign.Offered{Shard: shard}})
}

// Drain hands all shards over and returns when none is left and no attempt is
// under way here.
func (s *Shards) Drain(ctx context.Context) error {
	s.post(ctx, assignMessage{assign.Drain{}})
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		if len(s.List()) == 0 && s.tails.Load() == 0 {
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

func (s *Shards) host(shard int) *ward {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.hosts[shard]
}

func (s *Shards) post(ctx context.Context, m message) {
	select {
	case s.mail <- m:
	case <-ctx.Done():
	}
}

// Serve runs until ctx ends and all hosts have ended.
func (s *Shards) Serve(ctx context.Context) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	defer s.stopAll()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.mail:
			s.handle(ctx, m)
		case <-t.C:
			s.tick(ctx)
		}
	}
}

func (s *Shards) stopAll() {
	s.mu.Lock()
	hosts := s.hosts
	s.hosts = map[int]*ward{}
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
		if m.at.After(s.reached) {
			s.reached = m.at
		}
	case tookMessage:
		s.took(ctx, m)
	case endedMessage:
		s.ended(ctx, m)
	case provedMessage:
		s.proved(m.h)
	case rekeyMessage:
		s.rekeyed(m)
	case configMessage:
		s.configure(m.f)
	}
}

func (s *Shards) configure(f file.File) {
	s.mu.Lock()
	s.cfg = f
	s.mu.Unlock()
	s.assign.Shards = f.System.Shards
	s.tellConfig()
}

// tellConfig tells all hosts the configuration. The bound on the daemon's open
// programs is shared out among them, as each counts only its own.
func (s *Shards) tellConfig() {
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

// pace spreads half of the store's writes evenly over the shards' journals.
func pace(f file.File) owner.Pace {
	const share = 0.5
	if f.System.StoreWrites <= 0 || f.System.Shards <= 0 {
		return owner.Pace{}
	}
	perShard := f.System.StoreWrites * share / float64(f.System.Shards)
	return owner.Pace{Interval: time.Duration(float64(time.Second) / perShard)}
}

func (s *Shards) tick(ctx context.Context) {
	members := s.Members()
	s.stepAssign(ctx, assign.View{Members: members})
	s.tellFolders(members)
	if s.lease.ID() != 0 || s.assign.Wants(time.Now()) {
		s.stepLease(ctx, lease.Tick{})
	}
	s.lapse(ctx)
	s.stepAssign(ctx, assign.Tick{})
	s.tellLease()
}

// lapse gives up a lease that nothing hangs on any more.
func (s *Shards) lapse(ctx context.Context) {
	id := s.lease.ID()
	if id == 0 || len(s.hosts) > 0 || s.assign.Wants(time.Now()) {
		return
	}
	s.stepLease(ctx, lease.Drop{})
	s.stepAssign(ctx, assign.Leased{})
	s.Go(func() {
		call, stop := context.WithTimeout(ctx, leaseTimeout)
		defer stop()
		if err := s.Store.Revoke(call, id); err != nil {
			s.Log.Debug().Err(err).Msg("lease not revoked; it lapses")
		}
	})
}

// tellLease tells all hosts until when they may dispatch.
func (s *Shards) tellLease() {
	now := time.Now()
	held := owner.Lease{Until: s.lease.Until()}
	if s.outage(now) {
		held.Outage = now.Add(newsTime)
	}
	for _, w := range s.hosts {
		if w.suspended {
			w.Tell(owner.Lease{})
			continue
		}
		w.Tell(held)
	}
}

// outage reports whether nobody is known to have reached the store since the
// lease ended, so that nobody can have taken a shard. This daemon counts too: if
// it reaches the store itself, its lease tells how things stand. A daemon that
// hears no peer must assume that the others reach the store.
func (s *Shards) outage(now time.Time) bool {
	until := s.lease.Until()
	if s.Alone() || s.reached.After(until) {
		return false
	}
	age := s.StoreAge()
	return age < 0 || age > now.Sub(until)
}
