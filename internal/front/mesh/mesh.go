// Package mesh decides what the daemons that serve callers tell each other, and
// what follows from what they hear: who is alive, and what all of them together
// have under way at each upstream.
//
// A few fronts tell each other everything directly. With hundreds that would be
// tens of thousands of datagrams a second, or news that is seconds old. So beyond
// Together, some fronts of each failure domain are hubs: every other front reports
// to one hub, hubs share the sums of their groups with each other, and answer each
// report with a digest of the whole. What a front has under way reaches all others
// in three datagrams, and a front takes as many whatever their number.
//
// Nobody appoints hubs. Each front works the same order out of the list of fronts,
// and whoever gets a report is a hub for its sender, so fronts whose lists differ
// still understand each other.
//
// Mesh is a state machine without clock, lock or network: events go in, datagrams
// that are to be sent come out.
package mesh

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Together is the largest number of fronts that all tell each other: at 7 ms
	// for each their words are then 0.17 s old at most, as old as through hubs.
	FullMeshMax = 24
	// groupMost is how many fronts share a hub. A hub takes 160 reports a second
	// from them, fewer datagrams than from the other hubs.
	maxGroup = 16
	// hubsLeast is the least number of hubs in a failure domain, so that the
	// others have one nearby when one dies.
	minHubs = 2
	// base is the pause between datagrams to the same front: half of the time of
	// a short plain call.
	minInterval = 60 * time.Millisecond
	// perPeer stretches the pause with the number of fronts that are told, which
	// bounds the datagrams that each sends and takes to about 140 a second.
	// perHub is the same between hubs, 250 a second: hubs are few, and the VMs with
	// the most processor.
	intervalPerPeer = 7 * time.Millisecond
	intervalPerHub  = 4 * time.Millisecond
	// reportPause is the pause between reports to a hub. Two reports and the hubs'
	// pause in between are the age of what is known through hubs: 0.3 s at most
	// with 24 hubs, half of it on the average.
	reportInterval = 100 * time.Millisecond
	// Silent is the least time for which a front may say nothing before it counts
	// as gone, and silentPauses the same in pauses: so many datagrams in a row are
	// hardly ever lost. Through hubs it is silentHub, in which the fronts of a hub
	// that died have found another one.
	SilenceTimeout    = 900 * time.Millisecond
	silenceIntervals  = 3
	hubSilenceTimeout = 800 * time.Millisecond
	// digestAge is for how long a digest counts: five answers are hardly ever lost.
	digestTTL = 500 * time.Millisecond
	// followAge is for how long a report counts: five are hardly ever lost.
	reportTTL = 500 * time.Millisecond
	// patience is how long a hub may leave reports without an answer, and
	// avoidFor how long it is left alone then.
	answerTimeout = 500 * time.Millisecond
	avoidFor      = 10 * time.Second
	// seekMost is how many hubs are tried at a time while none answers: of three
	// one is there though half of all are frozen, seven times out of eight. seekAfter
	// is three reports without an answer.
	maxProbes  = 3
	probeAfter = 3 * reportInterval
	// settle is how long a front that has just become known may say nothing
	// before another one takes its part as a hub.
	settleTime = time.Second
	// stall is the time between two ticks after which this front counts as frozen:
	// several times the longest pause.
	stallTime = time.Second
	// fewest is the part of all fronts, a quarter, of which a hub must hear for its
	// digest to count. Half are not heard of when the hubs of half of the failure
	// domains freeze together, and others must stand in for them.
	minKnownFraction = 4
	// greetPause is the pause between digests to a front of which nothing is heard.
	// One that knows of no other yet learns by them whom to ask, so hundreds that
	// start together need not read the store until each has found all others.
	announceInterval = 500 * time.Millisecond
	// maxLoads bounds the upstreams in one datagram, so that it stays below its
	// largest size: those with the most under way. So it does for accounts.
	maxLoads = 500
)

// ID is the short form of a name. Datagrams have four bytes in place of some
// twenty; among a thousand names two are the same once in 8,000 fleets, and then
// the load of one upstream is counted for another.
type ID uint32

// IDOf returns the short form of the name of a front or an upstream.
func IDOf(name string) ID { return ID(xxhash.Sum64String(name)) }

type (
	// Peer is a front as the store lists it.
	Peer struct {
		Node    string
		Address string // for other daemons
		Domain  string // failure domain
		Cores   float64
	}

	// Event is something that the machine is told.
	Event interface{ event() }

	// Listed tells which other fronts there are.
	PeerList struct{ Peers []Peer }

	// Heard is a datagram that came. A damaged one is not an event.
	Received struct{ Message Message }

	// Tick is due every Pause. It may also come earlier, to tell something now.
	Tick struct {
		State State
		Load  map[ID]int // own requests under way, by upstream
		Used  map[ID]int // own requests let in lately, by account
	}

	// Send is a datagram that is to be sent.
	Send struct {
		To      string
		Message Message
	}

	// Mesh is one front's part. Set Self, then call Step.
	Mesh struct {
		Self Peer

		own          Tick
		listed       []Peer
		peers        map[ID]peer
		order        []peer        // all fronts, this one too, in the order in which they become hubs
		reports      map[ID]report // of the fronts that follow this one
		shares       map[ID]share  // of other hubs
		digest       digest
		avoid        map[ID]avoided   // hubs that gave no answer
		awaiting     map[ID]time.Time // hubs that have not answered since
		lastAnnounce time.Time        // when silent fronts were told last
		lastTick     time.Time
		resumed      time.Time // from a freeze
		isHub        bool
		hubs         []peer // of all failure domains, in the order of their IDs; those that act
		targets      []peer // that are told as a hub
	}

	peer struct {
		Peer
		id         ID
		knownSince time.Time // known since then
	}

	report struct {
		Report
		at time.Time
	}

	avoided struct {
		until         time.Time
		confirmedDown bool // others have missed it since, too
	}

	share struct {
		Share
		at time.Time
	}

	digest struct {
		Digest
		at      time.Time
		missing map[ID]bool
	}
)

