package watch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/conf/head"
	"github.com/slaterock/slaterock/internal/plat/store"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func version(v uint64) head.Head {
	return head.Head{Version: v, Digest: fmt.Sprint("digest", v), Source: "source:1"}
}

func members(n int) (list []Member) {
	for i := range n {
		list = append(list, Member{Name: fmt.Sprint("d", i), Peer: fmt.Sprint("p", i)})
	}
	return list
}

// steps sends messages one second apart and returns the effects of the last one.
func steps(w *Watch, messages ...Message) (effects []Effect) {
	now := epoch
	for _, m := range messages {
		effects = w.Step(now, m)
		now = now.Add(time.Second)
	}
	return effects
}

func loads(effects []Effect) (versions []uint64) {
	for _, e := range effects {
		if l, ok := e.(Load); ok {
			versions = append(versions, l.Head.Version)
		}
	}
	return versions
}

func TestStep(t *testing.T) {
	begin := Start{Self: Member{Name: "me", Peer: "me:1"}, Seeds: []string{"me:1", "a:1", "b:1", "c:1", "d:1"}, Seed: 1}
	round := []Message{begin, PeerHead{Peer: "a:1"}, PeerHead{Peer: "b:1"}, PeerHead{Peer: "c:1"}}
	active3 := []Message{begin, PeerHead{Peer: "a:1"}, PeerHead{Peer: "b:1"}, PeerHead{Peer: "c:1"}, StoreHead{version(3), 30}, Loaded{version(3)}}
	tests := map[string]struct {
		before []Message
		last   Message
		load   []uint64 // versions requested by the last message's effects
		active uint64   // active version afterwards
	}{
		// The first answer may be stale. If it were activated at once, the daemon could run a
		// version older than the one before its restart.
		"one peer is not enough":           {[]Message{begin, StoreFailed{}}, PeerHead{"a:1", version(2)}, nil, 0},
		"store alone is not enough":        {[]Message{begin}, StoreHead{version(2), 20}, nil, 0},
		"peers alone are not enough":       {round[:3], PeerHead{"c:1", version(2)}, nil, 0},
		"store after peers":                {round, StoreHead{version(2), 20}, []uint64{2}, 0},
		"highest answer counts":            {[]Message{begin, StoreFailed{}, PeerHead{"a:1", version(2)}, PeerHead{"b:1", version(5)}}, PeerHead{"c:1", version(4)}, []uint64{5}, 0},
		"stale store behind peers":         {[]Message{begin, PeerHead{"a:1", version(5)}, PeerHead{"b:1", version(5)}, PeerHead{"c:1", version(5)}}, StoreHead{version(4), 40}, []uint64{5}, 0},
		"loaded comes in force":            {append(round, StoreHead{version(2), 20}), Loaded{version(2)}, nil, 2},
		"newer from the store":             {active3, StoreHead{version(4), 40}, []uint64{4}, 3},
		"newer from a peer":                {active3, PeerHead{"a:1", version(4)}, []uint64{4}, 3},
		"versions skipped":                 {active3, StoreHead{version(9), 90}, []uint64{9}, 3},
		"older from the store":             {active3, StoreHead{version(2), 20}, nil, 3},
		"older from a peer":                {active3, PeerHead{"a:1", version(2)}, nil, 3},
		"same version again":               {active3, StoreHead{version(3), 30}, nil, 3},
		"store is empty":                   {active3, StoreHead{}, nil, 3},
		"late load of an older text":       {append(active3, Adopt{version(5)}), Loaded{version(4)}, nil, 5},
		"adopted":                          {active3, Adopt{version(4)}, nil, 4},
		"load failed waits":                {append(active3, StoreHead{version(4), 40}), LoadFailed{Head: version(4)}, nil, 3},
		"load failed is tried again":       {append(active3, StoreHead{version(4), 40}, LoadFailed{Head: version(4)}), Tick{}, []uint64{4}, 3},
		"unfit is not tried again":         {append(active3, StoreHead{version(4), 40}, LoadFailed{Head: version(4), Unreadable: true}), Tick{}, nil, 3},
		"unfit again from a peer":          {append(active3, StoreHead{version(4), 40}, LoadFailed{Head: version(4), Unreadable: true}), PeerHead{"a:1", version(4)}, nil, 3},
		"newer than unfit":                 {append(active3, StoreHead{version(4), 40}, LoadFailed{Head: version(4), Unreadable: true}), PeerHead{"a:1", version(5)}, []uint64{5}, 3},
		"newer while an older one loads":   {append(active3, StoreHead{version(4), 40}), PeerHead{"a:1", version(5)}, nil, 3},
		"newer after the older one loaded": {append(active3, StoreHead{version(4), 40}, PeerHead{"a:1", version(5)}), Loaded{version(4)}, []uint64{5}, 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var w Watch
			got := steps(&w, append(append([]Message{}, tt.before...), tt.last)...)
			is.Equal(loads(got), tt.load)
			is.Equal(w.Version(), tt.active)
		})
	}
}

// A daemon is the first to start after all of them were stopped. It must not wait for
// unreachable peers.
func TestPeersDownStoreUp(t *testing.T) {
	is := is.New(t)
	var w Watch
	now, loaded := epoch, false
	effects := w.Step(now, Start{Self: Member{Name: "me"}, Seeds: []string{"a:1", "b:1", "c:1", "d:1"}})
	for now.Sub(epoch) < 10*time.Second {
		var next []Effect
		for _, e := range effects {
			switch e := e.(type) {
			case ReadHead:
				next = append(next, w.Step(now, StoreHead{version(2), 20})...)
			case QueryPeer:
				next = append(next, w.Step(now, PeerFailed(e))...)
			case Load:
				loaded = true
			}
		}
		now = now.Add(100 * time.Millisecond)
		effects = append(next, w.Step(now, Tick{})...)
	}
	is.True(loaded)
}

