package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func state(node string, sent int64) State {
	return State{Node: node, Peer: node + ":peer", Callers: node, Sent: sent}
}

// Datagrams arrive out of order, and a daemon restarts with a clock that was set back.
// Older state must not overwrite newer, but messages of the restarted daemon must be
// accepted.
func TestReorderedDatagrams(t *testing.T) {
	up := IDOf("upstream")
	cases := map[string]struct {
		sent  int64
		after time.Duration
		want  int
	}{
		"newer":                      {101, time.Millisecond, 2},
		"older":                      {99, time.Millisecond, 1},
		"the same again":             {100, time.Millisecond, 1},
		"a clock that was set back":  {5, SilenceTimeout, 2},
		"an older one, much delayed": {99, SilenceTimeout - 1, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := Mesh{Self: Peer{Node: "self"}}
			m.Step(start, Received{Message: Share{State: state("a", 100), Load: map[ID]int{up: 1}}})
			m.Step(start.Add(c.after), Received{Message: Share{State: state("a", c.sent), Load: map[ID]int{up: 2}}})
			is.Equal(m.Summary(start.Add(c.after)).Load[up], c.want)
		})
	}
}

func TestSummary(t *testing.T) {
	is := is.New(t)
	m := Mesh{Self: Peer{Node: "self"}}
	m.Step(start, PeerList{Peers: []Peer{{Node: "a"}, {Node: "b"}, {Node: "c"}, {Node: "self"}}})
	m.Step(start, Received{Message: Share{State: State{Node: "b", Sent: 1, Leaving: true}}})
	m.Step(start.Add(time.Millisecond), Received{Message: Share{State: State{Node: "a", Sent: 1}, Group: map[ID]Status{IDOf("c"): Unhealthy}}})
	m.Step(start, Received{Message: Share{State: state("unlisted", 1)}})
	p := m.Summary(start.Add(SilenceTimeout))
	is.Equal(p.Fronts, 5)
	b, alive := p.Status(IDOf("b"))
	is.True(alive)
	is.Equal(b, Leaving)
	c, alive := p.Status(IDOf("c"))
	is.True(alive)
	is.Equal(c, Unhealthy)
	is.Equal(p.Unlisted, []State{state("unlisted", 1)})
	p = m.Summary(start.Add(SilenceTimeout + time.Millisecond))
	is.Equal(p.Fronts, 3) // this one, a, and c in the group of a
	is.Equal(len(p.Unlisted), 0)
}

// many returns fronts of six failure domains.
func many(n int) (peers []Peer) {
	for i := range n {
		name := fmt.Sprint("front-", i)
		peers = append(peers, Peer{Node: name, Address: name, Domain: fmt.Sprint("domain-", i%6)})
	}
	return peers
}

// Hundreds of fronts start together and know no peers. The first that has read the list
// from the store must make it available to the others quickly: a front that reads by itself
// costs a call to the store, and until it has its peers' loads busy engines look idle.
func TestSilentFrontsGetDigests(t *testing.T) {
	is := is.New(t)
	peers := many(171)
	digests, shares := map[string]int{}, map[string]int{}
	for _, p := range peers {
		m := Mesh{Self: p}
		m.Step(start, PeerList{Peers: peers})
		sends := m.Step(start, Tick{State: state(p.Node, 1)})
		sends = append(sends, m.Step(start.Add(announceInterval-1), Tick{State: state(p.Node, 2)})...) // none again within announceInterval
		for _, s := range sends {
			switch s.Message.(type) {
			case Digest:
				digests[s.To]++
				m.Step(start, Received{Message: Report{State: state(s.To, 1)}})
			case Share:
				shares[s.To]++
			}
		}
		for _, s := range m.Step(start.Add(announceInterval), Tick{State: state(p.Node, 3)}) {
			if _, is := s.Message.(Digest); is && len(m.reports) > 0 {
				t.Errorf("unsolicited digest to %s, which reports", s.To)
			}
		}
	}
	for _, p := range peers {
		is.True(digests[p.Node] == 1 || shares[p.Node] > 0) // hubs get shares instead
	}
}

// A datagram must stay within MaxPacket and hold the loads of the upstreams with the most
// requests in flight, whatever the number of upstreams.
func TestLargestDatagram(t *testing.T) {
	is := is.New(t)
	load := map[ID]int{}
	for i := range 1100 {
		load[IDOf(fmt.Sprint("upstream-", i))] = i
	}
	d := Digest{State: state("front-somewhere-12", 1<<60), Load: load, Fronts: 320}
	for _, p := range many(320) {
		d.Missing = append(d.Missing, IDOf(p.Node))
	}
	data, err := Encode(d)
	is.NoErr(err)
	is.True(len(data) <= MaxPacket)
	msg, err := Decode(data)
	is.NoErr(err)
	got := msg.(Digest) //nolint:forcetypeassert // as it was sent
	is.Equal(len(got.Load), maxLoads)
	is.Equal(got.Load[IDOf("upstream-1099")], 1099)
	is.Equal(got.Missing, d.Missing)
}

