package mesh

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

func (m *Mesh) isSelf(p peer) bool { return p.Node == m.Self.Node }

// together tells whether all fronts tell each other.
func (m *Mesh) fullMesh() bool { return len(m.peers) < FullMeshMax }

// elect works out who is a hub. The first in order of each failure domain are
// told as hubs even while nothing is heard of them, or two halves that were cut
// apart would never hear of each other again; those that stand in for them act.
func (m *Mesh) elect(now time.Time) {
	m.prune(now)
	m.hubs, m.targets, m.isHub = nil, nil, false
	if m.fullMesh() {
		m.hubs = slices.Clone(m.order)
	} else {
		m.hubs = m.firstOfDomains(func(p peer) bool { return !m.isReplaced(now, p) })
		m.targets = m.firstOfDomains(func(peer) bool { return true })
	}
	for _, p := range m.hubs {
		if !slices.Contains(m.targets, p) {
			m.targets = append(m.targets, p)
		}
	}
	m.isHub = slices.ContainsFunc(m.hubs, m.isSelf) || len(m.reports) > 0
	m.addActingHubs(now)
	m.targets = slices.DeleteFunc(m.targets, m.isSelf)
	slices.SortFunc(m.hubs, func(a, b peer) int { return cmp.Compare(a.id, b.id) })
}

// addStandIns has those told that act as hubs in the eyes of others. Fronts that lost
// their hubs at different moments come to different ones; each of these tells at least
// the first in order, who tell the rest of it.
func (m *Mesh) addActingHubs(now time.Time) {
	more := map[ID]bool{}
	for id, s := range m.liveShares(now) {
		if len(s.Group) > 0 {
			more[id] = true
		}
		for _, id := range s.Hubs {
			more[id] = true
		}
	}
	for _, p := range m.targets {
		delete(more, p.id)
	}
	delete(more, IDOf(m.Self.Node))
	for _, p := range m.order {
		if more[p.id] {
			m.targets = append(m.targets, p)
		}
	}
}

// standIns are the hubs heard that not every hub knows of.
func (m *Mesh) actingHubs() (ids []ID) {
	for id, s := range m.shares {
		if len(s.Group) > 0 && !slices.ContainsFunc(m.hubs, func(p peer) bool { return p.id == id }) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// inOrder has the VMs with the most processor first: hubs take ten times as many
// datagrams as others.
func byRank(a, b peer) int {
	return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.id, b.id))
}

// first returns so many of each failure domain as its size asks for.
func (m *Mesh) firstOfDomains(eligible func(peer) bool) (out []peer) {
	size := map[string]int{}
	for _, p := range m.order {
		size[p.Domain]++
	}
	taken := map[string]int{}
	for _, p := range m.order {
		if taken[p.Domain] < max(minHubs, (size[p.Domain]+maxGroup-1)/maxGroup) && eligible(p) {
			taken[p.Domain]++
			out = append(out, p)
		}
	}
	return out
}

// down tells whether another front stands in for this one as a hub. That is for its
// followers to say, who hear of all fronts: they report to the next in order, and
// whoever gets a report is a hub. A hub that has just started or woken hears of nobody; if
// it took all others for gone, and each of them did, all would tell each other directly
// again.
func (m *Mesh) isReplaced(now time.Time, p peer) bool {
	if m.isSelf(p) {
		return false
	}
	if _, avoid := m.avoid[p.id]; avoid {
		return true
	}
	return now.Sub(p.knownSince) >= settleTime && now.Sub(m.resumed) >= settleTime && m.hasDigest(now) && m.digest.missing[p.id]
}

// told tells whether what is known comes from a hub. One that has just become a hub
// itself goes by that until the others have told it of theirs.
func (m *Mesh) hasDigest(now time.Time) bool {
	longest := digestTTL
	if m.isHub {
		longest = 2 * reportInterval
	}
	return !m.digest.at.IsZero() && now.Sub(m.digest.at) <= longest
}

// choose returns the hub that a front reports to: one of its failure domain if
// there is any, each front another one.
//
// While a hub gives no answer and nobody has said that it is gone, one of any failure
// domain will do. All hubs of a domain may be frozen, and half a second goes by with
// each that is tried; one that answers tells which of them are there.
func (m *Mesh) hubFor(front Peer) (hub peer, ok bool) {
	if list := m.hubCandidates(front); len(list) > 0 {
		return list[0], true
	}
	return hub, false
}

// preferred returns the hubs that a front may report to, the best first.
func (m *Mesh) hubCandidates(front Peer) (list []peer) {
	sameDomain := slices.ContainsFunc(m.hubs, func(p peer) bool { return p.Domain == front.Domain })
	for _, a := range m.avoid {
		sameDomain = sameDomain && a.confirmedDown
	}
	weight := map[ID]uint64{}
	for _, p := range m.hubs {
		if sameDomain && p.Domain != front.Domain {
			continue
		}
		weight[p.id] = xxhash.Sum64String(front.Node + "\x00" + p.Node)
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b peer) int { return cmp.Compare(weight[b.id], weight[a.id]) })
	return list
}

// prune drops what is too old to count.
func (m *Mesh) prune(now time.Time) {
	m.reports = maps.Collect(m.liveReports(now))
	m.shares = maps.Collect(m.liveShares(now))
	for id, a := range m.avoid {
		missing := m.hasDigest(now) && m.digest.missing[id]
		if !now.Before(a.until) || a.confirmedDown && !missing && m.hasDigest(now) {
			delete(m.avoid, id)
			continue
		}
		a.confirmedDown = a.confirmedDown || missing
		m.avoid[id] = a
	}
	for id, since := range m.awaiting {
		if now.Sub(since) > answerTimeout {
			delete(m.awaiting, id)
			m.avoid[id] = avoided{until: now.Add(avoidFor)}
		}
	}
}

// Rank is how many fronts come before this one in the order in which they look at
// the store: hubs first, since all others hear from them.
func (m *Mesh) Rank(now time.Time) int {
	self := IDOf(m.Self.Node)
	if i := slices.IndexFunc(m.hubs, m.isSelf); i >= 0 {
		alive := m.alive(now)
		return len(slices.DeleteFunc(slices.Clone(m.hubs[:i]), func(p peer) bool {
			_, is := alive[p.id]
			return !is
		}))
	}
	n := len(m.hubs)
	for id := range m.peers {
		if id < self {
			n++
		}
	}
	return n
}
