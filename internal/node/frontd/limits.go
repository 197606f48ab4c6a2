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
	begunNames map[mesh.ID]string // names by begunID
}

// begunID is the key, in the demand that fronts report, of the requests of programs that have
// begun and that wait for the limit of an account. They are also counted under the account.
func begunID(account string) mesh.ID { return mesh.IDOf(account + "\x00begun") }

// limitDemand returns what competes for the limits at this front, for the other fronts.
func (d *Daemon) limitDemand(now time.Time) (out mesh.Demand) {
	own := d.limits.Demand(now)
	if len(own.Waiting)+len(own.Begun) == 0 {
		return out // without contention the field is left out of messages
	}
	out.Waiting, out.Begun = toIDs(own.Waiting), toIDs(own.Begun)
	for name, n := range own.WaitingBegun {
		out.Waiting[begunID(name)] = n
	}
	return out
}

// updateLimits passes the accounts and the number of requests that the other fronts accepted to
// the limits. After all accounts were removed it does so once more, for the requests that wait.
func (d *Daemon) updateLimits(p mesh.Summary) {
	now := time.Now()
	v := d.fleet.View()
	if v.Table == nil || v.Table.Accounts == nil && !d.limits.HasAccounts() || !d.limitPeers.updates.due(now, limitInterval) {
		return
	}
	nodes := []string{d.Settings.Node}
	for _, e := range d.others(p) {
		nodes = append(nodes, e.Node)
	}
	h := d.limitPeers.count(now, nodes, p.Fronts)
	h.Used = d.limitPeers.byAccount(v.Table.Accounts, p.Used)
	h.Begun = d.limitPeers.byAccount(v.Table.Accounts, p.Demand.Begun)
	h.Waiting = d.limitPeers.byAccount(v.Table.Accounts, p.Demand.Waiting)
	h.WaitingBegun = d.limitPeers.begunByAccount(p.Demand.Waiting)
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

// reportLimits updates the gauges of each account: what it has left of its limit, the requests
// that wait for it here, and the programs in progress.
func (d *Daemon) reportLimits(now time.Time) {
	programs, waiting := d.limits.Programs(now), d.limits.Demand(now).Waiting
	for name, left := range d.limits.Remaining(now) {
		if l := d.limits.Label.Of(name); l != label.Others {
			scope := d.Scope.Tagged(map[string]string{"account": l})
			scope.Gauge("account_limit_left").Update(left)
			scope.Gauge("account_waiting").Update(float64(waiting[name]))
			scope.Gauge("account_programs").Update(programs[name])
		}
	}
}

// byAccount replaces hashed account names by the names.
func (p *limitPeers) byAccount(accounts *accnt.Accounts, used map[mesh.ID]int) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.accounts != accounts || p.names == nil {
		p.accounts, p.names, p.begunNames = accounts, map[mesh.ID]string{}, map[mesh.ID]string{}
		for _, a := range accounts.All() {
			p.names[mesh.IDOf(a.Name)] = a.Name
			p.begunNames[begunID(a.Name)] = a.Name
		}
	}
	return toNames(used, p.names)
}

// begunByAccount is byAccount for the requests under begunID, of the accounts that byAccount
// was called with last.
func (p *limitPeers) begunByAccount(waiting map[mesh.ID]int) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return toNames(waiting, p.begunNames)
}
