package soak

import (
	"context"
	"time"

	"github.com/slaterock/slaterock/internal/fake/keyval"
	"github.com/slaterock/slaterock/internal/plat/store"
	"github.com/slaterock/slaterock/internal/shard/jrnl"
	"github.com/slaterock/slaterock/internal/shard/lease"
	"github.com/slaterock/slaterock/internal/shard/owner"
)

// crash stops the node, which loses its state, and restarts it after 1 to 10
// seconds.
func (n *node) crash() {
	n.sim.stats.Crashes++
	n.sim.tracef("%s crashes", n.name)
	n.instance++
	n.up, n.own, n.snap, n.ownKeyRevs = false, nil, nil, map[store.Rev]bool{}
	n.attempts, n.handedOver = map[string]bool{}, map[*owner.Owner]bool{}
	n.lease = lease.Lease{}
	n.sim.after(n.sim.randomDuration(time.Second, 10*time.Second), func() {
		n.up = true
		n.tick()
	})
}

// later runs do on the node after d, unless the node crashes before. A paused node
// runs it when it resumes.
func (n *node) later(d time.Duration, do func()) {
	instance := n.instance
	var try func()
	try = func() {
		switch {
		case n.instance != instance || !n.up:
		case n.sim.now.Before(n.pausedUntil):
			n.sim.after(n.pausedUntil.Sub(n.sim.now), try)
		default:
			do()
		}
	}
	n.sim.after(d, try)
}

func (n *node) tick() {
	n.later(tickInterval, n.tick)
	n.stepLease(lease.Tick{})
	if n.own == nil {
		n.takeOver()
		return
	}
	held := owner.Lease{Until: n.leaseUntil()}
	if !n.suspended && n.storeOutage() {
		held.OutageUntil = n.sim.now.Add(peerDelay)
	}
	n.step(held)
	n.step(owner.Tick{})
}

func (n *node) leaseUntil() time.Time {
	if n.suspended {
		return time.Time{}
	}
	return n.lease.Until()
}

// storeOutage reports what shards.Shards determines from heartbeats: whether no
// node has reached the store since this node's lease ended. A node knows the state
// of its peers with a delay of peerDelay. On a node that is isolated, or that
// resumed less than peerDelay ago, the result is false, because the node has no
// recent heartbeats.
func (n *node) storeOutage() bool {
	sim := n.sim
	if n.storeReachedAt.After(n.lease.Until()) || sim.now.Before(n.isolatedUntil) || sim.now.Before(n.pausedUntil.Add(peerDelay)) {
		return false
	}
	for _, m := range sim.nodes {
		if m != n && m.up && m.reachedAsSeenByPeers().After(n.lease.Until()) {
			return false
		}
	}
	return true
}

// reachedAsSeenByPeers returns when the node last reached the store, as known to
// its peers at present.
func (n *node) reachedAsSeenByPeers() time.Time {
	at := time.Time{}
	for _, t := range n.storeReachTimes {
		if n.sim.now.Sub(t) >= peerDelay {
			at = t
		}
	}
	return at
}

func (n *node) reachesStore() bool {
	return !n.sim.now.Before(n.storeCutUntil) && !n.sim.now.Before(n.sim.storeDownUntil)
}

// storeCall simulates a call to the store with delays and faults. done receives the
// error that the node sees: the call's own, ErrUnavailable if it was not executed,
// or ErrUnknown.
func (n *node) storeCall(do func() error, done func(err error)) {
	sim := n.sim
	sim.after(sim.randomDuration(1, 20*time.Millisecond), func() {
		switch {
		case !n.reachesStore() && sim.choose(2) == 0:
			n.later(sim.randomDuration(0, time.Second), func() { done(store.ErrUnavailable) })
			return
		case !n.reachesStore() || sim.fault(15):
			// The call may be executed after its sender has timed out.
			if sim.choose(2) == 0 {
				sim.after(sim.randomDuration(0, 20*time.Second), func() { _ = do() })
			}
			n.later(2*time.Second, func() { done(store.ErrUnknown) })
			return
		}
		err := do()
		sent := sim.now
		if sim.fault(30) {
			sim.stats.Lost++
			n.later(2*time.Second, func() { done(store.ErrUnknown) })
			return
		}
		n.later(sim.randomDuration(1, 20*time.Millisecond), func() {
			n.storeReachedAt = sent
			n.storeReachTimes = append(n.storeReachTimes, sent)
			done(err)
		})
	})
}

