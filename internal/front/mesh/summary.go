package mesh

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"
)

type (
	// totals are sums over several fronts: requests in flight by upstream, requests admitted
	// recently by account, and what competes for limits and engines.
	totals struct {
		load, used map[ID]int
		demand     Demand
	}

	// Summary is the state of the other fronts at one moment.
	Summary struct {
		Alive    map[ID]Status // live fronts; see Status
		Unlisted []State       // of live fronts that are not in the PeerList, sorted by node
		Load     map[ID]int    // requests in flight at all of them, by upstream
		Used     map[ID]int    // requests admitted recently by all of them, by account
		Demand   Demand        // of all of them
		Fronts   int           // number of live fronts, this one included

		byDigest bool // all fronts in peers are alive but those in missing; Alive has those with flags
		peers    map[ID]peer
		missing  map[ID]bool
	}
)

// ReachesHalf reports whether at least half of so many other fronts are alive. A front
// that receives from fewer is partitioned itself, and can't tell which of them are down.
func (p Summary) ReachesHalf(others int) bool { return 2*(p.Fronts-1) >= others }

// Status returns the flags of another front, and whether it is alive.
func (p Summary) Status(id ID) (s Status, alive bool) {
	s, alive = p.Alive[id]
	if p.byDigest {
		_, alive = p.peers[id]
		alive = alive && !p.missing[id]
	}
	return s, alive
}

// Unhealthy returns the number of other live fronts that report a lost dependency.
func (p Summary) Unhealthy() (n int) {
	for _, s := range p.Alive {
		if s&Unhealthy != 0 {
			n++
		}
	}
	return n
}

// Summary returns the current state of the other fronts.
func (m *Mesh) Summary(now time.Time) (p Summary) {
	m.init()
	if m.hasDigest(now) {
		return m.digestSummary()
	}
	p.Alive = m.alive(now)
	all := m.total(now)
	p.Load, p.Used, p.Demand = all.load, all.used, all.demand
	p.Fronts = len(p.Alive) + 1
	for id, s := range m.liveShares(now) {
		if _, listed := m.peers[id]; !listed {
			p.Unlisted = append(p.Unlisted, s.State)
		}
	}
	for id, r := range m.liveReports(now) {
		if _, listed := m.peers[id]; !listed {
			p.Unlisted = append(p.Unlisted, r.State)
		}
	}
	slices.SortFunc(p.Unlisted, func(a, b State) int { return cmp.Compare(a.Node, b.Node) })
	return p
}

func (m *Mesh) digestSummary() (p Summary) {
	p.byDigest, p.peers, p.missing = true, m.peers, m.digest.missing
	p.Alive = make(map[ID]Status, len(m.digest.Leaving)+len(m.digest.Unhealthy))
	for _, id := range m.digest.Leaving {
		p.Alive[id] |= Leaving
	}
	for _, id := range m.digest.Unhealthy {
		p.Alive[id] |= Unhealthy
	}
	p.Load, p.Used, p.Demand = m.digest.Load, m.digest.Used, m.digest.Demand
	p.Fronts = m.digest.Fronts
	return p
}

// alive returns the other fronts with a live report or share, of their own or of their
// hub.
func (m *Mesh) alive(now time.Time) map[ID]Status {
	out := make(map[ID]Status, len(m.peers))
	for id, s := range m.liveShares(now) {
		maps.Copy(out, s.Group)
		out[id] = status(s.State)
	}
	for id, r := range m.liveReports(now) {
		out[id] = status(r.State)
	}
	delete(out, IDOf(m.Self.Node))
	return out
}

// total returns the totals of the other fronts.
func (m *Mesh) total(now time.Time) totals {
	out := newTotals()
	for _, s := range m.liveShares(now) {
		out.add(s.Load, s.Used, s.Demand)
	}
	m.addGroup(now, out)
	return out
}

func (m *Mesh) addGroup(now time.Time, total totals) {
	for _, r := range m.liveReports(now) {
		total.add(r.Load, r.Used, r.Demand)
	}
}

// liveShares returns the shares that have not expired.
func (m *Mesh) liveShares(now time.Time) iter.Seq2[ID, share] {
	longest := m.silenceTimeout()
	return filter(m.shares, func(s share) bool { return now.Sub(s.at) <= longest })
}

// liveReports returns the reports that have not expired.
func (m *Mesh) liveReports(now time.Time) iter.Seq2[ID, report] {
	return filter(m.reports, func(r report) bool { return now.Sub(r.at) <= reportTTL })
}

func filter[T any](all map[ID]T, keep func(T) bool) iter.Seq2[ID, T] {
	return func(yield func(ID, T) bool) {
		for id, v := range all {
			if keep(v) && !yield(id, v) {
				return
			}
		}
	}
}

func newTotals() totals {
	return totals{load: map[ID]int{}, used: map[ID]int{}, demand: newDemand()}
}

func (s totals) add(load, used map[ID]int, d Demand) {
	addCounts(s.load, load)
	addCounts(s.used, used)
	s.demand.add(d)
}