// The store fails right after it accepted a version, and only the head was read. The daemon
// that applied it is queried first: it may be the only one that has the text.
func TestLoadQueriesApplierFirst(t *testing.T) {
	is := is.New(t)
	var w Watch
	steps(&w, Start{Self: Member{Name: "me", Peer: "me:1"}}, Members{members(40)}, StoreHead{Rev: 1})
	effects := w.Step(epoch.Add(time.Minute), Adopt{version(1)})
	is.Equal(effects[0], Activate{version(1)})
	effects = w.Step(epoch.Add(time.Minute), StoreHead{version(2), 20})
	l, ok := effects[len(effects)-1].(Load)
	is.True(ok && l.StoreFirst)
	is.Equal(l.Peers[0], "source:1")
	is.Equal(len(l.Peers), 1+maxPeerQueries)
}

// Each daemon derives its role from its own member list. If all daemons polled, their calls
// would use up the store's rate limit; if none did, a change would wait for the next periodic
// read.
func TestRoles(t *testing.T) {
	tests := map[string]struct{ daemons, polling, watching, periodic int }{
		"one":        {1, 1, 0, 0},
		"today":      {8, 2, 6, 0},
		"the target": {320, 2, 6, 312},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			count := map[role]int{}
			for _, m := range members(tt.daemons) {
				var w Watch
				steps(&w, Start{Self: m}, Members{members(tt.daemons)})
				count[w.role]++
			}
			is.Equal(count[polling], tt.polling)
			is.Equal(count[watching], tt.watching)
			is.Equal(count[periodic], tt.periodic)
		})
	}
}

// The pollers and watchers fail together with their rack. Others must take over soon, not at
// their next periodic read minutes later.
func TestRoleTakeover(t *testing.T) {
	is := is.New(t)
	all := members(320)
	takeovers := 0
	for _, m := range all {
		var w Watch
		steps(&w, Start{Self: m}, StoreHead{Rev: 1}, Members{all})
		if w.role != periodic {
			continue
		}
		now := epoch.Add(time.Hour)
		w.Step(now, StoreHead{Rev: 2}) // the next read is minutes away
		w.Step(now, Members{without(all, &w)})
		if w.role == periodic {
			continue
		}
		takeovers++
		effects := w.Step(now.Add(2*readSoonDelay), Tick{})
		is.True(len(effects) > 0)
	}
	is.True(takeovers >= Pollers+Watchers)
}

// without returns the members except the pollers and watchers other than w's own daemon.
func without(all []Member, w *Watch) (rest []Member) {
	for _, m := range all {
		if roleOf(m, all) == periodic || m.Name == w.self.Name {
			rest = append(rest, m)
		}
	}
	return rest
}

// A watch may return at once with no newer revision, from a lagging replica or a store that
// lost the key. It must not be repeated in a busy loop.
func TestStaleWatchCallRate(t *testing.T) {
	tests := map[string]StoreHead{
		"stale":    {version(1), 10},
		"key gone": {},
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var w Watch
			now, calls := epoch, 0
			w.Step(now, Start{Self: Member{Name: "d0"}})
			w.Step(now, Members{members(8)})
			w.Step(now, StoreHead{version(1), store.Rev(10)})
			for range 600 { // one minute
				now = now.Add(100 * time.Millisecond)
				for effects := w.Step(now, Tick{}); len(effects) > 0 && calls <= 1000; effects = effects[1:] {
					switch effects[0].(type) {
					case ReadHead, AwaitHead:
						calls++
						effects = append(effects, w.Step(now, answer)...)
					}
				}
			}
			is.True(calls > 0)
			is.True(calls <= 60) // one per second
		})
	}
}

// Store calls of all daemons while nothing changes. The store counts every call, a pending
// watch too, and its rate limit grows more slowly than the number of daemons.
func TestIdleCalls(t *testing.T) {
	tests := map[string]struct{ daemons, most int }{
		"one":        {1, 60},
		"today":      {8, 120},
		"the target": {320, 200},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			calls := 0
			for i, m := range members(tt.daemons) {
				calls += idleCalls(m, members(tt.daemons), uint64(i))
			}
			perMinute := calls / int(idleTime.Minutes())
			t.Logf("%d daemons: %d calls a minute", tt.daemons, perMinute)
			is.True(perMinute > 0 && perMinute <= tt.most)
		})
	}
}

const idleTime = 30 * time.Minute

// idleCalls runs one daemon without a change and counts its store calls.
func idleCalls(self Member, all []Member, seed uint64) (calls int) {
	var w Watch
	var watchEnd time.Time // when the pending watch ends; zero if there is none
	w.Step(epoch, Start{Self: self, Seed: seed})
	w.Step(epoch, Members{all})
	w.Step(epoch, StoreHead{version(1), 10})
	w.Step(epoch, Adopt{version(1)})
	for now := epoch; now.Before(epoch.Add(idleTime)); now = now.Add(100 * time.Millisecond) {
		var m Message = Tick{}
		if !watchEnd.IsZero() && !now.Before(watchEnd) {
			m, watchEnd = NoChange{}, time.Time{}
		}
		for _, e := range w.Step(now, m) {
			switch e := e.(type) {
			case ReadHead:
				calls++
				w.Step(now, StoreHead{version(1), 10})
			case AwaitHead:
				calls++
				watchEnd = now.Add(e.For)
			case QueryPeer:
				w.Step(now, PeerHead{Peer: e.Peer, Head: version(1)})
			case Load:
				w.Step(now, Loaded{e.Head})
			}
		}
	}
	return calls
}
