package mesh

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"
)

type (
	// sums are what several fronts have under way and let in together.
	sums struct{ load, used map[ID]int }

	// Picture is what is known of the other fronts at one moment.
	Picture struct {
		Alive    map[ID]Mark
		Unlisted []State    // of those heard of that are not listed, by name
		Load     map[ID]int // what all of them have under way, by upstream
		Used     map[ID]int // what all of them let in lately, by account
		Fronts   int        // that are alive, this one included
	}
)

// Trusted tells whether at least half of so many others are heard of. Who hears fewer
// is cut off itself, and can't tell which of them are gone.
func (p Picture) Trusted(others int) bool { return 2*(p.Fronts-1) >= others }

// Picture returns what is known now.
func (m *Mesh) Picture(now time.Time) (p Picture) {
	m.init()
	if m.told(now) {
		return m.toldPicture()
	}
	p.Alive = m.alive(now)
	all := m.sum(now, 0)
	p.Load, p.Used = all.load, all.used
	p.Fronts = len(p.Alive) + 1
	for id, s := range m.hubsHeard(now) {
		if _, listed := m.peers[id]; !listed {
			p.Unlisted = append(p.Unlisted, s.State)
		}
	}
	for id, r := range m.followers(now) {
		if _, listed := m.peers[id]; !listed {
			p.Unlisted = append(p.Unlisted, r.State)
		}
	}
	slices.SortFunc(p.Unlisted, func(a, b State) int { return cmp.Compare(a.Node, b.Node) })
	return p
}

func (m *Mesh) toldPicture() (p Picture) {
	p.Alive = make(map[ID]Mark, len(m.peers))
	for id := range m.peers {
		if !m.digest.missing[id] {
			p.Alive[id] = 0
		}
	}
	for _, id := range m.digest.Leaving {
		p.Alive[id] |= Leaving
	}
	for _, id := range m.digest.Unwell {
		p.Alive[id] |= Unwell
	}
	p.Load, p.Used = m.digest.Load, m.digest.Used
	p.Fronts = m.digest.Fronts
	return p
}

// alive returns the other fronts of which something was heard lately, from
// themselves or through their hubs.
func (m *Mesh) alive(now time.Time) map[ID]Mark {
	out := make(map[ID]Mark, len(m.peers))
	for id, s := range m.hubsHeard(now) {
		maps.Copy(out, s.Group)
		out[id] = mark(s.State)
	}
	for id, r := range m.followers(now) {
		out[id] = mark(r.State)
	}
	delete(out, IDOf(m.Self.Node))
	return out
}

// sum returns what other fronts have under way and let in, but for one.
func (m *Mesh) sum(now time.Time, but ID) sums {
	out := newSums()
	for _, s := range m.hubsHeard(now) {
		out.add(s.Load, s.Used)
	}
	m.addGroup(now, out, but)
	return out
}

func (m *Mesh) addGroup(now time.Time, sum sums, but ID) {
	for id, r := range m.followers(now) {
		if id != but {
			sum.add(r.Load, r.Used)
		}
	}
}

// hubsHeard are the shares that count now.
func (m *Mesh) hubsHeard(now time.Time) iter.Seq2[ID, share] {
	longest := m.silent()
	return fresh(m.shares, func(s share) bool { return now.Sub(s.at) <= longest })
}

// followers are the reports that count now.
func (m *Mesh) followers(now time.Time) iter.Seq2[ID, report] {
	return fresh(m.reports, func(r report) bool { return now.Sub(r.at) <= followAge })
}

func fresh[T any](all map[ID]T, counts func(T) bool) iter.Seq2[ID, T] {
	return func(yield func(ID, T) bool) {
		for id, v := range all {
			if counts(v) && !yield(id, v) {
				return
			}
		}
	}
}

func newSums() sums { return sums{load: map[ID]int{}, used: map[ID]int{}} }

func (s sums) add(load, used map[ID]int) {
	for id, n := range load {
		s.load[id] += n
	}
	for id, n := range used {
		s.used[id] += n
	}
}

// tellHubs shares this front's group with the other hubs.
func (m *Mesh) tellHubs(now time.Time) (sends []Send) {
	all := newSums()
	all.add(m.own.Load, m.own.Used)
	m.addGroup(now, all, 0)
	s := Share{State: m.own.State, Load: all.load, Used: all.used, Group: map[ID]Mark{}, Hubs: m.standIns()}
	for id, r := range m.followers(now) {
		s.Group[id] = mark(r.State)
	}
	s.State.Sent = now.UnixNano()
	for _, p := range m.targets {
		sends = append(sends, Send{To: p.Address, Message: s})
	}
	for _, o := range slices.SortedFunc(maps.Values(m.shares), func(a, b share) int { return cmp.Compare(a.State.Node, b.State.Node) }) {
		if _, listed := m.peers[IDOf(o.State.Node)]; !listed {
			sends = append(sends, Send{To: o.State.Peer, Message: s})
		}
	}
	return sends
}

// tellHub reports to this front's hub, or to a few while none answers.
func (m *Mesh) tellHub(now time.Time) (sends []Send) {
	list := m.preferred(m.Self)
	most := 1
	if now.Sub(m.digest.at) > seekAfter {
		most = seekMost
	} else if len(list) > 0 {
		maps.DeleteFunc(m.asked, func(id ID, _ time.Time) bool { return id != list[0].id }) // another one answered first
	}
	r := Report{State: m.own.State, Load: m.own.Load, Used: m.own.Used}
	r.State.Sent = now.UnixNano()
	for _, hub := range list[:min(most, len(list))] {
		if _, waiting := m.asked[hub.id]; !waiting {
			m.asked[hub.id] = now
		}
		sends = append(sends, Send{To: hub.Address, Message: r})
	}
	return sends
}

// greet tells the silent fronts that would report to this one.
func (m *Mesh) greet(now time.Time) (sends []Send) {
	if m.together() || now.Sub(m.greeted) < greetPause {
		return nil
	}
	m.greeted = now
	alive := m.alive(now)
	for _, p := range m.order {
		if _, is := alive[p.id]; is || m.isSelf(p) {
			continue
		}
		if hub, ok := m.choose(p.Peer); ok && m.isSelf(hub) {
			sends = append(sends, Send{To: p.Address, Message: m.digestFor(now, p.id)})
		}
	}
	return sends
}

// digestFor returns what a front that reported is told.
func (m *Mesh) digestFor(now time.Time, to ID) Digest {
	alive := m.alive(now)
	all := m.sum(now, to)
	all.add(m.own.Load, m.own.Used)
	d := Digest{State: m.own.State, Load: all.load, Used: all.used, Fronts: len(alive) + 1}
	d.State.Sent = now.UnixNano()
	for id := range m.peers {
		if _, is := alive[id]; !is {
			d.Missing = append(d.Missing, id)
		}
	}
	alive[IDOf(m.Self.Node)] = mark(m.own.State)
	for id, mark := range alive {
		if mark&Leaving != 0 {
			d.Leaving = append(d.Leaving, id)
		}
		if mark&Unwell != 0 {
			d.Unwell = append(d.Unwell, id)
		}
	}
	return d
}
