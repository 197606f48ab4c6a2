package shards

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/node/host"
	"github.com/slaterock/slaterock/internal/plat/store"
	"github.com/slaterock/slaterock/internal/shard/assign"
	"github.com/slaterock/slaterock/internal/shard/boot"
	"github.com/slaterock/slaterock/internal/shard/lease"
	"github.com/slaterock/slaterock/internal/shard/owner"
)

const (
	claimTimeout   = 10 * time.Second
	leaseTimeout   = 2 * time.Second
	releaseTimeout = 5 * time.Second
)

type (
	// claim is the value of a shard's key in the store. The key is bound to the owner's
	// lease and disappears when that expires. Released means that the owner has
	// released the shard; the key is then bound to no lease.
	claim struct {
		Owner    string `json:"owner"`
		Session  uint64 `json:"session"` // identifies the owner's process
		Nonce    uint64 `json:"nonce"`
		Released bool   `json:"released,omitempty"`
	}

	// claimed is a claim that succeeded, with the key's revision. Released is true if the
	// former owner has released the shard and so no longer dispatches for it.
	claimed struct {
		rev      store.Rev
		released bool
	}
)

var errHeld = errors.New("shards: another process holds the shard")

func key(shard int) string { return fmt.Sprintf("shard/%04d", shard) }

func (s *Shards) stepLease(ctx context.Context, m lease.Message) {
	for _, e := range s.lease.Step(time.Now(), m) {
		switch e := e.(type) {
		case lease.Grant:
			s.Go(func() { s.grant(ctx, e) })
		case lease.Renew:
			s.Go(func() { s.renew(ctx, e) })
		case lease.Acquired:
			s.Log.Info().Uint64("lease", uint64(e.ID)).Msg("lease granted")
			s.stepAssign(ctx, assign.Leased{OK: true})
			for shard, w := range s.hosts {
				s.reclaim(ctx, shard, w, e.ID)
			}
		case lease.Lost:
			s.Log.Warn().Uint64("lease", uint64(e.ID)).Msg("lease expired; dispatch is suspended until ownership is verified")
			s.stepAssign(ctx, assign.Leased{})
			for _, w := range s.hosts {
				w.suspended = true
			}
			s.sendLease()
		}
	}
}

func (s *Shards) grant(ctx context.Context, g lease.Grant) {
	callCtx, stop := context.WithTimeout(ctx, leaseTimeout)
	defer stop()
	id, err := s.Store.Grant(callCtx, g.TTL)
	s.post(ctx, leaseMessage{lease.Granted{ID: id, Err: err}})
}

func (s *Shards) renew(ctx context.Context, r lease.Renew) {
	callCtx, stop := context.WithTimeout(ctx, leaseTimeout)
	defer stop()
	err := s.Store.Renew(callCtx, r.ID)
	s.post(ctx, leaseMessage{lease.Renewed{Lapsed: errors.Is(err, store.ErrLeaseExpired), Err: err}})
}

func (s *Shards) stepAssign(ctx context.Context, m assign.Message) {
	for _, e := range s.assign.Step(time.Now(), m) {
		switch e := e.(type) {
		case assign.Claim:
			id := s.lease.ID()
			s.Go(func() { s.takeOver(ctx, e.Shard, id) })
		case assign.HandOver:
			s.handOver(ctx, e)
		}
	}
}

// takeOver claims a shard and takes over its journal.
func (s *Shards) takeOver(ctx context.Context, shard int, id store.Lease) {
	callCtx, stop := context.WithTimeout(ctx, claimTimeout)
	defer stop()
	w, err := s.startHost(callCtx, ctx, shard, id)
	if err != nil {
		if !errors.Is(err, errHeld) {
			s.Log.Warn().Err(err).Int("shard", shard).Msg("shard not taken over")
		}
		s.post(ctx, assignMessage{assign.Claimed{Shard: shard}})
		return
	}
	s.post(ctx, takeoverMessage{shard: shard, w: w})
}

func (s *Shards) startHost(ctx, hostCtx context.Context, shard int, id store.Lease) (*ownedShard, error) {
	c, err := s.claim(ctx, shard, id)
	if err != nil {
		return nil, err
	}
	b := boot.Takeover{Store: s.Store, Shard: shard, Owner: s.Name, Rand: s.Rand, Now: time.Now}
	taken, err := b.Acquire(ctx)
	if err != nil {
		return nil, err
	}
	h := &host.Host{
		Taken:      taken,
		Shard:      shard,
		Name:       s.Name,
		Store:      s.Store,
		Attempt:    s.Attempt,
		Trace:      s.Trace,
		Place:      s.Place,
		Log:        s.OnCallEnd,
		Go:         s.Go,
		Rand:       s.Rand,
		Peers:      s.Peers,
		Domain:     s.Domain,
		OnVerified: func(h *host.Host) { s.Go(func() { s.post(hostCtx, verifiedMessage{h}) }) },
	}
	if !c.released && taken.Epoch > 1 {
		h.Hold = time.Now().Add(takeoverDelay)
	}
	w := &ownedShard{Host: h, keyClaim: c, since: time.Now(), openPrograms: openPrograms(taken.Fold)}
	h.Start(hostCtx)
	return w, nil
}

