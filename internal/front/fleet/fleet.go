// Package fleet holds one daemon's view of the system: the configuration in
// force, the upstreams, and the daemons that serve callers.
//
// Usually one daemon, the first by its rank in package mesh, reads the store and passes
// the result to its peers. Updates may arrive twice or out of order, so any with a revision
// lower than the current one is ignored and the view never reverts. While the
// store is unavailable the last view stays in force. How old a view is follows from the read
// of the store that it stems from, never from when a peer reported it last.
package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/slaterock/slaterock/internal/front/avail"
)

// RecoveryGrace is how long an upstream without an entry is retained after the
// store has recovered. Within about two seconds live upstreams rewrite the entries that
// expired during an outage; dropping all of them at once would leave callers without any
// upstream after each outage.
const RecoveryGrace = 2300 * time.Millisecond

type (
	// Fleet applies events to the current view. The zero value has an empty view.
	Fleet struct {
		// OnUpstreams is called with the ids of upstreams that changed, before the new view is in
		// force; nil for nothing.
		OnUpstreams func(now time.Time, before, after *View, ids []string)

		mu          sync.Mutex
		view        atomic.Pointer[View]
		history     history
		unreachable bool // the store does not answer this daemon
		reads       readTimes
		avail       avail.Interval // latest interval in which some daemon reached the store
		outageSeen  bool           // an outage was detected since the start, so avail.From may be its end
	}

	// Change is one effect of an event, for the log.
	Change struct {
		// Kind is "config", "upstream", "outage" if the store does not answer this daemon,
		// "regained" if it does again, or "return" after the store was unavailable to all
		// daemons.
		Kind string
		ID   string // of the upstream
		From string // previous state of the upstream; for a return, the duration of the outage
		To   string // new state of the upstream
	}
)

// View returns the current view. It is never nil.
func (f *Fleet) View() *View {
	if v := f.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// Update applies an event and returns the resulting changes.
func (f *Fleet) Update(now time.Time, e Event) (changes []Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := *f.View()
	switch e := e.(type) {
	case Outage:
		if !f.unreachable {
			f.unreachable = true
			changes = append(changes, Change{Kind: "outage"})
		}
		return changes
	case Suspended:
		v.Confirmed, v.Settled = v.Confirmed.Add(-e.For), v.Settled.Add(-e.For)
		f.avail = f.avail.ShiftBack(e.For)
		f.reads.shiftBack(e.For)
	case PeerAvailability:
		if !e.Read.known() {
			return nil
		}
		to := f.reads.timeOf(e.Read, now.Add(-e.Age))
		changes = f.extendAvailability(avail.Interval{From: to.Add(-e.AvailableFor), To: to})
	case Confirmed:
		if e.Revision < v.Revision || !e.Read.known() {
			return nil
		}
		changes = f.confirm(&v, e.Revision, e.Read, now.Add(-e.Age))
	case PeerSnapshot:
		if e.Revision < v.Revision {
			return nil
		}
		v.Revision = e.Revision
		if e.Read.known() {
			changes = f.confirm(&v, e.Revision, e.Read, now.Add(-e.Age))
		}
		changes = append(changes, f.replace(&v, e.Snapshot, now)...)
	case PeerDelta:
		if e.Revision < v.Revision || e.Base != v.Hash {
			return nil
		}
		v.Revision = e.Revision
		if e.Read.known() {
			changes = f.confirm(&v, e.Revision, e.Read, now.Add(-e.Age))
		}
		changes = append(changes, v.setTable(e.Table)...)
		v.Restored = e.Restored
		changes = append(changes, f.change(&v, e.Delta, now)...)
	case Snapshot:
		changes = f.noteReachable()
		if e.Revision < v.Revision {
			return changes
		}
		changes = append(changes, f.confirm(&v, e.Revision, e.Read, now)...)
		changes = append(changes, f.replace(&v, e, now)...)
	case Changes:
		changes = f.noteReachable()
		if e.Since != v.Revision || v.Restored {
			return changes // the state is another one by now; the next read starts from there
		}
		changes = append(changes, f.confirm(&v, e.Revision, e.Read, now)...)
		changes = append(changes, v.setTable(e.Table)...)
		changes = append(changes, f.change(&v, e.Delta, now)...)
	}
	changes = append(changes, f.dropExpired(&v, now)...)
	v.AvailableSince = f.avail.From
	v.updateTenures(f.View(), now)
	f.announce(now, &v, changes)
	f.view.Store(&v)
	return changes
}

// announce calls OnUpstreams.
func (f *Fleet) announce(now time.Time, v *View, changes []Change) {
	if f.OnUpstreams == nil {
		return
	}
	var ids []string
	for _, c := range changes {
		if c.Kind == "upstream" {
			ids = append(ids, c.ID)
		}
	}
	if len(ids) > 0 {
		f.OnUpstreams(now, f.View(), v, ids)
	}
}

// replace replaces the content of the view, and records what that changes.
func (f *Fleet) replace(v *View, s Snapshot, now time.Time) []Change {
	base := v.Hash
	changes, d := v.replace(s, f.inGrace(now))
	f.record(base, v, d)
	return changes
}

// change applies a delta to the view, and records it.
func (f *Fleet) change(v *View, d Delta, now time.Time) []Change {
	base := v.Hash
	changes := v.change(d, f.inGrace(now))
	f.record(base, v, d)
	return changes
}

func (f *Fleet) record(base uint64, v *View, d Delta) {
	if v.Hash != base {
		f.history.add(base, d)
	}
}

// confirm records that the store was at that revision when it was read. An unknown read is
// one of this daemon's own.
func (f *Fleet) confirm(v *View, revision uint64, r Read, at time.Time) []Change {
	v.Revision = revision
	if r.known() {
		at = f.reads.timeOf(r, at)
	}
	if at.After(v.Confirmed) {
		v.Confirmed, v.Read = at, r
	}
	changes := f.extendAvailability(avail.At(at))
	if at.After(v.Settled) && !f.inGrace(at) {
		v.Settled = at
	}
	return changes
}

// extendAvailability merges an interval in which some daemon reached the store, and
// detects the end of an outage by the gap between the intervals, not by failed reads. Of
// hundreds of daemons only the first by rank read the store during an outage; another one,
// whose first read is after the recovery, would take the incomplete list for the full one.
func (f *Fleet) extendAvailability(s avail.Interval) []Change {
	var outage time.Duration
	if f.avail, outage = f.avail.Merge(s); outage == 0 {
		return nil
	}
	f.outageSeen = true
	return []Change{{Kind: "return", From: outage.String()}}
}

// noteReachable records that this daemon reaches the store again. Whether the store was
// unavailable to the others, too, is decided in extendAvailability: it may have refused
// this daemon only.
func (f *Fleet) noteReachable() []Change {
	if !f.unreachable {
		return nil
	}
	f.unreachable = false
	return []Change{{Kind: "regained"}}
}

// inGrace reports whether entries that expired in an outage may still be missing.
func (f *Fleet) inGrace(now time.Time) bool {
	return f.outageSeen && now.Sub(f.avail.From) < RecoveryGrace
}

// dropExpired drops the retained upstreams once the grace period is over.
func (f *Fleet) dropExpired(v *View, now time.Time) []Change {
	if v.Retained.Len() == 0 || f.inGrace(now) {
		return nil
	}
	return v.change(Delta{}, false)
}
