package beat

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// take merges a packet and answers it.
func (b *Beat) take(now time.Time, p Packet, out *effects) {
	if b.self.Name == "" || p.From == b.self.Peer {
		return
	}
	if b.Alone(now) {
		b.healed = now
	}
	b.heard = now
	if p.Age >= 0 {
		b.reached = latest(b.reached, now.Add(-p.Age))
	}
	for _, m := range p.News {
		b.takeWords(now, m, out)
	}
	for _, c := range p.Claims {
		b.takeClaim(now, c, out)
	}
	for _, m := range p.Marks {
		b.takeMark(now, m, out)
	}
	b.takeHead(now, p, out)
	b.takeAck(now, p, out)
	b.answer(now, p, out)
}

// takeWords takes what a daemon said of itself. Whoever made a packet without
// Claims may have put a claim in the State.
func (b *Beat) takeWords(now time.Time, m Member, out *effects) {
	if m.State == Suspect {
		b.takeClaim(now, Claim{Name: m.Name, Incarnation: m.Incarnation, Serial: m.Serial, State: m.State}, out)
		return
	}
	if m.Name == b.self.Name {
		b.defend(now, m.Incarnation, m.Serial, false, out)
		return
	}
	r := b.records[m.Name]
	switch {
	case r == nil:
		b.admit(now, m, out)
		return
	case m.Incarnation < r.words.Incarnation:
		return
	case m.Incarnation == r.words.Incarnation && m.Serial <= r.words.Serial:
		return
	}
	if m.Incarnation == r.words.Incarnation {
		m.Config = max(m.Config, r.words.Config)
	}
	restarted := m.Incarnation > r.words.Incarnation
	if r.claim == Down && !restarted {
		b.healed = now
	}
	if restarted || m.Serial > r.serial {
		r.claim = ""
	}
	b.setPeer(now, m, r.words.Peer, out)
	r.words = m
	if m.State == Down {
		r.since = now
	}
	b.tell(now, r, out)
}

// admit adds a daemon that was not known.
func (b *Beat) admit(now time.Time, m Member, out *effects) {
	if m.State == Down {
		return
	}
	r := &record{words: m}
	b.records[m.Name] = r
	i, _ := slices.BinarySearch(b.names, m.Name)
	b.names = slices.Insert(b.names, i, m.Name)
	// The place in the ring is random, so that a newcomer is not probed by
	// all at once.
	at := 0
	if len(b.ring) > 0 {
		at = b.rng.IntN(len(b.ring))
	}
	b.ring = slices.Insert(b.ring, at, m.Name)
	b.setPeer(now, m, "", out)
	b.tell(now, r, out)
}

// setPeer notes whose a peer address is. Where a daemon was replaced by one
// with another name at the same address, the new one would answer the probes
// meant for the old one, which would live on for ever.
func (b *Beat) setPeer(now time.Time, m Member, before string, out *effects) {
	if before != m.Peer && b.byPeer[before] == m.Name {
		delete(b.byPeer, before)
	}
	other := b.records[b.byPeer[m.Peer]]
	if other != nil && other.words.Name != m.Name {
		if other.words.Incarnation > m.Incarnation {
			return
		}
		b.accuse(now, other, Down, other.words.Serial, out)
	}
	b.byPeer[m.Peer] = m.Name
}

func (b *Beat) forget(name string) {
	peer := b.records[name].words.Peer
	if b.byPeer[peer] == name {
		delete(b.byPeer, peer)
	}
	delete(b.records, name)
	b.news.remove(func(i *item) bool { return i.name == name })
	i, _ := slices.BinarySearch(b.names, name)
	b.names = slices.Delete(b.names, i, i+1)
}

// takeClaim takes what another says of a daemon. Down is believed at once only
// of a daemon that was suspected here before; otherwise it gets the time to
// refute. When two halves of the fleet meet again, each holds the other for
// down, and would believe that even of itself.
func (b *Beat) takeClaim(now time.Time, c Claim, out *effects) {
	if c.Name == b.self.Name {
		b.defend(now, c.Incarnation, c.Serial, true, out)
		return
	}
	r := b.records[c.Name]
	if r == nil || c.Incarnation != r.words.Incarnation || c.Serial < r.words.Serial {
		return
	}
	if r.words.State == Down {
		return
	}
	if r.claim == "" {
		c.State = Suspect
	}
	b.accuse(now, r, c.State, c.Serial, out)
}

