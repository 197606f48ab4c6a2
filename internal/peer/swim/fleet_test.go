package swim

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/jsonrpc2"
)

const methodPacket = "link.packet"

type (
	// fleet simulates many Memberships on a virtual clock and a lossy network.
	// All but the measured times follows from its seed.
	fleet struct {
		now       time.Time
		rng       *rand.Rand
		transit   time.Duration // longest time that a packet is under way, 4 ms at least
		loss      float64
		cut       func(from, to *node) bool
		nodes     []*node
		byPeer    map[string]*node
		queue     events
		serial    int
		measure   bool
		uncounted *node // its view is not counted in the totals
		// Totals.
		bytes, packets       int64
		stepTime             time.Duration // real time spent in Step and the codec
		suspected, falseDown int
		largest              int
	}

	node struct {
		membership Membership
		member     Member
		dead       bool
		paused     bool
		outgoing   int64    // bytes
		waiting    []Packet // while paused
		seen       map[string]State
	}

	event struct {
		at     time.Time
		serial int
		node   *node
		m      Message
	}

	events []event
)

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].serial < e[j].serial
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// newFleet returns n daemons that have all just started. The first two are the
// seeds of all.
func newFleet(n int, seed uint64) *fleet {
	f := &fleet{
		now:    time.Unix(1_800_000_000, 0),
		rng:    rand.New(rand.NewPCG(seed, 1)),
		byPeer: map[string]*node{},
	}
	for i := range n {
		f.start(i, 1)
	}
	return f
}

func address(i, port int) string { return fmt.Sprintf("10.0.%d.%d:%d", i/200, i%200+1, port) }

// start starts daemon i; the incarnation rises with each start.
func (f *fleet) start(i int, config uint64) *node {
	n := &node{seen: map[string]State{}, member: Member{
		Name: fmt.Sprintf("vm%03d", i), Address: address(i, 7400), Peer: address(i, 7401),
		FailureDomain: fmt.Sprintf("domain%d", i%10), State: Alive, Config: config,
		Incarnation: uint64(f.now.UnixNano()) + uint64(i),
	}}
	if i%5 == 0 {
		n.member.Shards = []Shard{{Shard: i / 5, Epoch: 3}}
	}
	if i < len(f.nodes) {
		f.nodes[i].dead = true
		f.nodes[i] = n
	} else {
		f.nodes = append(f.nodes, n)
	}
	f.byPeer[n.member.Peer] = n
	f.step(n, Self{Member: n.member, Seeds: []string{address(0, 7401), address(1, 7401)}})
	f.schedule(time.Duration(f.rng.Int64N(int64(Interval))), n, Tick{})
	return n
}

func (f *fleet) schedule(d time.Duration, n *node, m Message) {
	f.serial++
	heap.Push(&f.queue, event{at: f.now.Add(d), serial: f.serial, node: n, m: m})
}

func (f *fleet) step(n *node, m Message) {
	start := time.Now()
	out := n.membership.Step(f.now, m)
	f.stepTime += time.Since(start)
	for _, e := range out {
		switch e := e.(type) {
		case Send:
			f.send(n, e)
		case MemberChanged:
			f.countFalse(n, e.Member)
		case Newer:
			f.fetch(n, e)
		}
	}
}

// countFalse counts the changes by which a daemon wrongly considers a live one
// suspect or down.
func (f *fleet) countFalse(by *node, m Member) {
	n := f.byPeer[m.Peer]
	before := by.seen[m.Name]
	by.seen[m.Name] = m.State
	if by == f.uncounted || before == m.State {
		return
	}
	if n.dead || n.member.Name != m.Name || n.member.Incarnation > m.Incarnation {
		return
	}
	switch m.State {
	case Suspect:
		f.suspected++
	case Down:
		f.falseDown++
	}
}

// fetch applies a newer configuration after a round trip to the peer that has it.
func (f *fleet) fetch(n *node, e Newer) {
	holder := f.byPeer[e.From]
	if holder.dead || f.lost(n, holder) {
		return
	}
	f.schedule(10*time.Millisecond, n, configured{e.Version})
}

type configured struct{ version uint64 }

func (configured) message() {}

