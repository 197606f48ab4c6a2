package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/slaterock/slaterock/internal/place/sched"
	"github.com/slaterock/slaterock/internal/plat/store"
	"github.com/slaterock/slaterock/internal/prog/record"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/shard/histio"
	"github.com/slaterock/slaterock/internal/shard/jrnl"
	"github.com/slaterock/slaterock/internal/shard/owner"
)

// handle executes an effect of the owner.
func (n *node) handle(own *owner.Owner, e owner.Effect) {
	sim := n.sim
	switch e := e.(type) {
	case owner.StoreRequest:
		n.writeJournal(own, e.Effect)
	case owner.Place:
		n.schedule(own, e.Message)
	case owner.Dispatch:
		n.dispatch(own, e)
	case owner.CancelAttempt:
		delete(n.attempts, e.Request+e.Upstream)
	case owner.Reply:
		sim.reply(e.Ticket, e.Request, e.Result)
	case owner.Offload:
		n.offload(own, e)
	case owner.ReleaseBlob:
		n.releaseText(own, e.Blob)
	case owner.ReplyFromJournal:
		c, ok, err := histio.Reader{Store: sim.st, Shard: 0, ReadText: sim.text}.Call(context.Background(), e.Program, e.Number, e.Entries)
		if err != nil {
			sim.reply(e.Ticket, "", result.Failed(result.CodeStoreDown, result.Unknown, "can't be read").WithRetryAfter(time.Second))
			return
		}
		sim.stats.Recalled++
		if !ok {
			sim.reply(e.Ticket, "", result.Refuse(result.CodeOrder, "gone"))
			return
		}
		sim.reply(e.Ticket, c.Request, c.Result)
	case owner.SnapshotAllowed:
		n.saveSnapshot()
	case owner.Drained:
		sim.stats.Handovers++
		sim.tracef("%s has handed over", n.name)
		n.handedOver[own], n.own = true, nil
		n.releaseKey()
	case owner.Verified:
		n.suspended = false
	case owner.Fenced:
		sim.stats.Fenced++
		sim.tracef("%s is fenced", n.name)
		n.own = nil
	}
}

// saveSnapshot saves a snapshot in one of 20 cases, if the store is reachable.
func (n *node) saveSnapshot() {
	sim := n.sim
	if sim.choose(20) > 0 || !n.reachesStore() {
		return
	}
	f := n.own.Snapshot()
	gone, err := n.snap.Save(context.Background(), f)
	if err == nil {
		sim.stats.Saves++
		n.later(sim.randomDuration(0, 100*time.Millisecond), func() { n.step(owner.SnapshotSaved{Upto: f.Upto, Gone: gone}) })
	}
}

func (n *node) writeJournal(own *owner.Owner, e jrnl.Effect) {
	ctx := context.Background()
	switch e := e.(type) {
	case jrnl.Create:
		n.storeCall(func() error {
			_, err := n.sim.st.Put(ctx, e.Key, e.Data, 0, 0)
			return err
		}, func(err error) {
			n.deliver(own, owner.StoreReply{Message: jrnl.CreateDone{Number: e.Number, Outcome: outcome(err)}})
		})
	case jrnl.Read:
		var v store.Entry
		n.storeCall(func() (err error) {
			v, err = n.sim.st.Get(ctx, e.Key)
			return err
		}, func(err error) { n.deliver(own, owner.StoreReply{Message: readResult(e.Number, v, err)}) })
	}
}

func outcome(err error) jrnl.Outcome {
	switch err.(type) { //nolint:errorlint // the fake does not wrap errors
	case nil:
		return jrnl.Created
	case *store.ConflictError:
		return jrnl.Exists
	}
	if err == store.ErrUnavailable { //nolint:errorlint // the fake returns the value unwrapped
		return jrnl.Unavailable
	}
	return jrnl.Unknown
}

