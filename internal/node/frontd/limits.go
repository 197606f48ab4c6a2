package frontd

import (
	"sync"
	"time"

	"github.com/slaterock/slaterock/internal/conf/accnt"
	"github.com/slaterock/slaterock/internal/front/bucket"
	"github.com/slaterock/slaterock/internal/front/mesh"
	"github.com/slaterock/slaterock/internal/obs/label"
)

const (
	// peerExpiry is how long a front that is neither listed nor heard from still counts
	// among those that share the limits of accounts: it may be partitioned and still
	// serve, which the others can't tell. So a front that has heard from less than half
	// of the fronts for isolationTimeout gives up its share itself. isolationTimeout is
	// shorter than peerExpiry since clocks run at different rates.
	peerExpiry       = 30 * time.Second
	isolationTimeout = 25 * time.Second
	// limitInterval is the shortest interval between two updates of the others' usage.
	limitInterval = 40 * time.Millisecond
)

// limitPeers tracks the fronts that share the limits of accounts. The zero value is ready
// for use.
type limitPeers struct {
	updates throttle

	mu         sync.Mutex
	seen       map[string]time.Time // when each front was last listed or heard from
	majorityAt time.Time            // when at least half of them were last heard from
	accounts   *accnt.Accounts      // that names was built from
	names      map[mesh.ID]string
}

// updateLimits passes the number of requests that the other fronts accepted to the limits.
func (d *Daemon) updateLimits(p mesh.Summary) {
	now := time.Now()
	v := d.fleet.View()
	if v.Table == nil || v.Table.Accounts == nil || !d.limitPeers.updates.due(now, limitInterval) {
		return
	}
	nodes := []string{d.Settings.Node}
	for _, e := range d.others(p) {
		nodes = append(nodes, e.Node)
	}
	h := d.limitPeers.count(now, nodes, p.Fronts)
	h.Used = d.limitPeers.byAccount(v.Table.Accounts, p.Used)
	d.limits.Update(now, v.Table.Accounts, h)
}

// count returns how many fronts share the limits and how many of them are heard from. A front
// that has heard from less than half of them for isolationTimeout counts none, which leaves
// it without a share of any limit.
func (p *limitPeers) count(now time.Time, nodes []string, heard int) bucket.PeerUsage {
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
	h := bucket.PeerUsage{Fronts: heard, Total: len(p.seen)}
	if 2*heard >= h.Total {
		p.majorityAt = now
	}
	if now.Sub(p.majorityAt) > isolationTimeout {
		h.Fronts = 0
	}
	return h
}

// reportLimits updates the gauges of what each account has left of its limit.
func (d *Daemon) reportLimits(now time.Time) {
	for name, left := range d.limits.Remaining(now) {
		if l := d.limits.Label.Of(name); l != label.Others {
			d.Scope.Tagged(map[string]string{"account": l}).Gauge("account_limit_left").Update(left)
		}
	}
}

// byAccount replaces hashed account names by the names.
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
