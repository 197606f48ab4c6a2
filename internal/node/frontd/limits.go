package frontd

import (
	"sync"
	"time"

	"github.com/slaterock/slaterock/internal/conf/accnt"
	"github.com/slaterock/slaterock/internal/front/mesh"
	"github.com/slaterock/slaterock/internal/front/ration"
	"github.com/slaterock/slaterock/internal/obs/label"
)

const (
	// countFor is how long a daemon that is not heard of any more counts among those
	// that share the limits of accounts: it may be cut off and still serve. Nobody
	// can know that it does not, so it stops by itself after holdFor without hearing
	// of at least half of the others; the rest is for clocks that run differently.
	peerExpiry       = 30 * time.Second
	isolationTimeout = 25 * time.Second
	// hearEach is the least time between two reckonings of the others' use.
	limitInterval = 40 * time.Millisecond
)

// present is what is kept of the daemons that share the limits of accounts. The zero
// value is ready.
type limitPeers struct {
	mu         sync.Mutex
	updatedAt  time.Time
	seen       map[string]time.Time // when each daemon was listed or heard of last
	majorityAt time.Time            // when at least half of them were heard of last
	accounts   *accnt.Accounts      // that names are of
	names      map[mesh.ID]string
}

// hearUse takes what the other daemons have let in.
func (d *Daemon) updateLimits(p mesh.Picture) {
	now := time.Now()
	v := d.fleet.View()
	if v.Table == nil || v.Table.Accounts == nil || !d.limitPeers.due(now) {
		return
	}
	nodes := []string{d.Settings.Node}
	for _, e := range d.others(p) {
		nodes = append(nodes, e.Node)
	}
	h := d.limitPeers.count(now, nodes, p.Fronts)
	h.Used = d.limitPeers.byAccount(v.Table.Accounts, p.Used)
	d.allow.Hear(now, v.Table.Accounts, h)
}

// due tells whether it is time to reckon again.
func (p *limitPeers) due(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.updatedAt) < limitInterval {
		return false
	}
	p.updatedAt = now
	return true
}

// look counts the daemons that share the limits. One that has heard of less than half of
// them for long has no part.
func (p *limitPeers) count(now time.Time, nodes []string, heard int) ration.Heard {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.seen == nil {
		p.seen = map[string]time.Time{}
		p.majorityAt = now
	}
	for _, node := range nodes {
		p.seen[node] = now
	}
	for node, at := range p.seen {
		if now.Sub(at) > peerExpiry {
			delete(p.seen, node)
		}
	}
	h := ration.Heard{Fronts: heard, All: len(p.seen)}
	if 2*heard >= h.All {
		p.majorityAt = now
	}
	if now.Sub(p.majorityAt) > isolationTimeout {
		h.Fronts = 0
	}
	return h
}

// gaugeLimits shows how much each account has left of its limit.
func (d *Daemon) reportLimits(now time.Time) {
	for name, left := range d.allow.Left(now) {
		if l := d.allow.Label.Of(name); l != label.Others {
			d.Scope.Tagged(map[string]string{"account": l}).Gauge("account_limit_left").Update(left)
		}
	}
}

// byName has the names of accounts in place of their short forms.
func (p *limitPeers) byAccount(accounts *accnt.Accounts, used map[mesh.ID]int) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.accounts != accounts || p.names == nil {
		p.accounts, p.names = accounts, map[mesh.ID]string{}
		for _, a := range accounts.All() {
			p.names[mesh.IDOf(a.Name)] = a.Name
		}
	}
	return toNames(used, p.names)
}