func (f *fleet) configure(n *node, version uint64) {
	n.member.Config = max(n.member.Config, version)
	f.step(n, Self{Member: n.member, Seeds: n.membership.seeds})
}

func (f *fleet) lost(from, to *node) bool {
	return f.rng.Float64() < f.loss || (f.cut != nil && f.cut(from, to))
}

func (f *fleet) send(n *node, s Send) {
	if f.measure {
		start := time.Now()
		size := wireSize(s.Packet)
		f.stepTime += time.Since(start)
		f.bytes += int64(size)
		f.packets++
		f.largest = max(f.largest, size)
		n.outgoing += int64(size)
	}
	to := f.byPeer[s.To]
	if to == nil || f.lost(n, to) {
		return
	}
	f.schedule(time.Millisecond+time.Duration(f.rng.Int64N(int64(max(f.transit, 4*time.Millisecond)))), to, s.Packet)
}

// wireSize returns the approximate size in bytes of a packet as link frames it: a
// JSON-RPC notification and two bytes for the lengths.
func wireSize(p Packet) int {
	data, err := p.MarshalBinary()
	if err != nil {
		panic(err)
	}
	r := jsonrpc2.Request{Method: methodPacket, Notif: true}
	if err := r.SetParams(data); err != nil {
		panic(err)
	}
	frame, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return len(frame) + 2
}

// run advances the clock by d.
func (f *fleet) run(d time.Duration) {
	f.until(d, func() bool { return false })
}

// until advances the clock until done, at most by d, and returns the time that
// passed.
func (f *fleet) until(d time.Duration, done func() bool) time.Duration {
	start, end := f.now, f.now.Add(d)
	check := f.now
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		f.deliver(e)
		if !f.now.Before(check) {
			if done() {
				return f.now.Sub(start)
			}
			check = f.now.Add(50 * time.Millisecond)
		}
	}
	f.now = end
	return d
}

func (f *fleet) deliver(e event) {
	if e.node.dead {
		return
	}
	switch m := e.m.(type) {
	case Tick:
		f.schedule(Interval, e.node, m)
		if !e.node.paused {
			f.step(e.node, m)
		}
	case configured:
		f.configure(e.node, m.version)
	case Packet:
		if e.node.paused {
			e.node.waiting = append(e.node.waiting, m)
			return
		}
		f.step(e.node, m)
	}
}

// wake ends a pause: packets that came meanwhile are read at once.
func (f *fleet) wake(n *node) {
	n.paused = false
	for _, p := range n.waiting {
		f.step(n, p)
	}
	n.waiting = nil
}

// agree reports whether each live daemon that is not paused considers exactly the
// live ones alive, with their present incarnations and configurations.
func (f *fleet) agree() bool {
	alive := 0
	for _, n := range f.nodes {
		if !n.dead {
			alive++
		}
	}
	for _, n := range f.nodes {
		if !n.dead && !n.paused && !f.viewCorrect(n, alive) {
			return false
		}
	}
	return true
}

func (f *fleet) viewCorrect(n *node, alive int) bool {
	count := 0
	for _, m := range n.membership.Members() {
		if m.State == Down {
			continue
		}
		count++
		of := f.byPeer[m.Peer]
		if m.State != Alive || of.dead || of.membership.self.Incarnation != m.Incarnation || of.member.Config != m.Config {
			return false
		}
	}
	return count == alive
}

// allConsiderDown reports whether no live daemon knows the named one in any other
// state than down.
func (f *fleet) allConsiderDown(name string) bool {
	for _, n := range f.nodes {
		if n.dead {
			continue
		}
		for _, m := range n.membership.Members() {
			if m.Name == name && m.State != Down {
				return false
			}
		}
	}
	return true
}

// convergedFleet returns a fleet whose daemons all know each other.
func convergedFleet(t *testing.T, n int, seed uint64) *fleet {
	t.Helper()
	is := is.New(t)
	f := newFleet(n, seed)
	took := f.until(2*time.Minute, f.agree)
	is.True(f.agree()) // all know all
	t.Logf("%d daemons that start at once have converged after %v", n, took)
	return f
}

// configuredAt reports whether all live daemons have at least that version.
func (f *fleet) configuredAt(version uint64) bool {
	for _, n := range f.nodes {
		if !n.dead && n.member.Config < version {
			return false
		}
	}
	return true
}