// accuse sets a claim, unless a stronger one holds.
func (b *Beat) accuse(now time.Time, r *record, claim State, serial uint64, out *effects) {
	if r.claim == Down || r.claim == claim {
		r.serial = max(r.serial, serial)
		return
	}
	r.claim = claim
	r.serial = max(serial, r.words.Serial)
	r.since = now
	b.tell(now, r, out)
}

// defend outbids what is said of this daemon itself: a claim, or an older life
// of the same name that had a faster clock.
func (b *Beat) defend(now time.Time, incarnation, serial uint64, claimed bool, out *effects) {
	switch {
	case incarnation > b.self.Incarnation:
		b.self.Incarnation = incarnation + 1
	case incarnation < b.self.Incarnation:
		return
	case serial > b.self.Serial || (claimed && serial == b.self.Serial):
		b.self.Serial = serial + 1
	default:
		return
	}
	b.news.add(b.self.Name, lifeNews)
	b.push(now, out)
}

func (b *Beat) takeMark(now time.Time, m Mark, out *effects) {
	r := b.records[m.Name]
	if r == nil || r.words.Incarnation != m.Incarnation || r.words.Config >= m.Config {
		return
	}
	r.words.Config = m.Config
	b.settled = now
	b.news.add(m.Name, markNews)
	out.add(Changed{Member: r.member()})
}

// takeHead learns which configuration the sender has in force. A fetch may
// fail, so a newer one is told of again from other senders.
func (b *Beat) takeHead(now time.Time, p Packet, out *effects) {
	if r := b.records[b.byPeer[p.From]]; r != nil {
		b.takeMark(now, Mark{Name: r.words.Name, Incarnation: r.words.Incarnation, Config: p.Head}, out)
	}
	if p.Head <= b.self.Config {
		return
	}
	if p.Head <= b.newest && now.Sub(b.newerAt) < Interval {
		return
	}
	b.newest = max(b.newest, p.Head)
	b.newerAt = now
	out.add(Newer{Version: p.Head, From: p.From})
}

// tell passes on what changed. A daemon that hears nobody at all keeps its
// claims to itself: it is itself what is cut off, and what it could still send
// would make all others refute.
func (b *Beat) tell(now time.Time, r *record, out *effects) {
	if !b.Alone(now) {
		b.news.add(r.words.Name, lifeNews)
	}
	out.add(Changed{Member: r.member()})
}

// takeAck ends the probe that was answered, or passes the answer on.
func (b *Beat) takeAck(now time.Time, p Packet, out *effects) {
	if p.Ack == 0 {
		return
	}
	from := p.From
	if p.For != "" {
		from = p.For
	}
	b.probes = slices.DeleteFunc(b.probes, func(q probe) bool {
		return q.round == p.Ack && b.records[q.name] != nil && b.records[q.name].words.Peer == from
	})
	for _, h := range b.helps {
		if h.round == p.Ack && h.about == p.From {
			b.send(now, h.to, Packet{Ack: h.ack, For: h.about}, out)
		}
	}
}

func (b *Beat) answer(now time.Time, p Packet, out *effects) {
	switch {
	case p.Ask != "":
		b.round++
		b.helps = append(b.helps, help{round: b.round, to: p.From, ack: p.Round, about: p.Ask})
		b.send(now, p.Ask, Packet{Round: b.round}, out)
	case p.Full && p.Round != 0, p.Digest != 0 && p.Digest != b.digest():
		b.sendAll(now, p, out)
	case p.Round != 0:
		b.send(now, p.From, Packet{Ack: p.Round}, out)
	}
}

// sendAll answers with the whole picture, in packets of bounded size. A sender
// whose digest differs, or who isn't known here, is asked for its own.
func (b *Beat) sendAll(now time.Time, p Packet, out *effects) {
	first := Packet{Ack: p.Round, Full: true}
	if p.Digest != 0 {
		b.round++
		first.Round = b.round
	}
	all, claims := []Member{b.self}, []Claim(nil)
	for _, name := range b.names {
		r := b.records[name]
		if r.state() == Down {
			continue
		}
		all = append(all, r.words)
		if r.claim != "" {
			claims = append(claims, r.asClaim())
		}
	}
	first.Claims = claims[:min(len(claims), fullMembers)]
	for chunk := range slices.Chunk(all, fullMembers) {
		first.News = chunk
		b.send(now, p.From, first, out)
		first = Packet{Full: true}
	}
}

func (r *record) asClaim() Claim {
	return Claim{Name: r.words.Name, Incarnation: r.words.Incarnation, Serial: r.serial, State: r.claim}
}

// digest sums up all that is held of daemons that are not down.
func (b *Beat) digest() uint64 {
	h := xxhash.New()
	var buf [25]byte
	b.each(func(m *Member, s State) {
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
