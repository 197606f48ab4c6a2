package frontd

import (
	"time"

	"github.com/slaterock/slaterock/internal/front/mesh"
	"github.com/slaterock/slaterock/internal/front/proxy"
	"github.com/slaterock/slaterock/internal/obs/label"
)

// ownDemand returns what competes for limits and engines at this front: the requests and
// programs that wait here, and, while programs wait for engines at any front, the turns in flight
// by account.
func (d *Daemon) ownDemand(now time.Time) mesh.Demand {
	own := d.limitDemand(now)
	for key, n := range d.proxy.Queue.Queued() {
		if own.Queued == nil {
			own.Queued = map[mesh.ID]int{}
		}
		own.Queued[mesh.QueueID(key.Service, key.Priority)] = n
	}
	if d.proxy.Contended() {
		own.Running = toIDs(d.proxy.Running())
	}
	return own
}

// peerDemand returns what competes for engines at the other fronts, with the names of the
// accounts. Turns without an account have the empty name.
func (d *Daemon) peerDemand(all mesh.Demand) (p proxy.PeerDemand) {
	if len(all.Queued) > 0 {
		p.Queued = func(service string, priority int) int { return all.Queued[mesh.QueueID(service, priority)] }
	}
	v := d.fleet.View()
	if len(all.Running) == 0 || v.Table == nil || v.Table.Accounts == nil {
		return p
	}
	p.Running = d.limitPeers.byAccount(v.Table.Accounts, all.Running)
	if n := all.Running[mesh.IDOf("")]; n > 0 {
		p.Running[""] = n
	}
	return p
}

// reportRunning updates the gauges of the turns that this front has in flight at engines, by
// account.
func (d *Daemon) reportRunning() {
	current := map[string]int{}
	for name, n := range d.proxy.Running() {
		if l := d.limits.Label.Of(name); name != "" && l != label.Others {
			current[l] = n
		}
	}
	for l := range d.runningGauges {
		if _, runs := current[l]; !runs {
			current[l] = 0
		}
	}
	for l, n := range current {
		d.Scope.Tagged(map[string]string{"account": l}).Gauge("account_running").Update(float64(n))
	}
	d.runningGauges = current
}
