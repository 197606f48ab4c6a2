package beat

import (
	"slices"
	"time"
)

const (
	lifeNews kind = 0 // a daemon's words or a claim
	markNews kind = 1 // its configuration

	lifeTimes = 2   // of the logarithm: how often life news is sent
	markTimes = 8   // how often a mark is sent; comparisons repair the rest
	newsRoom  = 900 // bytes of news in one packet, roughly
	maxItems  = 24

	memberCost = 34 // bytes besides its texts and shards
	shardCost  = 6
	claimCost  = 20
	markCost   = 16
)

type (
	kind int

	subject struct {
		name string
		kind kind
	}

	// item is one thing to pass on. What is sent is what is known when it is.
	item struct {
		subject
		sent int
	}

	// news is what others may not know yet, the least often sent first.
	news struct {
		items []*item
		index map[subject]*item
	}
)

// add makes news of something that changed.
func (n *news) add(name string, k kind) {
	s := subject{name, k}
	if known := n.index[s]; known != nil {
		known.sent = 0
		return
	}
	if n.index == nil {
		n.index = map[subject]*item{}
	}
	n.index[s] = &item{subject: s}
	n.items = append(n.items, n.index[s])
}

// remove drops the items that a test picks.
func (n *news) remove(pick func(*item) bool) {
	n.items = slices.DeleteFunc(n.items, func(i *item) bool {
		if !pick(i) {
			return false
		}
		delete(n.index, i.subject)
		return true
	})
}

// send completes a packet and sends it.
func (b *Beat) send(now time.Time, to string, p Packet, out *effects) {
	p.From = b.self.Peer
	p.Age = b.StoreAge(now)
	p.Head = b.self.Config
	b.addClaimOf(to, &p)
	if !p.Full {
		b.fill(&p)
	}
	out.add(Send{To: to, Packet: p})
}

// addClaimOf tells the receiver what is claimed of itself.
func (b *Beat) addClaimOf(peer string, p *Packet) {
	r := b.records[b.byPeer[peer]]
	if r != nil && r.claim != "" {
		p.Claims = append(p.Claims, r.asClaim())
	}
}

// fill adds news up to the size of a packet.
func (b *Beat) fill(p *Packet) {
	items := b.news.items
	slices.SortStableFunc(items, func(x, y *item) int {
		if x.kind != y.kind {
			return int(x.kind - y.kind)
		}
		return x.sent - y.sent
	})
	room, count := newsRoom, 0
	for i := range items {
		if room <= 0 || count == maxItems {
			break
		}
		room -= b.put(items[i], p)
		items[i].sent++
		count++
	}
	limit := lifeTimes * b.logarithm()
	b.news.remove(func(i *item) bool {
		return i.sent >= limit || (i.kind == markNews && i.sent >= markTimes)
	})
}

// put adds one item and returns its size.
func (b *Beat) put(i *item, p *Packet) int {
	m, r := b.self, b.records[i.name]
	if i.name != b.self.Name {
		if r == nil {
			return 0
		}
		m = r.words
	}
	if i.kind == markNews {
		p.Marks = append(p.Marks, Mark{Name: m.Name, Incarnation: m.Incarnation, Config: m.Config})
		return markCost + len(m.Name)
	}
	if r != nil && r.claim != "" {
		p.Claims = append(p.Claims, r.asClaim())
		return claimCost + len(m.Name)
	}
	p.News = append(p.News, m)
	return memberCost + len(m.Name) + len(m.FailureDomain) + shardCost*len(m.Shards)
}