func (n *node) stepLease(m lease.Message) {
	for _, e := range n.lease.Step(n.sim.now, m) {
		switch e := e.(type) {
		case lease.Grant:
			var id store.Lease
			n.storeCall(func() (err error) {
				id, err = n.sim.st.Grant(context.Background(), e.TTL)
				return err
			}, func(err error) { n.stepLease(lease.Granted{ID: id, Err: err}) })
		case lease.Renew:
			n.storeCall(func() error { return n.sim.st.Renew(context.Background(), e.ID) },
				func(err error) { n.stepLease(lease.Renewed{Lapsed: err == store.ErrLeaseExpired, Err: err}) }) //nolint:errorlint // the fake returns the value unwrapped
		case lease.Acquired:
			if n.own != nil && n.suspended {
				n.reacquireKey(e.ID)
			}
		case lease.Lost:
			n.suspended = n.own != nil
		}
	}
}

// reacquireKey creates the shard's key again under a new lease, after the lease
// was lost, and lets the owner verify that it still owns the shard. If that fails,
// the node gives up ownership.
func (n *node) reacquireKey(id store.Lease) {
	instance, nodeInstance := n.own, n.instance // of the owner and of the node
	n.storeCall(func() (err error) {
		return n.putKey(nodeInstance, id, 0)
	}, func(err error) {
		switch {
		case n.own != instance:
		case err != nil:
			n.own = nil
		default:
			n.step(owner.Verify{})
		}
	})
}

// putKey writes the shard's key with the lease, if the key is at the revision. The
// write may take effect after the node's call has timed out.
func (n *node) putKey(instance int, id store.Lease, at store.Rev) error {
	rev, err := n.sim.st.Put(context.Background(), shardKey, []byte(n.name), at, id)
	if err == nil && n.instance == instance {
		n.keyRev = rev
		n.ownKeyRevs[rev] = true
	}
	return err
}

// takeOver tries, in one of three cases, to take the shard over: the node must have
// a lease and reach the store, and the key must be absent or have been written by
// this instance of the node.
func (n *node) takeOver() {
	sim := n.sim
	if n.lease.ID() == 0 || !n.reachesStore() || sim.choose(3) > 0 {
		return
	}
	ctx := context.Background()
	e, err := sim.st.Get(ctx, shardKey)
	if err == nil && !n.ownKeyRevs[e.Rev] || n.putKey(n.instance, n.lease.ID(), e.Rev) != nil {
		return // the key is another node's or an earlier instance's, or could not be written
	}
	v := sim.st.Client(n.name)
	if sim.fault(300) {
		v.ScriptFaults(keyval.Writes, map[int]keyval.Fault{1: keyval.LoseAck, 2: keyval.LoseWrite})
	}
	t, err := n.boot(v).Acquire(ctx)
	v.ScriptFaults(keyval.Writes, nil)
	if err != nil {
		sim.tracef("%s can't take over: %v", n.name, err)
		return
	}
	sim.stats.Takeovers++
	sim.tracef("%s takes over, epoch %d, entry %d", n.name, t.Epoch, t.Next)
	n.storeReachedAt = sim.now
	n.storeReachTimes = append(n.storeReachTimes, sim.now)
	n.suspended = false
	n.snap = t.Snap
	n.placing = map[string]bool{}
	n.own = &owner.Owner{Fold: t.Fold}
	n.dropUnreferencedTexts()
	if !sim.keyReleased {
		n.own.Hold = sim.now.Add(holdTime)
	}
	sim.keyReleased = false
	n.own.Writer = jrnl.Writer{Shard: 0, Epoch: t.Epoch, Owner: n.name, Next: t.Next, Rand: n.rand, Interval: 20 * time.Millisecond}
	n.step(owner.Configure{File: sim.cfg})
	n.step(owner.Lease{Until: n.leaseUntil()})
	n.step(owner.OffloadEnabled{On: sim.offloadEnabled()})
}

// releaseKey deletes the shard's key, so that the next owner need not wait for the
// lease to expire.
func (n *node) releaseKey() {
	keyRev := n.keyRev
	n.storeCall(func() error {
		err := n.sim.st.Delete(context.Background(), shardKey, keyRev)
		n.sim.keyReleased = n.sim.keyReleased || err == nil
		return err
	}, func(error) {})
}

func (n *node) rand() uint64 { return uint64(n.sim.choose(1<<30)) + 1 }

func (n *node) step(m owner.Message) {
	if n.own == nil {
		return
	}
	for _, e := range n.own.Step(n.sim.now, m) {
		n.handle(n.own, e)
	}
}

// deliver passes the message to own, if own is still the node's owner.
func (n *node) deliver(own *owner.Owner, m owner.Message) {
	if n.own == own {
		n.step(m)
	}
}
