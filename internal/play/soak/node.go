package soak

import (
	"context"
	"time"

	"github.com/slaterock/slaterock/internal/fake/keyval"
	"github.com/slaterock/slaterock/internal/plat/store"
	"github.com/slaterock/slaterock/internal/shard/chain"
	"github.com/slaterock/slaterock/internal/shard/lease"
	"github.com/slaterock/slaterock/internal/shard/owner"
)

func (n *node) crash() {
	n.w.stats.Crashes++
	n.w.tracef("%s crashes", n.name)
	n.instance++
	n.up, n.own, n.snap, n.ownKeyRevs = false, nil, nil, map[store.Rev]bool{}
	n.attempts, n.handedOver = map[string]bool{}, map[*owner.Owner]bool{}
	n.lease = lease.Lease{}
	n.w.after(n.w.randomDuration(time.Second, 10*time.Second), func() {
		n.up = true
		n.tick()
	})
}

// later runs do on the node, unless it crashes before; a paused node runs it
// when it wakes.
func (n *node) later(d time.Duration, do func()) {
	instance := n.instance
	var try func()
	try = func() {
		switch {
		case n.instance != instance || !n.up:
		case n.w.now.Before(n.pausedUntil):
			n.w.after(n.pausedUntil.Sub(n.w.now), try)
		default:
			do()
		}
	}
	n.w.after(d, try)
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
		held.OutageUntil = n.w.now.Add(peerDelay)
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

// outage is what shards.Shards works out from heartbeats: nobody has reached
// the store since this node's lease ended. News of others takes a second, and a node that
// has just woken has heard nobody lately.
func (n *node) storeOutage() bool {
	w := n.w
	if n.storeReachedAt.After(n.lease.Until()) || w.now.Before(n.isolatedUntil) || w.now.Before(n.pausedUntil.Add(peerDelay)) {
		return false
	}
	for _, m := range w.nodes {
		if m != n && m.up && m.reachedAsSeenByPeers().After(n.lease.Until()) {
			return false
		}
	}
	return true
}

// known is when the node last reached the store as others know it by now.
func (n *node) reachedAsSeenByPeers() time.Time {
	at := time.Time{}
	for _, t := range n.storeReachTimes {
		if n.w.now.Sub(t) >= peerDelay {
			at = t
		}
	}
	return at
}

func (n *node) reachesStore() bool {
	return !n.w.now.Before(n.storeCutUntil) && !n.w.now.Before(n.w.storeDownUntil)
}

// storeCall lets a call travel to the store and back. done gets what the node
// learns: the call's own error, or that it was not taken, or that nobody knows.
func (n *node) storeCall(do func() error, done func(err error)) {
	w := n.w
	w.after(w.randomDuration(1, 20*time.Millisecond), func() {
		switch {
		case !n.reachesStore() && w.choose(2) == 0:
			n.later(w.randomDuration(0, time.Second), func() { done(store.ErrUnavailable) })
			return
		case !n.reachesStore() || w.fault(15):
			// The call may get there after its sender has given up on it.
			if w.choose(2) == 0 {
				w.after(w.randomDuration(0, 20*time.Second), func() { _ = do() })
			}
			n.later(2*time.Second, func() { done(store.ErrUnknown) })
			return
		}
		err := do()
		sent := w.now
		if w.fault(30) {
			w.stats.Lost++
			n.later(2*time.Second, func() { done(store.ErrUnknown) })
			return
		}
		n.later(w.randomDuration(1, 20*time.Millisecond), func() {
			n.storeReachedAt = sent
			n.storeReachTimes = append(n.storeReachTimes, sent)
			done(err)
		})
	})
}

func (n *node) stepLease(m lease.Message) {
	for _, e := range n.lease.Step(n.w.now, m) {
		switch e := e.(type) {
		case lease.Grant:
			var id store.Lease
			n.storeCall(func() (err error) {
				id, err = n.w.st.Grant(context.Background(), e.TTL)
				return err
			}, func(err error) { n.stepLease(lease.Granted{ID: id, Err: err}) })
		case lease.Renew:
			n.storeCall(func() error { return n.w.st.Renew(context.Background(), e.ID) },
				func(err error) { n.stepLease(lease.Renewed{Lapsed: err == store.ErrLeaseExpired, Err: err}) }) //nolint:errorlint // the store's own value
		case lease.Acquired:
			if n.own != nil && n.suspended {
				n.reacquireKey(e.ID)
			}
		case lease.Lost:
			n.suspended = n.own != nil
		}
	}
}

func (n *node) reacquireKey(id store.Lease) {
	instance, started := n.own, n.instance
	n.storeCall(func() (err error) {
		return n.putKey(started, id, 0)
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

// putKey puts the shard's key under the lease, if it is at the revision. It may
// land after the node has given up on it.
func (n *node) putKey(instance int, id store.Lease, at store.Rev) error {
	rev, err := n.w.st.Put(context.Background(), shardKey, []byte(n.name), at, id)
	if err == nil && n.instance == instance {
		n.keyRev = rev
		n.ownKeyRevs[rev] = true
	}
	return err
}

// claim takes the shard over if nobody holds its key.
func (n *node) takeOver() {
	w := n.w
	if n.lease.ID() == 0 || !n.reachesStore() || w.choose(3) > 0 {
		return
	}
	ctx := context.Background()
	e, err := w.st.Get(ctx, shardKey)
	if err == nil && !n.ownKeyRevs[e.Rev] || n.putKey(n.instance, n.lease.ID(), e.Rev) != nil {
		return // another's, or this node's own of an earlier life
	}
	v := w.st.Client(n.name)
	if w.fault(300) {
		v.ScriptFaults(keyval.Writes, map[int]keyval.Fault{1: keyval.LoseAck, 2: keyval.LoseWrite})
	}
	t, err := n.boot(v).Take(ctx)
	v.ScriptFaults(keyval.Writes, nil)
	if err != nil {
		w.tracef("%s can't take over: %v", n.name, err)
		return
	}
	w.stats.Takeovers++
	w.tracef("%s takes over, epoch %d, entry %d", n.name, t.Epoch, t.Next)
	n.storeReachedAt = w.now
	n.storeReachTimes = append(n.storeReachTimes, w.now)
	n.suspended = false
	n.snap = t.Snap
	n.placing = map[string]bool{}
	n.own = &owner.Owner{Fold: t.Fold}
	n.dropUnreferencedTexts()
	if !w.keyReleased {
		n.own.Hold = w.now.Add(holdTime)
	}
	w.keyReleased = false
	n.own.Chain = chain.Chain{Shard: 0, Epoch: t.Epoch, Owner: n.name, Next: t.Next, Rand: n.rand, Interval: 20 * time.Millisecond}
	n.step(owner.Configure{File: w.cfg})
	n.step(owner.Lease{Until: n.leaseUntil()})
	n.step(owner.OffloadEnabled{On: w.offloadEnabled()})
}

// release gives the shard's key up, so that the next owner need not wait.
func (n *node) releaseKey() {
	keyRev := n.keyRev
	n.storeCall(func() error {
		err := n.w.st.Delete(context.Background(), shardKey, keyRev)
		n.w.keyReleased = n.w.keyReleased || err == nil
		return err
	}, func(error) {})
}

func (n *node) rand() uint64 { return uint64(n.w.choose(1<<30)) + 1 }

func (n *node) step(m owner.Message) {
	if n.own == nil {
		return
	}
	for _, e := range n.own.Step(n.w.now, m) {
		n.handle(n.own, e)
	}
}

// tell gives the owner a message, if it still is the owner that asked.
func (n *node) deliver(own *owner.Owner, m owner.Message) {
	if n.own == own {
		n.step(m)
	}
}
