package frontd

import "github.com/slaterock/slaterock/internal/obs/label"

// reportFactors updates the gauges of the time of each upstream relative to its service. Upstreams
// that never differed have none, which leaves the labels to those that do.
func (d *Daemon) reportFactors() {
	for u := range d.fleet.View().Listed.All() {
		f := d.meshio.Factor(u.ID, u.Born)
		if f == 1 && !d.upstreams.Has(u.ID) {
			continue
		}
		if l := d.upstreams.Of(u.ID); l != label.Others {
			d.Scope.Tagged(map[string]string{"upstream": l}).Gauge("upstream_factor").Update(f)
		}
	}
}
