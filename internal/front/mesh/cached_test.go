package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/front/cached"
)

// Guards against pairs that don't reach all fronts, or reach them again and again, with and
// without hubs.
func TestPairsReachAllOnce(t *testing.T) {
	for _, n := range []int{3, 24, 62} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(n, 1)
			sim.run(sim.now.Add(time.Second), nil)
			got := make([]map[cached.Pair]int, n)
			sim.pairs = func(to int, list []cached.Pair) {
				if got[to] == nil {
					got[to] = map[cached.Pair]int{}
				}
				for _, p := range list {
					got[to][p]++
				}
			}
			sim.news = func(i int) []cached.Pair { return []cached.Pair{cached.Pair(i + 1)} }
			sim.run(sim.now.Add(100*time.Millisecond), nil)
			sim.news = nil
			sim.run(sim.now.Add(time.Second), nil)
			known, repeated := 0, 0
			for i := range got {
				delete(got[i], cached.Pair(i+1))
				known += len(got[i])
				for _, times := range got[i] {
					repeated += times - 1
				}
			}
			t.Logf("%d of %d pairs known, %d repeated", known, n*(n-1), repeated)
			is.True(known > n*(n-1)/2) // reports, shares and digests are lost
			is.True(repeated <= known/20)
		})
	}
}

// Guards against pairs that lengthen messages without them, crowd out loads or exceed a datagram.
func TestPairsAreOptionalAndFew(t *testing.T) {
	is := is.New(t)
	var many []cached.Pair
	for i := range 10 * MaxCached {
		many = append(many, cached.Pair(i)<<40)
	}
	for _, msg := range []func([]cached.Pair) Message{
		func(p []cached.Pair) Message { return Report{State: State{Node: "a"}, Cached: p} },
		func(p []cached.Pair) Message { return Share{State: State{Node: "a"}, Cached: p} },
		func(p []cached.Pair) Message { return Digest{State: State{Node: "a"}, Cached: p} },
	} {
		without, err := Encode(msg(nil))
		is.NoErr(err)
		empty, err := Encode(msg([]cached.Pair{}))
		is.NoErr(err)
		is.Equal(without, empty)
		with, err := Encode(msg(many))
		is.NoErr(err)
		is.True(len(with)-len(without) <= 9*MaxCached+3)
		decoded, err := Decode(with)
		is.NoErr(err)
		is.Equal(CachedOf(decoded), many[:MaxCached]) // the newest, which are first
	}
}

// Guards against a hub that answers a front with its own pairs, with old ones, or with more than
// fit, and against pairs that several fronts report at the same time and that are sent for each.
func TestFeed(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	var f feed
	f.add(at, 1, []cached.Pair{11, 10}, true)
	f.add(at, 2, []cached.Pair{20, 11}, true)
	f.add(at, 3, []cached.Pair{30}, false) // of another hub
	is.Equal(f.since(at, 0, 1), []cached.Pair{30, 20})
	is.Equal(f.since(at, 0, 2), []cached.Pair{30, 11, 10})
	is.Equal(f.since(at, f.end, 2), nil)
	is.Equal(f.takePending(), []cached.Pair{20, 11, 10})
	is.Equal(f.takePending(), nil)
	f.add(at.Add(feedRepeat), 2, []cached.Pair{11}, true)
	is.Equal(f.takePending(), []cached.Pair{11})
	for i := range 3 * feedSize {
		f.add(at, 4, []cached.Pair{cached.Pair(1000 + i)}, true)
	}
	is.Equal(len(f.since(at, 0, 1)), MaxCached)
	is.Equal(len(f.takePending()), MaxCached)
	is.Equal(len(f.since(at, 0, 4)), 0)
}

// Guards against a front without callers that gets pairs it has no use for, and against one that
// knows none of them when its first caller comes.
func TestIdleFrontsGetPairsLater(t *testing.T) {
	is := is.New(t)
	m := Mesh{Self: Peer{Node: "hub"}}
	at := time.Unix(1000, 0)
	report := func(after time.Duration, node string, idle bool, pairs ...cached.Pair) []cached.Pair {
		at = at.Add(after)
		sends := m.Step(at, Received{Message: Report{State: State{Node: node, Sent: at.UnixNano()}, Idle: idle, Cached: pairs}})
		return CachedOf(sends[0].Message)
	}
	is.Equal(report(0, "a", true), nil)
	report(10*time.Millisecond, "b", false, 7)
	is.Equal(report(10*time.Millisecond, "a", true), nil)
	is.Equal(report(10*time.Millisecond, "a", false), []cached.Pair{7})
	is.Equal(report(10*time.Millisecond, "a", false), nil)
}

// Guards against pairs that a front which starts, or has callers again, gets after they have expired
// everywhere: it would keep them as if they had just been used.
func TestExpiredPairsAreNotSent(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	var f feed
	f.add(at, 1, []cached.Pair{10}, true)
	f.add(at.Add(cached.TTL), 1, []cached.Pair{11}, true)
	is.Equal(f.since(at.Add(cached.TTL), 0, 2), []cached.Pair{11, 10})
	is.Equal(f.since(at.Add(cached.TTL+time.Second), 0, 2), []cached.Pair{11})
}