// Datagrams may come from any sender and may be damaged. None may crash a daemon.
func FuzzDecode(f *testing.F) {
	for _, msg := range []Message{
		Report{State: state("a", 1), Load: map[ID]int{1: 2}},
		Share{State: state("a", 1), Group: map[ID]Status{3: Leaving}, Hubs: []ID{4}},
		Digest{State: state("a", 1), Missing: []ID{5}},
	} {
		data, err := Encode(msg)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0xa1, 0x01, 0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}) // a map header with a huge length
	f.Fuzz(func(t *testing.T, data []byte) {
		msg, err := Decode(data)
		if err != nil {
			return
		}
		m := Mesh{Self: Peer{Node: "self"}}
		m.Step(start, Received{Message: msg})
		m.Summary(start)
	})
}

// A front resumes from a freeze and receives datagrams that were queued meanwhile. Their
// loads are seconds old, and with them it would select engines that are no longer idle.
func TestResumedFrontResets(t *testing.T) {
	up := IDOf("upstream")
	cases := map[string]struct {
		frozen time.Duration
		want   int
	}{
		"a late tick": {stallTime, 3},
		"a freeze":    {stallTime + time.Millisecond, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := Mesh{Self: Peer{Node: "self"}}
			m.Step(start, Tick{State: state("self", 1)})
			now := start.Add(c.frozen)
			m.Step(now, Received{Message: Share{State: state("a", 1), Load: map[ID]int{up: 3}}})
			m.Step(now, Tick{State: state("self", 2)})
			is.Equal(m.Summary(now).Load[up], c.want)
		})
	}
}

// A front reports its load and receives a digest of the others' loads. If the digest
// included its own, it would count its requests twice.
func TestOwnLoadIsNotOthers(t *testing.T) {
	is := is.New(t)
	up := IDOf("upstream")
	m := Mesh{Self: Peer{Node: "hub"}}
	m.Step(start, Tick{State: state("hub", 1), Load: map[ID]int{up: 1}})
	m.Step(start, Received{Message: Share{State: state("other", 1), Load: map[ID]int{up: 10}}})
	m.Step(start, Received{Message: Report{State: state("a", 1), Load: map[ID]int{up: 100}}})
	sends := m.Step(start, Received{Message: Report{State: state("b", 1), Load: map[ID]int{up: 1000}}})
	is.Equal(sends[0].To, "b:peer")
	is.Equal(sends[0].Message.(Digest).Load[up], 111) //nolint:forcetypeassert // a report is answered by it
	is.Equal(m.Summary(start).Load[up], 1110)
}

// A hub answers a report between two ticks; with the age as of the last tick its group would take its state for newer than it is.
func TestAnswerTellsPresentAge(t *testing.T) {
	is := is.New(t)
	peers := many(171)
	m := Mesh{Self: peers[0]}
	m.Step(start, PeerList{Peers: peers})
	own := state(peers[0].Node, 0)
	own.Age = 100
	m.Step(start, Tick{State: own})
	const later = 50 * time.Millisecond
	sends := m.Step(start.Add(later), Received{Message: Report{State: state(peers[6].Node, 1)}})
	is.True(len(sends) > 1) // a digest for the front, and shares for other hubs since it is new
	for _, s := range sends {
		is.Equal(s.Message.state().Age, own.Age+later.Milliseconds())
	}
}

// All VMs of a fleet of twice today's size restart, and three quarters of the fronts are silent still. A datagram that is longer than its recipient's buffer would be lost each time, and each front would take itself for alone.
func TestDatagramsFitWhateverIsMissing(t *testing.T) {
	const n = 1732
	for name, alive := range map[string]int{"nobody else": 0, "a quarter": n / 4, "more than a quarter": n/4 + 20, "all": n - 1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			hub := Mesh{Self: Peer{Node: "hub", Domain: "x", Cores: 1}}
			var peers []Peer
			group, load := map[ID]Status{}, map[ID]int{}
			for i := range n {
				p := Peer{Node: fmt.Sprint("front-", i), Address: fmt.Sprint("10.0.0.1:", i), Domain: "x"}
				peers = append(peers, p)
				if i < alive {
					group[IDOf(p.Node)] = 0
				}
				load[IDOf(fmt.Sprint("upstream-", i))] = 1
			}
			hub.Step(now, PeerList{Peers: peers})
			hub.Step(now, Tick{State: State{Node: "hub", Peer: "10.0.0.2:1"}})
			hub.Step(now, Received{Message: Share{State: State{Node: "front-1", Peer: "10.0.0.1:1"}, Group: group, Load: load}})
			sends := hub.Step(now, Received{Message: Report{State: State{Node: "front-0", Peer: "10.0.0.1:0"}}})
			data, err := Encode(sends[0].Message)
			is.NoErr(err)
			is.True(len(data) <= MaxPacket)
			msg, err := Decode(data)
			is.NoErr(err)
			is.Equal(StateOf(msg).Node, "hub")
		})
	}
}
