package swim

import (
	"slices"
	"time"
)

const (
	memberUpdate kind = 0 // a daemon's words or a claim
	configUpdate kind = 1 // its configuration

	memberSendFactor = 2   // of the logarithm: how often life news is sent
	configSends      = 8   // how often a mark is sent; comparisons repair the rest
	updateBytes      = 900 // bytes of news in one packet, roughly
	maxUpdates       = 24

	memberCost = 34 // bytes besides its texts and shards
	shardCost  = 6
	claimCost  = 20
	markCost   = 16
)

type (
	kind int

	updateKey struct {
		name string
		kind kind
	}

	// item is one thing to pass on. What is sent is what is known when it is.
	update struct {
		updateKey
		sends int
	}

	// news is what others may not know yet, the least often sent first.
	updates struct {
		entries []*update
		index   map[updateKey]*update
	}
)

// add makes news of something that changed.
func (u *updates) add(name string, k kind) {
	s := updateKey{name, k}
	if known := u.index[s]; known != nil {
		known.sends = 0
		return
	}
	if u.index == nil {
		u.index = map[updateKey]*update{}
	}
	u.index[s] = &update{updateKey: s}
	u.entries = append(u.entries, u.index[s])
}

// remove drops the items that a test picks.
func (u *updates) remove(match func(*update) bool) {
	u.entries = slices.DeleteFunc(u.entries, func(i *update) bool {
		if !match(i) {
			return false
		}
		delete(u.index, i.updateKey)
		return true
	})
}

// send completes a packet and sends it.
func (ms *Membership) send(now time.Time, to string, p Packet, out *effects) {
	p.From = ms.self.Peer
	p.Age = ms.StoreAge(now)
	p.Head = ms.self.Config
	ms.addReceiverClaim(to, &p)
	if !p.Full {
		ms.addUpdates(&p)
	}
	out.add(Send{To: to, Packet: p})
}

// addClaimOf tells the receiver what is claimed of itself.
func (ms *Membership) addReceiverClaim(peer string, p *Packet) {
	r := ms.records[ms.byPeer[peer]]
	if r != nil && r.claim != "" {
		p.Claims = append(p.Claims, r.toClaim())
	}
}

// fill adds news up to the size of a packet.
func (ms *Membership) addUpdates(p *Packet) {
	entries := ms.updates.entries
	slices.SortStableFunc(entries, func(x, y *update) int {
		if x.kind != y.kind {
			return int(x.kind - y.kind)
		}
		return x.sends - y.sends
	})
	room, count := updateBytes, 0
	for i := range entries {
		if room <= 0 || count == maxUpdates {
			break
		}
		room -= ms.addUpdate(entries[i], p)
		entries[i].sends++
		count++
	}
	limit := memberSendFactor * ms.spreadRounds()
	ms.updates.remove(func(i *update) bool {
		return i.sends >= limit || (i.kind == configUpdate && i.sends >= configSends)
	})
}

// put adds one item and returns its size.
func (ms *Membership) addUpdate(i *update, p *Packet) int {
	m, r := ms.self, ms.records[i.name]
	if i.name != ms.self.Name {
		if r == nil {
			return 0
		}
		m = r.reported
	}
	if i.kind == configUpdate {
		p.Marks = append(p.Marks, Mark{Name: m.Name, Incarnation: m.Incarnation, Config: m.Config})
		return markCost + len(m.Name)
	}
	if r != nil && r.claim != "" {
		p.Claims = append(p.Claims, r.toClaim())
		return claimCost + len(m.Name)
	}
	p.News = append(p.News, m)
	return memberCost + len(m.Name) + len(m.FailureDomain) + shardCost*len(m.Shards)
}