// claim writes the shard's key under the lease. It returns errHeld if another process holds
// the key.
func (s *Shards) claim(ctx context.Context, shard int, id store.Lease) (claimed, error) {
	mine := claim{Owner: s.Name, Session: s.session, Nonce: s.Rand()}
	rev, err := s.Store.Put(ctx, key(shard), encode(mine), 0, id)
	if err == nil {
		return claimed{rev: rev}, nil
	}
	var c *store.ConflictError
	if !errors.As(err, &c) && !errors.Is(err, store.ErrUnknown) {
		return claimed{}, err
	}
	e, rerr := s.Store.Get(ctx, key(shard))
	if rerr != nil {
		return claimed{}, errors.CombineErrors(err, rerr)
	}
	var held claim
	if err := json.Unmarshal(e.Data, &held); err != nil {
		return claimed{}, errors.Wrap(err, "shards: decode claim")
	}
	switch {
	case held == mine:
		return claimed{rev: e.Rev}, nil
	case !held.Released && held.Session != s.session:
		return claimed{}, errHeld
	}
	// The shard was released, or the key is this process's own: from a claim that was written
	// after its call had timed out, from a release that was lost, or from before a reclaim. An
	// own key may be bound to a lease that this process keeps renewing, so no daemon could
	// take the shard if the key were not overwritten.
	rev, err = s.Store.Put(ctx, key(shard), encode(mine), e.Rev, id)
	return claimed{rev: rev, released: held.Released}, err
}

func encode(c claim) []byte {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err) // can't fail: claim has only plain fields
	}
	return b
}

func (s *Shards) handleTakeover(ctx context.Context, m takeoverMessage) {
	s.mu.Lock()
	s.hosts[m.shard] = m.w
	s.mu.Unlock()
	s.Log.Info().Int("shard", m.shard).Uint64("epoch", m.w.Epoch()).Int("entries_read", m.w.Taken.EntriesRead).Bool("clean", m.w.keyClaim.released).Msg("shard taken over")
	s.sendConfig()
	m.w.UpdateFolders(s.folders)
	s.registerPrograms(m.w.openPrograms)
	m.w.openPrograms = nil
	s.stepAssign(ctx, assign.Claimed{Shard: m.shard, OK: true})
	s.sendLease()
	s.OnOwned(s.List())
	go func() {
		<-m.w.Done()
		s.post(ctx, hostEndedMessage(m))
	}()
}

func (s *Shards) handleHostEnd(ctx context.Context, m hostEndedMessage) {
	if s.hosts[m.shard] != m.w {
		return
	}
	s.mu.Lock()
	delete(s.hosts, m.shard)
	s.mu.Unlock()
	s.Log.Info().Int("shard", m.shard).Bool("fenced", m.w.Fenced()).Msg("shard no longer owned")
	s.stepAssign(ctx, assign.Released{Shard: m.shard})
	s.OnOwned(s.List())
}

// reclaim claims a shard again under a new lease after the old one expired. Another daemon may
// have owned the shard in between even if the key is free now, so the host stays suspended until
// a write to the journal proves that none has.
func (s *Shards) reclaim(ctx context.Context, shard int, w *ownedShard, id store.Lease) {
	if !w.suspended {
		return
	}
	s.Go(func() {
		callCtx, stop := context.WithTimeout(ctx, claimTimeout)
		defer stop()
		c, err := s.claim(callCtx, shard, id)
		s.post(ctx, reclaimMessage{w: w, c: c, ok: err == nil})
	})
}

func (s *Shards) handleReclaim(m reclaimMessage) {
	if !m.ok {
		m.w.Cancel()
		return
	}
	m.w.keyClaim = m.c
	m.w.Tell(owner.Verify{})
}

func (s *Shards) handleVerified(h *host.Host) {
	for _, w := range s.hosts {
		if w.Host == h {
			w.suspended = false
		}
	}
	s.sendLease()
}

// handOver drains the shard's host, releases the shard, offers it to the chosen daemon, and
// continues the attempts in progress for the next owner.
func (s *Shards) handOver(ctx context.Context, g assign.HandOver) {
	w := s.hosts[g.Shard]
	if w == nil || w.releasing {
		return
	}
	w.releasing = true
	w.Tell(owner.Drain{})
	s.Go(func() {
		select {
		case <-w.Drained():
		case <-w.Done():
			return
		}
		w.Stop()
		continuing := w.RunningAttempts()
		s.continuing.Add(int64(len(continuing)))
		s.release(ctx, g, w.keyClaim)
		for _, t := range continuing {
			s.Go(func() { s.reportAttempt(ctx, g.Shard, t) })
		}
	})
}

// release marks the shard's key as released, so that the next owner need not wait until the
// lease expires, and offers the shard to g.To.
func (s *Shards) release(ctx context.Context, g assign.HandOver, c claimed) {
	callCtx, stop := context.WithTimeout(ctx, releaseTimeout)
	defer stop()
	_, err := s.Store.Put(callCtx, key(g.Shard), encode(claim{Owner: s.Name, Released: true}), c.rev, 0)
	if err != nil {
		s.Log.Warn().Err(err).Int("shard", g.Shard).Msg("shard release not stored; the next owner must wait until the lease expires")
		return
	}
	if g.To.Name == "" {
		return
	}
	if err := s.Offer(callCtx, g.To, g.Shard); err != nil {
		s.Log.Debug().Err(err).Int("shard", g.Shard).Msg("shard offer failed")
	}
}
