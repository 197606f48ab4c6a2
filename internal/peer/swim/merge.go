package swim

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// handlePacket merges a packet and answers it.
func (ms *Membership) handlePacket(now time.Time, p Packet, out *effects) {
	if ms.self.Name == "" || p.From == ms.self.Peer {
		return
	}
	if ms.Alone(now) {
		ms.rejoined = now
	}
	ms.lastReceived = now
	ms.mergeStoreCall(now, p)
	for _, m := range p.News {
		ms.mergeMember(now, m, out)
	}
	for _, c := range p.Claims {
		ms.mergeClaim(now, c, out)
	}
	for _, m := range p.Marks {
		ms.mergeMark(now, m, out)
	}
	ms.handleHead(now, p, out)
	ms.handleAck(now, p, out)
	ms.reply(now, p, out)
}

// mergeMember merges an entry that a daemon reported of itself. Reported states
// are never Suspect; an entry that contains Suspect is handled as a claim.
func (ms *Membership) mergeMember(now time.Time, m Member, out *effects) {
	if m.State == Suspect {
		ms.mergeClaim(now, Claim{Name: m.Name, Incarnation: m.Incarnation, Serial: m.Serial, State: m.State}, out)
		return
	}
	if m.Name == ms.self.Name {
		ms.refute(now, m.Incarnation, m.Serial, false, out)
		return
	}
	r := ms.records[m.Name]
	switch {
	case r == nil:
		ms.addMember(now, m, out)
		return
	case m.Incarnation < r.reported.Incarnation:
		return
	case m.Incarnation == r.reported.Incarnation && m.Serial <= r.reported.Serial:
		return
	}
	if m.Incarnation == r.reported.Incarnation {
		m.Config = max(m.Config, r.reported.Config)
	}
	restarted := m.Incarnation > r.reported.Incarnation
	if r.claim == Down && !restarted {
		ms.rejoined = now
	}
	if restarted || m.Serial > r.claimSerial {
		r.claim = ""
	}
	ms.indexPeer(now, m, r.reported.Peer, out)
	r.reported = m
	if m.State == Down {
		r.since = now
	}
	ms.publish(now, r, out)
}

// addMember adds an unknown daemon, unless it is down.
func (ms *Membership) addMember(now time.Time, m Member, out *effects) {
	if m.State == Down {
		return
	}
	r := &record{reported: m}
	ms.records[m.Name] = r
	i, _ := slices.BinarySearch(ms.names, m.Name)
	ms.names = slices.Insert(ms.names, i, m.Name)
	// The position in the ring is random, so that not all daemons probe a new
	// one at the same time.
	at := 0
	if len(ms.toProbe) > 0 {
		at = ms.rng.IntN(len(ms.toProbe))
	}
	ms.toProbe = slices.Insert(ms.toProbe, at, m.Name)
	ms.indexPeer(now, m, "", out)
	ms.publish(now, r, out)
}

// indexPeer maps a peer address to its daemon. If another daemon was known at that
// address and its Incarnation is not higher, it has been replaced and a Down claim
// is set: the new daemon answers probes sent to the address, so the old one would
// otherwise never be suspected.
func (ms *Membership) indexPeer(now time.Time, m Member, oldPeer string, out *effects) {
	if oldPeer != m.Peer && ms.byPeer[oldPeer] == m.Name {
		delete(ms.byPeer, oldPeer)
	}
	other := ms.records[ms.byPeer[m.Peer]]
	if other != nil && other.reported.Name != m.Name {
		if other.reported.Incarnation > m.Incarnation {
			return
		}
		ms.setClaim(now, other, Down, other.reported.Serial, out)
	}
	ms.byPeer[m.Peer] = m.Name
}

func (ms *Membership) removeMember(name string) {
	peer := ms.records[name].reported.Peer
	if ms.byPeer[peer] == name {
		delete(ms.byPeer, peer)
	}
	delete(ms.records, name)
	ms.updates.remove(func(i *update) bool { return i.name == name })
	i, _ := slices.BinarySearch(ms.names, name)
	ms.names = slices.Delete(ms.names, i, i+1)
}

// mergeClaim merges another daemon's claim. Down is accepted at once only for
// a daemon that is already suspected here; otherwise it starts a suspicion,
// which leaves time to refute. After a partition each half reports the members
// of the other as Down. Accepted at once, these claims would make each half
// consider its own live members down.
func (ms *Membership) mergeClaim(now time.Time, c Claim, out *effects) {
	if c.Name == ms.self.Name {
		ms.refute(now, c.Incarnation, c.Serial, true, out)
		return
	}
	r := ms.records[c.Name]
	if r == nil || c.Incarnation != r.reported.Incarnation || c.Serial < r.reported.Serial {
		return
	}
	if r.reported.State == Down {
		return
	}
	if r.claim == "" {
		c.State = Suspect
	}
	ms.setClaim(now, r, c.State, c.Serial, out)
}

// setClaim sets a claim. If the same or a stronger one is set already, it only
// raises its serial.
func (ms *Membership) setClaim(now time.Time, r *record, claim State, claimSerial uint64, out *effects) {
	if r.claim == Down || r.claim == claim {
		r.claimSerial = max(r.claimSerial, claimSerial)
		return
	}
	r.claim = claim
	r.claimSerial = max(claimSerial, r.reported.Serial)
	r.since = now
	ms.publish(now, r, out)
}

