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

// inBubble hides from rapid that it runs in a test with a deadline of the real
// clock, which has no meaning here.
type inBubble struct{ *testing.T }

// Several operators apply at once, through daemons and straight to the store,
// while the store fails in every way it can and daemons are cut off and
// restarted. Whatever happens, no daemon goes back, and once all is well again
// every daemon runs the newest version, which is one that an operator applied.
func TestRandom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(inBubble{t}, func(r *rapid.T) {
			ctx, cancel := context.WithCancel(t.Context())
			play(ctx, t, r)
			cancel()
			synctest.Wait()
		})
	})
}

func play(ctx context.Context, t *testing.T, r *rapid.T) {
	f := start(ctx, 5)
	names := []string{"d0", "d1", "d2", "d3", "d4"}
	accepted := uint64(0)
	for i := range rapid.IntRange(5, 25).Draw(r, "steps") {
		name := rapid.SampledFrom(names).Draw(r, "daemon")
		d := f.daemons[name]
		switch rapid.IntRange(0, 6).Draw(r, "step") {
		case 0, 1:
			v := f.try(ctx, t, r, name, fmt.Sprint("n", i))
			accepted = max(accepted, v)
		case 2:
			d.view.SetFault(keyval.Fault(rapid.IntRange(int(keyval.None), int(keyval.Hang)).Draw(r, "fault")))
		case 3:
			n := rapid.IntRange(1, 6).Draw(r, "call")
			d.view.ScriptFaults(keyval.Any, map[int]keyval.Fault{n: keyval.LoseAck, n + 1: keyval.Unavailable, n + 3: keyval.LoseWrite})
		case 4:
			f.locked(func() { d.cut = !d.cut })
		case 5:
			d.stop()
			f.add(ctx, name)
		case 6:
			pass(time.Duration(rapid.IntRange(0, 40).Draw(r, "wait")) * time.Second)
		}
		if err := f.risen(); err != nil {
			r.Fatal(err)
		}
	}
	f.set(keyval.None)
	f.locked(func() {
		for _, d := range f.daemons {
			d.view.ScriptFaults(keyval.Any, nil)
			d.cut = false
		}
	})
	pass(maxRetry + 2*bound)
	newest := f.daemons["d0"].Current().Version
	if err := f.agree(newest); err != nil {
		r.Fatal(err)
	}
	if newest < accepted {
		r.Fatalf("version %d was accepted, %d is in force", accepted, newest)
	}
}

// try applies from the version that the operator sees at a daemon. It returns
// the version that he was told is accepted, 0 if he was told otherwise.
func (f *fleet) try(ctx context.Context, t *testing.T, r *rapid.T, through, name string) uint64 {
	patience, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	d := f.daemons[through]
	req := request(t, name)
	req.Base = d.Head().Version
	var out apply.Outcome
	var err error
	if rapid.Bool().Draw(r, "through a daemon") {
		out, err = d.Apply(patience, req)
	} else {
		out, err = apply.Run(patience, d.view, req)
	}
	if err != nil {
		return 0
	}
	return out.Head.Version
}

// Messages come in any order, late, twice, and from peers that tell of what
// they don't have. The version in force only rises, one call to the store and
// one load are under way at a time, and few peers are asked at once.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var w Watch
		now := epoch
		calls, loads, asks := 0, 0, map[string]int{}
		messages := []Message{Start{Self: Member{Name: "d3", Peer: "p3"}, Seeds: []string{"p0", "p1", "p2", "p3"}}}
		for range rapid.IntRange(10, 200).Draw(r, "steps") {
			m := messages[0]
			messages = messages[1:]
			before := w.Version()
			switch m := m.(type) {
			case StoreHead, StoreQuiet, StoreFailed:
				calls--
			case Loaded, LoadFailed:
				loads--
			case Answered:
				asks[m.Peer]--
			case AskFailed:
				asks[m.Peer]--
			}
			for _, e := range w.Step(now, m) {
				switch e := e.(type) {
				case Read, Wait:
					calls++
					messages = append(messages, rapid.SampledFrom([]Message{StoreFailed{}, StoreQuiet{}, StoreHead{}, anyHead(r)}).Draw(r, "store"))
				case Load:
					loads++
					messages = append(messages, rapid.SampledFrom([]Message{Loaded{e.Head}, LoadFailed{Head: e.Head}, LoadFailed{Head: e.Head, Unfit: true}}).Draw(r, "load"))
				case Ask:
					asks[e.Peer]++
					messages = append(messages, rapid.SampledFrom([]Message{AskFailed(e), Answered{e.Peer, anyHead(r).Head}}).Draw(r, "peer"))
				case Force:
					if e.Head.Version <= before || e.Head.Version != w.Version() {
						r.Fatalf("version %d was put in force after %d", e.Head.Version, before)
					}
				}
			}
			under := 0
			for _, n := range asks {
				under += n
			}
			if w.Version() < before || calls > 1 || loads > 1 || under > maxAsk || asks["p3"] > 0 {
				r.Fatalf("version %d after %d, %d calls, %d loads, asks %v", w.Version(), before, calls, loads, asks)
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
