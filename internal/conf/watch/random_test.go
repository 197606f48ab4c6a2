package watch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/slaterock/slaterock/internal/conf/apply"
	"github.com/slaterock/slaterock/internal/fake/keyval"
	"github.com/slaterock/slaterock/internal/plat/store"
)

// noDeadline wraps a T, because rapid uses the deadline of a plain *testing.T, which is in real
// time and meaningless with synctest's fake clock.
type noDeadline struct{ *testing.T }

// Several operators apply concurrently, through daemons and directly to the store, while the
// store fails in various ways and daemons are isolated and restarted. No daemon's version may
// ever decrease, and once all faults end every daemon must run the newest version, which is at
// least the newest reported as accepted.
func TestRandom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(r *rapid.T) {
			ctx, cancel := context.WithCancel(t.Context())
			runSteps(ctx, t, r)
			cancel()
			synctest.Wait()
		})
	})
}

func runSteps(ctx context.Context, t *testing.T, r *rapid.T) {
	c := start(ctx, 5)
	names := []string{"d0", "d1", "d2", "d3", "d4"}
	accepted := uint64(0)
	for i := range rapid.IntRange(5, 25).Draw(r, "steps") {
		name := rapid.SampledFrom(names).Draw(r, "daemon")
		d := c.daemons[name]
		switch rapid.IntRange(0, 6).Draw(r, "step") {
		case 0, 1:
			v := c.tryApply(ctx, t, r, name, fmt.Sprint("n", i))
			accepted = max(accepted, v)
		case 2:
			d.view.SetFault(keyval.Fault(rapid.IntRange(int(keyval.None), int(keyval.Hang)).Draw(r, "fault")))
		case 3:
			n := rapid.IntRange(1, 6).Draw(r, "call")
			d.view.ScriptFaults(keyval.Any, map[int]keyval.Fault{n: keyval.LoseAck, n + 1: keyval.Unavailable, n + 3: keyval.LoseWrite})
		case 4:
			c.withLock(func() { d.isolated = !d.isolated })
		case 5:
			d.stop()
			c.add(ctx, name)
		case 6:
			sleep(time.Duration(rapid.IntRange(0, 40).Draw(r, "wait")) * time.Second)
		}
		if err := c.checkRising(); err != nil {
			r.Fatal(err)
		}
	}
	c.set(keyval.None)
	c.withLock(func() {
		for _, d := range c.daemons {
			d.view.ScriptFaults(keyval.Any, nil)
			d.isolated = false
		}
	})
	sleep(maxRetry + 2*maxDelay)
	newest := c.daemons["d0"].Current().Version
	if err := c.checkVersions(newest); err != nil {
		r.Fatal(err)
	}
	if newest < accepted {
		r.Fatalf("version %d was accepted, but %d is active", accepted, newest)
	}
}

// tryApply applies a text from the version active at a daemon. It returns the version reported
// as accepted, 0 if there was an error.
func (c *cluster) tryApply(ctx context.Context, t *testing.T, r *rapid.T, through, name string) uint64 {
	applyCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	d := c.daemons[through]
	req := request(t, name)
	req.Base = d.Head().Version
	var out apply.Outcome
	var err error
	if rapid.Bool().Draw(r, "through a daemon") {
		out, err = d.Apply(applyCtx, req)
	} else {
		out, err = apply.Run(applyCtx, d.view, req)
	}
	if err != nil {
		return 0
	}
	return out.Head.Version
}

// Messages arrive in any order, late, duplicated, and from peers that announce versions they
// don't have. The active version must only increase, at most one store call and one load may be
// pending, and at most maxPeerQueries queries.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var w Watch
		now := epoch
		calls, loads, queries := 0, 0, map[string]int{}
		messages := []Message{Start{Self: Member{Name: "d3", Peer: "p3"}, Seeds: []string{"p0", "p1", "p2", "p3"}}}
		for range rapid.IntRange(10, 200).Draw(r, "steps") {
			m := messages[0]
			messages = messages[1:]
			before := w.Version()
			switch m := m.(type) {
			case StoreHead, NoChange, StoreFailed:
				calls--
			case Loaded, LoadFailed:
				loads--
			case PeerHead:
				queries[m.Peer]--
			case PeerFailed:
				queries[m.Peer]--
			}
			for _, e := range w.Step(now, m) {
				switch e := e.(type) {
				case ReadHead, AwaitHead:
					calls++
					messages = append(messages, rapid.SampledFrom([]Message{StoreFailed{}, NoChange{}, StoreHead{}, anyHead(r)}).Draw(r, "store"))
				case Load:
					loads++
					messages = append(messages, rapid.SampledFrom([]Message{Loaded{e.Head}, LoadFailed{Head: e.Head}, LoadFailed{Head: e.Head, Unreadable: true}}).Draw(r, "load"))
				case QueryPeer:
					queries[e.Peer]++
					messages = append(messages, rapid.SampledFrom([]Message{PeerFailed(e), PeerHead{e.Peer, anyHead(r).Head}}).Draw(r, "peer"))
				case Activate:
					if e.Head.Version <= before || e.Head.Version != w.Version() {
						r.Fatalf("version %d was activated after %d", e.Head.Version, before)
					}
				}
			}
			pending := 0
			for _, n := range queries {
				pending += n
			}
			if w.Version() < before || calls > 1 || loads > 1 || pending > maxPeerQueries || queries["p3"] > 0 {
				r.Fatalf("version %d after %d; pending: %d calls, %d loads, queries %v", w.Version(), before, calls, loads, queries)
			}
			messages = append(messages, rapid.SampledFrom([]Message{Tick{}, Tick{}, Members{members(6)}, Newer{uint64(rapid.IntRange(0, 9).Draw(r, "told")), "p1"}, Adopt{anyHead(r).Head}}).Draw(r, "other"))
			i := rapid.IntRange(0, len(messages)-1).Draw(r, "order")
			messages[0], messages[i] = messages[i], messages[0]
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(r, "later")) * time.Millisecond)
		}
	})
}

func anyHead(r *rapid.T) StoreHead {
	v := rapid.IntRange(1, 8).Draw(r, "version")
	return StoreHead{version(uint64(v)), store.Rev(10 * v)}
}
