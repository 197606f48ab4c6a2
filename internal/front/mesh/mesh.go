// Package mesh is the protocol by which fronts, the daemons that serve callers, exchange
// their state: which of them are alive, and how many requests all of them together have
// in flight at each upstream.
//
// A few fronts send their state to each other directly. With hundreds that would be
// tens of thousands of datagrams a second, or state that is seconds old. So above
// FullMeshMax, some fronts of each failure domain are hubs: every other front reports
// to one hub, and hubs send the sums of their groups to each other and answer each
// report with a digest of the state of all fronts. The load of a front reaches all others
// in three datagrams, and the number of datagrams that a front receives does not grow
// with the number of fronts. Up to FullMeshMax every front is a hub without a group.
//
// Hubs are not elected by messages. Each front derives the hub order from the list of
// fronts, and a front that receives a report acts as hub for its sender, so fronts with
// different lists still interoperate.
//
// Mesh is a state machine without clock, lock or network: its inputs are events, its
// outputs the datagrams to send.
package mesh

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/slaterock/slaterock/internal/front/cached"
	"github.com/slaterock/slaterock/internal/place/pace"
)

const (
	// FullMeshMax is the number of fronts, this one included, up to which all send to each
	// other: at 7 ms for each their state is then at most 0.17 s old; through hubs it is up
	// to 0.26 s old or more, half of that on average.
	FullMeshMax = 24
	// maxGroup is the number of fronts per hub while there are no more than maxHubs hubs. A hub
	// receives 160 reports a second from them, fewer datagrams than from the other hubs. In
	// larger fleets the number of hubs is the square root of that of fronts, with which a hub
	// receives about as many datagrams from its group as from the other hubs.
	maxGroup = 16
	maxHubs  = 24
	// minHubs is the least number of hubs in a failure domain, so that its other fronts
	// have another one in the domain when one fails.
	minHubs = 2
	// digestTTL is how long a digest is valid: five answers in a row are hardly ever lost.
	digestTTL = 500 * time.Millisecond
	// reportTTL is how long a report is valid: five in a row are hardly ever lost.
	reportTTL = 500 * time.Millisecond
	// answerTimeout is how long a hub may leave reports unanswered before it is avoided,
	// and avoidFor how long it is then avoided at most.
	answerTimeout = 500 * time.Millisecond
	avoidFor      = 10 * time.Second
	// maxProbes is how many hubs get a report at a time while none answers: if half of all
	// hubs are frozen, one of three answers seven times out of eight. probeAfter is the
	// time without an answer after which that starts, three reports.
	maxProbes  = 3
	probeAfter = 3 * reportInterval
	// settleTime is how long after a front was listed, or after this front resumed from a
	// freeze, digests that list the front as missing do not replace it as a hub.
	settleTime = time.Second
	// stallTime is the time between two ticks beyond which this front counts as having
	// been frozen: several times the longest interval.
	stallTime = time.Second
	// minKnownDivisor is 4: a digest is accepted only if it reports more than a quarter of all
	// fronts as alive. Half would be too many: that many are missing while the hubs of half of
	// the failure domains are frozen and not yet replaced.
	minKnownDivisor = 4
	// overviewTTL is how long a hub answers reports with the same overview of all fronts. It
	// gets hundreds of reports a second, and has to add up the loads of all upstreams in use.
	overviewTTL = 10 * time.Millisecond
	// announceInterval is the interval between digests to a silent front. A front that has
	// just started learns from them which peer it can get the fleet view from, so that
	// hundreds that start together don't all read the store.
	announceInterval = 500 * time.Millisecond
	// maxLoads is the largest number of upstreams in one datagram, those with the most
	// requests in flight, so that the datagram fits MaxPacket. It also applies to accounts.
	maxLoads = 500
)

// ID is a hash of a name: four bytes in a datagram in place of some twenty. Among a
// thousand names there is a collision in one of 8,000 fleets; the load of one upstream
// is then also counted for another.
type ID uint32

// IDOf returns the hash of the name of a front, an upstream or an account.
func IDOf(name string) ID { return ID(xxhash.Sum64String(name)) }

