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
	// countFor is how long a daemon that is not heard of any more counts among those
	// that share the limits of accounts: it may be cut off and still serve. Nobody
	// can know that it does not, so it stops by itself after holdFor without hearing
	// of at least half of the others; the rest is for clocks that run differently.
	countFor = 30 * time.Second
	holdFor  = 25 * time.Second
	// hearEach is the least time between two reckonings of the others' use.
	hearEach = 40 * time.Millisecond
)

// present is what is kept of the daemons that share the limits of accounts. The zero
// value is ready.
type present struct {
	mu       sync.Mutex
	at       time.Time
	seen     map[string]time.Time // when each daemon was listed or heard of last
	together time.Time            // when at least half of them were heard of last
	accounts *accnt.Accounts      // that names are of
	names    map[mesh.ID]string
}

// hearUse takes what the other daemons have let in.
func (d *Daemon) hearUse(p mesh.Summary) {
	now := time.Now()
	v := d.fleet.View()
	if v.Table == nil || v.Table.Accounts == nil || !d.present.due(now) {
		return
	}
	nodes := []string{d.Settings.Node}
	for _, e := range d.others(p) {
		nodes = append(nodes, e.Node)
	}
	h := d.present.look(now, nodes, p.Fronts)
	h.Used = d.present.byName(v.Table.Accounts, p.Used)
	d.allow.Update(now, v.Table.Accounts, h)
}

// due tells whether it is time to reckon again.
func (p *present) due(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.at) < hearEach {
		return false
	}
	p.at = now
	return true
}

// look counts the daemons that share the limits. One that has heard of less than half of
// them for long has no part.
func (p *present) look(now time.Time, nodes []string, heard int) bucket.PeerUsage {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.seen == nil {
		p.seen = map[string]time.Time{}
		p.together = now
	}
	for _, node := range nodes {
		p.seen[node] = now
	}
	for node, at := range p.seen {
		if now.Sub(at) > countFor {
			delete(p.seen, node)
		}
	}
	h := bucket.PeerUsage{Fronts: heard, Total: len(p.seen)}
	if 2*heard >= h.Total {
		p.together = now
	}
	if now.Sub(p.together) > holdFor {
		h.Fronts = 0
	}
	return h
}

// gaugeLimits shows how much each account has left of its limit.
func (d *Daemon) gaugeLimits(now time.Time) {
	for name, left := range d.allow.Remaining(now) {
		if l := d.allow.Label.Of(name); l != label.Others {
			d.Scope.Tagged(map[string]string{"account": l}).Gauge("account_limit_left").Update(left)
		}
	}
}

// byName has the names of accounts in place of their short forms.
func (p *present) byName(accounts *accnt.Accounts, used map[mesh.ID]int) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.accounts != accounts || p.names == nil {
		p.accounts, p.names = accounts, map[mesh.ID]string{}
		for _, a := range accounts.All() {
			p.names[mesh.IDOf(a.Name)] = a.Name
		}
	}
	return named(used, p.names)
}
