// Package stall detects that this process did not run for a while because its VM
// was frozen, suspended or starved of CPU.
//
// State that the process held before is then outdated, even if the monotonic clock
// shows no gap: that clock stops while a VM is suspended. So the monotonic clock and
// the wall clock are both read, and the larger difference counts. Setting the wall
// clock forward looks like a stall; treating state as older than it is does little
// harm.
package stall

import "time"

// MinStall is the shortest stall that is reported: several times the scheduling
// delay of a process on a busy VM.
const MinStall = time.Second

// Detector compares the times of successive checks. The zero value is ready to use.
type Detector struct{ last time.Time }

// Check is called regularly, with interval as the expected time since the last call.
// It returns for how long the process did not run, 0 if that is below MinStall, and
// for how much of that time its monotonic clock stopped.
func (d *Detector) Check(now time.Time, interval time.Duration) (stalled, suspended time.Duration) {
	last := d.last
	d.last = now
	if last.IsZero() {
		return 0, 0
	}
	mono, wall := elapsed(last, now)
	stalled = max(mono, wall) - interval
	if stalled < MinStall {
		return 0, 0
	}
	return stalled, max(wall-mono, 0)
}

// Suspended returns for how much of the time between two readings of the clock the monotonic
// clock was stopped, 0 if that is below MinStall.
func Suspended(from, to time.Time) time.Duration { return suspended(elapsed(from, to)) }

func suspended(mono, wall time.Duration) time.Duration {
	if wall-mono < MinStall {
		return 0
	}
	return wall - mono
}

func elapsed(from, to time.Time) (mono, wall time.Duration) {
	return to.Sub(from), to.Round(0).Sub(from.Round(0)) // Round(0) strips the monotonic reading
}
