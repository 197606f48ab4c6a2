package swim

import (
	"slices"
	"time"
)

const (
	memberUpdate kind = 0 // a daemon's own entry or a claim
	configUpdate kind = 1 // its configuration version

	memberSendFactor = 2   // times spreadTicks: how often an update is sent
	configSends      = 8   // how often a Mark is sent at most; digest comparisons repair the rest
	updateBytes      = 900 // of updates in one packet, approximate
	maxUpdates       = 24  // in one packet

	// Approximate encoded sizes in bytes, without names and failure domains.
	memberCost = 34 // without shards
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

	// update is one change to pass on. Its content is looked up when it is sent.
	update struct {
		updateKey
		sends int
	}

	// updates is the dissemination queue. Member updates are sent before
	// configuration updates, and within a kind those sent less often first.
	updates struct {
		entries []*update
		index   map[updateKey]*update
	}
)

// add queues an update; one that is already queued starts over.
func (u *updates) add(name string, k kind) {
	key := updateKey{name, k}
	if known := u.index[key]; known != nil {
		known.sends = 0
		return
	}
	if u.index == nil {
		u.index = map[updateKey]*update{}
	}
	u.index[key] = &update{updateKey: key}
	u.entries = append(u.entries, u.index[key])
}

// remove drops the updates that match.
func (u *updates) remove(match func(*update) bool) {
	u.entries = slices.DeleteFunc(u.entries, func(e *update) bool {
		if !match(e) {
			return false
		}
		delete(u.index, e.updateKey)
		return true
	})
}

// send sends a packet after adding the store age, the configuration version, a
// claim against the receiver if there is one, and queued updates unless the
// packet is Full.
func (ms *Membership) send(now time.Time, to string, p Packet, out *effects) {
	p.From = ms.self.Peer
	p.Age, p.Call = ms.StoreAge(now), ms.lastCall
	p.Head = ms.self.Config
	ms.addReceiverClaim(to, &p)
	if !p.Full {
		ms.addUpdates(&p)
	}
	out.add(Send{To: to, Packet: p})
}

// addReceiverClaim adds a claim against the receiver itself, so that it can
// refute it.
func (ms *Membership) addReceiverClaim(peer string, p *Packet) {
	r := ms.records[ms.byPeer[peer]]
	if r != nil && r.claim != "" {
		p.Claims = append(p.Claims, r.toClaim())
	}
}

// addUpdates adds queued updates up to the limits of a packet and drops those
// that have been sent often enough.
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
	limit := memberSendFactor * ms.spreadTicks()
	ms.updates.remove(func(i *update) bool {
		return i.sends >= limit || (i.kind == configUpdate && i.sends >= configSends)
	})
}

// addUpdate adds one update and returns its approximate size in bytes.
func (ms *Membership) addUpdate(u *update, p *Packet) int {
	m, r := ms.self, ms.records[u.name]
	if u.name != ms.self.Name {
		if r == nil {
			return 0
		}
		m = r.reported
	}
	if u.kind == configUpdate {
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
