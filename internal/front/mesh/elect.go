package mesh

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

func (m *Mesh) isSelf(p peer) bool { return p.Node == m.Self.Node }

// fullMesh reports whether all fronts send to each other directly.
func (m *Mesh) fullMesh() bool { return len(m.peers) < FullMeshMax }

// elect determines the hubs and the targets of this front's shares. The first of each
// failure domain in hub order remain targets even while they are silent, or two halves of a
// partition would never reconnect; their replacements act as hubs meanwhile.
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
	m.addUnexpectedHubs(now)
	m.targets = slices.DeleteFunc(m.targets, m.isSelf)
	slices.SortFunc(m.hubs, func(a, b peer) int { return cmp.Compare(a.id, b.id) })
}

// addUnexpectedHubs adds to the targets the fronts that others treat as hubs. Fronts that
// lost their hubs at different times may choose different replacements. Each replacement
// sends its share to at least the first fronts in hub order, and these list it in
// Share.Hubs, so that all hubs get to know it.
func (m *Mesh) addUnexpectedHubs(now time.Time) {
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
	if len(more) == 0 {
		return
	}
	for _, p := range m.order {
		if more[p.id] {
			m.targets = append(m.targets, p)
		}
	}
}

// unexpectedHubs returns the fronts that act as hubs, with a group of their own, but are
// not hubs in this front's view, so that other hubs may not know them either.
func (m *Mesh) unexpectedHubs() (ids []ID) {
	for id, s := range m.shares {
		if len(s.Group) > 0 && !slices.ContainsFunc(m.hubs, func(p peer) bool { return p.id == id }) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// byHubOrder orders fronts by failure domain, and there by processor cores, the most first:
// hubs receive 20 to 40 times as many datagrams as other fronts.
func byHubOrder(a, b peer) int {
	return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.id, b.id))
}

// groupSize is the number of fronts per hub.
func (m *Mesh) groupSize() int {
	n := len(m.order)
	hubs := max(maxHubs, int(math.Sqrt(float64(n))))
	return max(maxGroup, (n+hubs-1)/hubs)
}

// firstOfDomains returns the first eligible fronts of each failure domain in hub order: one
// for each group of the domain, and at least minHubs.
func (m *Mesh) firstOfDomains(eligible func(peer) bool) (out []peer) {
	group := m.groupSize()
	for _, domain := range m.domains {
		want := max(minHubs, (len(domain)+group-1)/group)
		for _, p := range domain {
			if want == 0 {
				break
			}
			if eligible(p) {
				want--
				out = append(out, p)
			}
		}
	}
	return out
}

// byDomain splits fronts in hub order into those of each failure domain.
func byDomain(order []peer) (domains [][]peer) {
	for len(order) > 0 {
		n := slices.IndexFunc(order, func(p peer) bool { return p.Domain != order[0].Domain })
		if n < 0 {
			n = len(order)
		}
		domains = append(domains, order[:n:n])
		order = order[n:]
	}
	return domains
}

// isReplaced reports whether another front acts as hub in place of p: if p did not answer
// this front's reports, or if a recent digest lists it as missing. It is not enough that this
// front has received nothing from p: hubs that have just started or resumed have received
// nothing from anyone. If each of them considered all others down, all fronts would send to
// each other directly again.
func (m *Mesh) isReplaced(now time.Time, p peer) bool {
	if m.isSelf(p) {
		return false
	}
	if _, avoid := m.avoid[p.id]; avoid {
		return true
	}
	return now.Sub(p.knownSince) >= settleTime && now.Sub(m.resumed) >= settleTime && m.hasDigest(now) && m.digest.missing[p.id]
}

// hasDigest reports whether the state of other fronts comes from a recent digest. A front
// that has just become a hub itself uses its last digest for two report intervals, until
// it has received the state of the others.
func (m *Mesh) hasDigest(now time.Time) bool {
	longest := digestTTL
	if m.isHub {
		longest = 2 * reportInterval
	}
	return !m.digest.at.IsZero() && now.Sub(m.digest.at) <= longest
}

// hubFor returns the hub that a front reports to: one of its failure domain if there is
// any, chosen by a hash so that the fronts spread over the hubs.
func (m *Mesh) hubFor(front Peer) (hub peer, ok bool) {
	if list := m.hubCandidates(front); len(list) > 0 {
		return list[0], true
	}
	return hub, false
}

// hubCandidates returns the hubs that a front may report to, the preferred one first.
//
// Normally these are the hubs of its own failure domain. If a hub did not answer and no
// digest has confirmed yet that it is down, the hubs of all domains are candidates: all hubs
// of a domain may be frozen, and trying them one by one takes answerTimeout, half a second,
// for each. The digest of any hub that answers lists those that are down.
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

// prune drops expired reports and shares, and avoids hubs that have not answered within
// answerTimeout. A hub is no longer avoided after avoidFor, or once a digest no longer lists
// it as missing after one that did.
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

// HubPlace is the index of this front among the hubs, whether they are alive or not, and
// whether it is one of them.
func (m *Mesh) HubPlace() (place int, isHub bool) {
	place = slices.IndexFunc(m.hubs, m.isSelf)
	return place, place >= 0
}

// hears reports whether another front has sent a report or a share that is still live, or
// reports to a hub that has.
func (m *Mesh) hears(now time.Time, id ID) bool {
	if r, found := m.reports[id]; found && now.Sub(r.at) <= reportTTL {
		return true
	}
	longest := m.silenceTimeout()
	if s, found := m.shares[id]; found && now.Sub(s.at) <= longest {
		return true
	}
	for _, s := range m.shares {
		if _, found := s.Group[id]; found && now.Sub(s.at) <= longest {
			return true
		}
	}
	return false
}

// Rank is the position of this front, from 0, in the order in which fronts read the store:
// hubs first, since they send the result to all others. For a hub it is the number of live
// hubs before it, for another front the number of hubs plus that of listed fronts with a
// smaller ID.
func (m *Mesh) Rank(now time.Time) int {
	self := IDOf(m.Self.Node)
	if i := slices.IndexFunc(m.hubs, m.isSelf); i >= 0 {
		n := 0
		for _, p := range m.hubs[:i] {
			if m.hears(now, p.id) {
				n++
			}
		}
		return n
	}
	n := len(m.hubs)
	for id := range m.peers {
		if id < self {
			n++
		}
	}
	return n
}
