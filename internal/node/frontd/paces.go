package frontd

import "github.com/slaterock/slaterock/internal/obs/label"

// reportFactors updates the gauges of the time of each upstream relative to its service. Upstreams
// that never differed have none, which leaves the labels to those that do. The gauge of one that is
// no longer listed becomes 1.
func (d *Daemon) reportFactors() {
	current := map[string]float64{}
	for u := range d.fleet.View().Listed.All() {
		f := d.meshio.Factor(u.ID, u.Born)
		if f == 1 && !d.upstreams.Has(u.ID) {
			continue
		}
		if l := d.upstreams.Of(u.ID); l != label.Others {
			current[l] = f
		}
	}
	for l := range d.factorGauges {
		if _, listed := current[l]; !listed {
			current[l] = 1
		}
	}
	for l, f := range current {
		d.Scope.Tagged(map[string]string{"upstream": l}).Gauge("upstream_factor").Update(f)
	}
	d.factorGauges = current
}