// refute raises this daemon's Serial or Incarnation above those of a claim, or of
// the entry of an earlier process of the same name whose clock was ahead.
func (ms *Membership) refute(now time.Time, incarnation, serial uint64, claimed bool, out *effects) {
	switch {
	case incarnation > ms.self.Incarnation:
		ms.self.Incarnation = incarnation + 1
	case incarnation < ms.self.Incarnation:
		return
	case serial > ms.self.Serial || (claimed && serial == ms.self.Serial):
		ms.self.Serial = serial + 1
	default:
		return
	}
	ms.updates.add(ms.self.Name, memberUpdate)
	ms.pushNow(now, out)
}

func (ms *Membership) mergeMark(now time.Time, m Mark, out *effects) {
	r := ms.records[m.Name]
	if r == nil || r.reported.Incarnation != m.Incarnation || r.reported.Config >= m.Config {
		return
	}
	r.reported.Config = m.Config
	ms.configChanged = now
	ms.updates.add(m.Name, configUpdate)
	out.add(MemberChanged{Member: r.member()})
}

// handleHead merges the configuration version that the sender has in force.
// A fetch may fail, so a newer version is reported again with later packets,
// at most once per Interval.
func (ms *Membership) handleHead(now time.Time, p Packet, out *effects) {
	if r := ms.records[ms.byPeer[p.From]]; r != nil {
		ms.mergeMark(now, Mark{Name: r.reported.Name, Incarnation: r.reported.Incarnation, Config: p.Head}, out)
	}
	if p.Head <= ms.self.Config {
		return
	}
	if p.Head <= ms.newestConfig && now.Sub(ms.newestReported) < Interval {
		return
	}
	ms.newestConfig = max(ms.newestConfig, p.Head)
	ms.newestReported = now
	out.add(Newer{Version: p.Head, From: p.From})
}

// publish queues a change for other daemons and reports it to the caller. A
// daemon that is Alone queues nothing: it is cut off itself, and claims that it
// could still send would make all others refute.
func (ms *Membership) publish(now time.Time, r *record, out *effects) {
	if !ms.Alone(now) {
		ms.updates.add(r.reported.Name, memberUpdate)
	}
	out.add(MemberChanged{Member: r.member()})
}

// handleAck ends the probe that was answered, or forwards the ack of an
// indirect probe to its requester.
func (ms *Membership) handleAck(now time.Time, p Packet, out *effects) {
	if p.Ack == 0 {
		return
	}
	from := p.From
	if p.For != "" {
		from = p.For
	}
	ms.probes = slices.DeleteFunc(ms.probes, func(q probe) bool {
		return q.round == p.Ack && ms.records[q.name] != nil && ms.records[q.name].reported.Peer == from
	})
	for _, ip := range ms.indirect {
		if ip.round == p.Ack && ip.target == p.From {
			ms.send(now, ip.requester, Packet{Ack: ip.requestRound, For: ip.target}, out)
		}
	}
}

func (ms *Membership) reply(now time.Time, p Packet, out *effects) {
	switch {
	case p.Ask != "":
		ms.round++
		ms.indirect = append(ms.indirect, indirectProbe{round: ms.round, requester: p.From, requestRound: p.Round, target: p.Ask})
		ms.send(now, p.Ask, Packet{Round: ms.round}, out)
	case p.Full && p.Round != 0, p.Digest != 0 && p.Digest != ms.digest():
		ms.sendFullState(now, p, out)
	case p.Round != 0:
		ms.send(now, p.From, Packet{Ack: p.Round}, out)
	}
}

// sendFullState answers with all entries that are not down, in packets of bounded
// size; the first one also carries up to membersPerPacket claims. If the request
// was a digest, the sender is asked for its full state in turn.
func (ms *Membership) sendFullState(now time.Time, p Packet, out *effects) {
	next := Packet{Ack: p.Round, Full: true}
	if p.Digest != 0 {
		ms.round++
		next.Round = ms.round
	}
	all, claims := []Member{ms.self}, []Claim(nil)
	for _, name := range ms.names {
		r := ms.records[name]
		if r.state() == Down {
			continue
		}
		all = append(all, r.reported)
		if r.claim != "" {
			claims = append(claims, r.toClaim())
		}
	}
	next.Claims = claims[:min(len(claims), membersPerPacket)]
	for chunk := range slices.Chunk(all, membersPerPacket) {
		next.News = chunk
		ms.send(now, p.From, next, out)
		next = Packet{Full: true}
	}
}

func (r *record) toClaim() Claim {
	return Claim{Name: r.reported.Name, Incarnation: r.reported.Incarnation, Serial: r.claimSerial, State: r.claim}
}

// digest hashes the entries of all daemons that are not down; it is never 0.
func (ms *Membership) digest() uint64 {
	h := xxhash.New()
	var buf [25]byte
	ms.each(func(m *Member, s State) {
		if s == Down {
			return
		}
		_, _ = h.WriteString(m.Name)
		binary.LittleEndian.PutUint64(buf[0:], m.Incarnation)
		binary.LittleEndian.PutUint64(buf[8:], m.Serial)
		binary.LittleEndian.PutUint64(buf[16:], m.Config)
		buf[24] = 0
		if s == Suspect {
			buf[24] = 1
		}
		_, _ = h.Write(buf[:])
	})
	return max(1, h.Sum64())
}