// ownState returns this front's state, as of its last tick, for a message that is sent now.
func (m *Mesh) ownState(now time.Time) State {
	s := m.own.State
	s.Sent = now.UnixNano()
	s.Age += now.Sub(m.lastTick).Milliseconds()
	return s
}

// shareWithHubs returns the share of this front and its group, addressed to the targets
// and to hubs that are not listed.
func (m *Mesh) shareWithHubs(now time.Time) (sends []Send) {
	all := newTotals()
	all.add(m.own.Load, m.own.Used, m.own.Demand)
	m.addGroup(now, all)
	s := Share{State: m.ownState(now), Load: all.load, Used: all.used, Demand: all.demand, Group: map[ID]Status{}, Hubs: m.unexpectedHubs()}
	for id, r := range m.liveReports(now) {
		s.Group[id] = status(r.State)
	}
	s.Cached = m.feed.takePending()
	for _, p := range m.targets {
		sends = append(sends, Send{To: p.Address, Message: s})
	}
	for _, o := range slices.SortedFunc(maps.Values(m.shares), func(a, b share) int { return cmp.Compare(a.State.Node, b.State.Node) }) {
		if _, listed := m.peers[IDOf(o.State.Node)]; !listed {
			sends = append(sends, Send{To: o.State.Peer, Message: s})
		}
	}
	return m.addPaces(sends)
}

// reportToHub returns the report to this front's hub, or to maxProbes of them while none
// answers.
func (m *Mesh) reportToHub(now time.Time) (sends []Send) {
	list := m.hubCandidates(m.Self)
	most := 1
	if now.Sub(m.digest.at) > probeAfter {
		most = maxProbes
	} else if len(list) > 0 {
		maps.DeleteFunc(m.awaiting, func(id ID, _ time.Time) bool { return id != list[0].id }) // probed hubs that need not answer any more
	}
	r := Report{State: m.ownState(now), Load: m.own.Load, Used: m.own.Used, Idle: m.own.Idle, Demand: m.own.Demand, Cached: m.own.Cached}
	for _, hub := range list[:min(most, len(list))] {
		if _, waiting := m.awaiting[hub.id]; !waiting {
			m.awaiting[hub.id] = now
		}
		sends = append(sends, Send{To: hub.Address, Message: r})
	}
	return m.addPaces(sends)
}

// announce returns digests to the silent fronts that would report to this one.
func (m *Mesh) announce(now time.Time) (sends []Send) {
	if m.fullMesh() || now.Sub(m.lastAnnounce) < announceInterval {
		return nil
	}
	m.lastAnnounce = now
	alive := m.alive(now)
	for _, p := range m.order {
		if _, live := alive[p.id]; live || m.isSelf(p) {
			continue
		}
		if hub, ok := m.hubFor(p.Peer); ok && m.isSelf(hub) {
			sends = append(sends, Send{To: p.Address, Message: m.digestFor(now, p.id)})
		}
	}
	return sends
}

// overview is the state of all fronts as a hub knows it at one moment.
type overview struct {
	totals

	at                          time.Time
	fronts                      int // live ones, this one included
	missing, leaving, unhealthy []ID
	reports                     map[ID]report // that the totals include
}

// overviewAt returns an overview that is at most overviewTTL old.
func (m *Mesh) overviewAt(now time.Time) *overview {
	if o := m.overview; o != nil && now.Sub(o.at) < overviewTTL {
		return o
	}
	alive := m.alive(now)
	o := &overview{totals: m.total(now), at: now, fronts: len(alive) + 1, reports: maps.Collect(m.liveReports(now))}
	for id := range m.peers {
		if _, ok := alive[id]; !ok {
			o.missing = append(o.missing, id)
		}
	}
	if minKnownDivisor*o.fronts <= len(m.order) {
		o.missing = nil // the digest is not accepted, for the same reason, and the list would be long
	}
	alive[IDOf(m.Self.Node)] = status(m.own.State)
	for id, status := range alive {
		if status&Leaving != 0 {
			o.leaving = append(o.leaving, id)
		}
		if status&Unhealthy != 0 {
			o.unhealthy = append(o.unhealthy, id)
		}
	}
	o.add(m.own.Load, m.own.Used, m.own.Demand)
	m.overview = o
	return o
}

// digestFor returns the digest for a front, without the counts of its own report.
func (m *Mesh) digestFor(now time.Time, to ID) Digest {
	o := m.overviewAt(now)
	d := Digest{State: m.ownState(now), Fronts: o.fronts, Missing: o.missing, Leaving: o.leaving, Unhealthy: o.unhealthy}
	known := o.reports[to]
	d.Used = without(o.used, known.Used)
	d.Demand = o.demand.without(known.Demand)
	if r, reports := m.reports[to]; !reports || !r.Idle {
		d.Load = without(o.load, known.Load)
		d.Paces = m.selectPaces(now)
	}
	return d
}

// without returns the counts less the given ones.
func without(counts, less map[ID]int) map[ID]int {
	out := maps.Clone(counts)
	for id, n := range less {
		if out[id] -= n; out[id] <= 0 {
			delete(out, id)
		}
	}
	return out
}