type (
	// Peer is a front as listed in the store.
	Peer struct {
		Node    string
		Address string // for other daemons
		Domain  string // failure domain
		Cores   float64
	}

	// Event is an input of the state machine.
	Event interface{ event() }

	// PeerList is the list of fronts in the store; it may include this one.
	PeerList struct{ Peers []Peer }

	// Received is a message from another front. Invalid datagrams are not passed on.
	Received struct{ Message Message }

	// Tick is due at every Interval. It may come earlier, to send changed state at once.
	Tick struct {
		State  State
		Load   map[ID]int // own requests in flight, by upstream
		Used   map[ID]int // own requests admitted recently, by account
		Demand Demand     // own requests that compete for limits and engines
		Idle   bool       // it serves no callers, and needs no loads of others

		Cached []cached.Pair // prompt parts at upstreams that are new here since the last tick, the newest first
	}

	// Send is a datagram to send.
	Send struct {
		To      string
		Message Message
	}

	// Mesh is the state of one front. Set Self, then call Step.
	Mesh struct {
		Self  Peer
		Paces pace.Table // speeds of upstreams; the samples of this front are added by the caller

		selected     selected // estimates for digests
		own          Tick
		listed       []Peer
		peers        map[ID]peer
		order        []peer           // all fronts, this one included, in hub order
		domains      [][]peer         // the same, by failure domain
		reports      map[ID]report    // of the fronts that have this one as their hub
		shares       map[ID]share     // of other hubs
		digest       digest           // the latest, from any hub
		avoid        map[ID]avoided   // hubs that did not answer
		awaiting     map[ID]time.Time // hubs with unanswered reports, by the time of the first
		lastAnnounce time.Time        // when digests were last sent to silent fronts
		lastTick     time.Time
		resumed      time.Time // end of the latest freeze
		overview     *overview // nil if it has to be computed
		feed         feed
		isHub        bool
		hubs         []peer // that this front considers hubs, of all failure domains, sorted by ID
		targets      []peer // to which this front sends its share as a hub
	}

	peer struct {
		Peer
		id         ID
		knownSince time.Time // when it was first listed at its address
	}

	report struct {
		Report
		at  time.Time
		fed uint64 // number of the feed's pairs up to the last digest to the front
	}

	avoided struct {
		until         time.Time
		confirmedDown bool // a digest has since listed it as missing, too
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

// Step applies an event and returns the datagrams to send.
func (m *Mesh) Step(now time.Time, e Event) []Send {
	m.init()
	switch e := e.(type) {
	case PeerList:
		m.setPeers(now, e.Peers)
	case Tick:
		if status(e.State) != status(m.own.State) {
			m.overview = nil
		}
		m.own = e
		m.feed.add(now, IDOf(m.Self.Node), e.Cached, true)
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
	m.isHub = true // until other fronts are listed
	m.setPeers(time.Time{}, nil)
}

// resetIfStalled drops the state of other fronts if this one has been frozen. Datagrams
// that queued up in the meantime arrive as if they were new: it would count loads that are
// seconds old, and consider hubs down that were only frozen together with it.
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
	m.Paces.DropDelta() // their times include the freeze
	m.digest = digest{}
	m.overview = nil
	m.resumed = now
}

func (m *Mesh) setPeers(now time.Time, peers []Peer) {
	if m.order != nil && slices.Equal(m.listed, peers) {
		return
	}
	m.listed, m.overview = peers, nil
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
	slices.SortFunc(m.order, byHubOrder)
	m.domains = byDomain(m.order)
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
		changed := !known || status(old.State) != status(msg.State)
		if changed {
			m.overview = nil
		}
		noticed := m.forwardPaces(now, msg)
		m.reports[id] = report{Report: msg.withoutPaces(), at: now, fed: old.fed}
		m.feed.add(now, id, msg.Cached, true)
		sends := []Send{{To: msg.State.Peer, Message: m.answer(now, id)}}
		if changed || noticed {
			sends = append(sends, m.shareWithHubs(now)...) // so that requests are directed elsewhere at once
		}
		return sends
	case Share:
		if old, known := m.shares[id]; known && stale(now, msg.State, old.State, old.at) {
			return nil
		}
		m.Paces.AddDelta(now, msg.Paces)
		m.feed.add(now, id, msg.Cached, false)
		m.shares[id] = share{Share: msg.withoutPaces(), at: now}
	case Digest:
		delete(m.awaiting, id)
		if minKnownDivisor*msg.Fronts <= len(m.order) {
			if msg.State.Node == m.digest.State.Node {
				m.digest = digest{} // so that other hubs are tried
			}
			return nil // the hub has just become one or has resumed, and knows few fronts
		}
		if msg.State.Node == m.digest.State.Node && stale(now, msg.State, m.digest.State, m.digest.at) {
			return nil
		}
		m.mergePaces(now, msg)
		m.digest = digest{Digest: msg, at: now, missing: map[ID]bool{}}
		for _, id := range msg.Missing {
			m.digest.missing[id] = true
		}
	}
	return nil
}

// stale reports whether a message was sent before the latest one of the same front.
// If that one is older than SilenceTimeout any message is accepted, since a front that
// restarted may have a clock that was set back.
func stale(now time.Time, s, old State, at time.Time) bool {
	return s.Sent <= old.Sent && now.Sub(at) < SilenceTimeout
}
