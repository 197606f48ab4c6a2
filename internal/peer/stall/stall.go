// Package awake notices that this process did not run for a while: its VM was
// frozen, suspended or starved.
//
// What a process knew before is then old, whatever its own clock says: the steady
// clock stands still while a VM is suspended. So both clocks are asked, and the one
// that went on further counts. A time of day that somebody sets looks the same; to
// take what is known for older than it is does little harm.
package stall

import "time"

// Least is the shortest time that counts: several times what a busy VM delays a
// process by.
const MinStall = time.Second

// Awake compares moments. The zero value is ready.
type Detector struct{ last time.Time }

// Look is called now and then, no further apart than due. It returns for how long the
// process did not run, 0 if it ran, and for how much of that its steady clock stood
// still.
func (d *Detector) Check(now time.Time, interval time.Duration) (stalled, suspended time.Duration) {
	last := d.last
	d.last = now
	if last.IsZero() {
		return 0, 0
	}
	mono := now.Sub(last)
	wall := now.Round(0).Sub(last.Round(0)) // without the steady clock
	stalled = max(mono, wall) - interval
	if stalled < MinStall {
		return 0, 0
	}
	return stalled, max(wall-mono, 0)
}