func (PeerList) event() {}
func (Received) event() {}
func (Tick) event()     {}

// Step takes an event and returns what is to be sent.
func (m *Mesh) Step(now time.Time, e Event) []Send {
	m.init()
	switch e := e.(type) {
	case PeerList:
		m.setPeers(now, e.Peers)
	case Tick:
		m.own = e
		m.resetIfStalled(now)
		m.elect(now)
		if m.isHub {
			return append(m.shareWithHubs(now), m.announce(now)...)
		}
		return m.reportToHub(now)
	case Received:
		return m.receive(now, e.Message)
	}
	return nil
}

func (m *Mesh) init() {
	if m.peers != nil {
		return
	}
	m.peers = map[ID]peer{}
	m.reports = map[ID]report{}
	m.shares = map[ID]share{}
	m.avoid = map[ID]avoided{}
	m.awaiting = map[ID]time.Time{}
	m.isHub = true // until there are others to choose from
	m.setPeers(time.Time{}, nil)
}

// wake forgets what others said if this front has been frozen. Datagrams that waited
// for it come as if they were new: it would count what others had under way seconds
// ago, and take hubs for dead that were only frozen with it.
func (m *Mesh) resetIfStalled(now time.Time) {
	last := m.lastTick
	m.lastTick = now
	if last.IsZero() || now.Sub(last) <= stallTime {
		return
	}
	clear(m.reports)
	clear(m.shares)
	clear(m.avoid)
	clear(m.awaiting)
	m.digest = digest{}
	m.resumed = now
}

func (m *Mesh) setPeers(now time.Time, peers []Peer) {
	if m.order != nil && slices.Equal(m.listed, peers) {
		return
	}
	m.listed = peers
	next := make(map[ID]peer, len(peers))
	for _, p := range peers {
		if p.Node == m.Self.Node {
			continue
		}
		id := IDOf(p.Node)
		knownSince := now
		if old, known := m.peers[id]; known && old.Address == p.Address {
			knownSince = old.knownSince
		}
		next[id] = peer{Peer: p, id: id, knownSince: knownSince}
	}
	m.peers = next
	m.order = append(slices.Collect(maps.Values(next)), peer{Peer: m.Self, id: IDOf(m.Self.Node)})
	slices.SortFunc(m.order, byRank)
}

func (m *Mesh) receive(now time.Time, msg Message) []Send {
	id := IDOf(msg.state().Node)
	if msg.state().Node == m.Self.Node {
		return nil
	}
	switch msg := msg.(type) {
	case Report:
		old, known := m.reports[id]
		if known && stale(now, msg.State, old.State, old.at) {
			return nil
		}
		m.reports[id] = report{Report: msg, at: now}
		sends := []Send{{To: msg.State.Peer, Message: m.digestFor(now, id)}}
		if !known || status(old.State) != status(msg.State) {
			sends = append(sends, m.shareWithHubs(now)...) // callers are sent elsewhere at once
		}
		return sends
	case Share:
		if old, known := m.shares[id]; known && stale(now, msg.State, old.State, old.at) {
			return nil
		}
		m.shares[id] = share{Share: msg, at: now}
	case Digest:
		delete(m.awaiting, id)
		if minKnownFraction*msg.Fronts <= len(m.order) {
			if msg.State.Node == m.digest.State.Node {
				m.digest = digest{} // others are tried
			}
			return nil // it has just become a hub, or has woken, and knows of few itself
		}
		if msg.State.Node == m.digest.State.Node && stale(now, msg.State, m.digest.State, m.digest.at) {
			return nil
		}
		m.digest = digest{Digest: msg, at: now, missing: map[ID]bool{}}
		for _, id := range msg.Missing {
			m.digest.missing[id] = true
		}
	}
	return nil
}

// stale tells whether a front said this before what it has said already. One that
// started again may have a clock that was set back.
func stale(now time.Time, s, old State, at time.Time) bool {
	return s.Sent <= old.Sent && now.Sub(at) < SilenceTimeout
}

// Pause is the time between ticks.
func (m *Mesh) Interval() time.Duration {
	if !m.isHub {
		return reportInterval
	}
	return m.hubInterval()
}

func (m *Mesh) hubInterval() time.Duration {
	each := intervalPerHub
	if m.fullMesh() {
		each = intervalPerPeer
	}
	return max(minInterval, time.Duration(len(m.targets))*each)
}

// Age is how old what is known of other fronts may be.
func (m *Mesh) Age() time.Duration {
	if m.fullMesh() {
		return m.Interval()
	}
	return 2*reportInterval + m.hubInterval()
}

func (m *Mesh) silenceTimeout() time.Duration {
	least := SilenceTimeout
	if !m.fullMesh() {
		least = hubSilenceTimeout
	}
	return max(least, silenceIntervals*m.Interval())
}