func readResult(number uint64, v store.Entry, err error) jrnl.Message {
	switch {
	case err == store.ErrNotFound: //nolint:errorlint // the fake returns the value unwrapped
		return jrnl.Absent{Number: number}
	case err != nil:
		return jrnl.ReadFailed{Number: number}
	}
	e, err := record.Decode(v.Data)
	if err != nil {
		return jrnl.ReadFailed{Number: number}
	}
	return jrnl.Found{Entry: e}
}

// schedule simulates the scheduler: it assigns an upstream after a delay, or refuses
// the request.
func (n *node) schedule(own *owner.Owner, m sched.Message) {
	sim := n.sim
	switch m := m.(type) {
	case sched.Cancel:
		delete(n.placing, m.ID)
	case sched.Submit:
		n.placing[m.ID] = true
		n.later(sim.randomDuration(0, 300*time.Millisecond), func() {
			if !n.placing[m.ID] {
				return
			}
			delete(n.placing, m.ID)
			if sim.fault(50) {
				n.deliver(own, owner.Refused{Refuse: sched.Refuse{ID: m.ID, Code: result.CodeOverloaded}})
				return
			}
			up := fmt.Sprintf("u%d", len(m.Avoid))
			n.deliver(own, owner.Assigned{Assign: sched.Assign{ID: m.ID, Upstream: up}})
		})
	}
}

// dispatch sends an attempt. A sent attempt reaches the upstream even if the
// sender crashes.
func (n *node) dispatch(own *owner.Owner, d owner.Dispatch) {
	sim := n.sim
	key := d.Request + d.Upstream
	n.attempts[key] = true
	n.later(time.Second, func() { n.reportAlive(own, d.Request, key) })
	ended := owner.AttemptEnded{Request: d.Request, Upstream: d.Upstream, Status: 200, Reason: "broken"} // Reason is ignored on success
	done := func(t owner.AttemptEnded) {
		n.later(sim.randomDuration(1, 200*time.Millisecond), func() {
			if !n.attempts[key] && t.Outcome != sched.Succeeded {
				t.Outcome = sched.Cancelled
			}
			delete(n.attempts, key)
			if n.handedOver[own] {
				n.report(t.Request, &t)
				return
			}
			n.deliver(own, t)
		})
	}
	if sim.fault(60) {
		ended.Outcome = sched.Unsent
		done(ended)
		return
	}
	sim.after(sim.randomDuration(1, 30*time.Millisecond), func() {
		sim.execute(d, &ended)
		sim.after(sim.randomDuration(10*time.Millisecond, 3*time.Second), func() {
			if sim.fault(60) {
				ended = owner.AttemptEnded{Request: d.Request, Upstream: d.Upstream, Outcome: sched.Failed, Reason: "broken"}
			}
			done(ended)
		})
	})
}

// reportAlive runs every second while the attempt runs. Once this node has handed
// the shard over, it reports the attempt to the new owner; if that does not have
// the attempt, the attempt is cancelled.
func (n *node) reportAlive(own *owner.Owner, request, key string) {
	if !n.attempts[key] {
		return
	}
	if n.handedOver[own] && !n.report(request, nil) {
		delete(n.attempts, key)
		return
	}
	n.later(time.Second, func() { n.reportAlive(own, request, key) })
}

// report reports an attempt, and its end unless ended is nil, to the shard's
// present owner. If no owner is reachable, it retries the report of an end every
// second. It returns false if the owner does not have the attempt.
func (n *node) report(request string, ended *owner.AttemptEnded) bool {
	sim := n.sim
	for _, m := range sim.nodes {
		if m.own == nil || m.suspended || sim.now.Before(m.pausedUntil) || sim.now.Before(n.isolatedUntil) || sim.now.Before(m.isolatedUntil) {
			continue
		}
		if !m.own.HasAttempt(request) {
			return false
		}
		m.step(owner.AttemptAlive{Request: request})
		if ended != nil {
			m.step(*ended)
		}
		return true
	}
	if ended != nil {
		n.later(time.Second, func() { n.report(request, ended) })
	}
	return true
}
