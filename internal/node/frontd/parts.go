package frontd

// connectParts has the table of cached prompt parts learn from the other fronts and the picker use
// it. ownTick reports what is new in it, and onPeersChanged updates its upstreams.
func (d *Daemon) connectParts() {
	d.meshio.Cached, d.picker.Holders = d.proxy.Parts.Merge, d.proxy.Parts.Holders
}
