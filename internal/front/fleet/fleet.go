// Package fleet is what one daemon knows of the system: the configuration in
// force, the upstreams, and the daemons that take callers.
//
// Knowledge is read from the store by whichever daemon's is the oldest, and told
// to the others. It may arrive twice or out of order, so nothing is taken from a
// revision older than the one known: what has been seen never reverts. While the
// store is away the last knowledge stays in force.
package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/slaterock/slaterock/internal/front/avail"
)

// ReturnGrace is how long an upstream whose entry is missing is kept after the
// store has come back. Entries that lapsed in an outage are written again within
// about two seconds by upstreams that live; dropping all of them at once would
// leave callers without any upstream after each outage.
const RecoveryGrace = 2300 * time.Millisecond

type (
	// Fleet gathers news. The zero value knows nothing.
	Fleet struct {
		mu          sync.Mutex
		view        atomic.Pointer[View]
		history     []*View        // former states, the newest last
		unreachable bool           // the store does not answer this daemon
		avail       avail.Interval // in which somebody had news
		recovered   bool           // the store was away before that
	}

	// Change is what news changed, for the log.
	Change struct {
		Kind string // config, upstream, outage, regained, return
		ID   string
		From string // its former state; of a return, for how long there was no news
		To   string
	}
)

// View returns what is known now.
func (f *Fleet) View() *View {
	if v := f.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// Take learns the news and returns what it changed.
func (f *Fleet) Update(now time.Time, n Event) (changes []Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := *f.View()
	switch n := n.(type) {
	case Outage:
		if !f.unreachable {
			f.unreachable = true
			changes = append(changes, Change{Kind: "outage"})
		}
		return changes
	case Suspended:
		v.Confirmed = v.Confirmed.Add(-n.For)
		f.avail = f.avail.ShiftBack(n.For)
	case PeerAvailability:
		to := now.Add(-n.Age)
		changes = f.extendAvailability(avail.Interval{From: to.Add(-n.AvailableFor), To: to})
	case Confirmed:
		if n.Revision < v.Revision {
			return nil
		}
		changes = f.confirm(&v, n.Revision, now.Add(-n.Age))
	case PeerSnapshot:
		if n.Revision < v.Revision {
			return nil
		}
		changes = f.confirm(&v, n.Revision, now.Add(-n.Age))
		changes = append(changes, v.replace(n.Snapshot, f.inGrace(now))...)
	case Snapshot:
		changes = f.noteReachable()
		if n.Revision < v.Revision {
			return changes
		}
		changes = append(changes, f.confirm(&v, n.Revision, now)...)
		changes = append(changes, v.replace(n, f.inGrace(now))...)
	}
	changes = append(changes, f.dropExpired(&v, now)...)
	v.AvailableSince = f.avail.From
	if old := f.View(); old.Hash != v.Hash {
		f.addHistory(old)
	}
	f.view.Store(&v)
	return changes
}

// confirm takes a state for the store's, as it was then.
func (f *Fleet) confirm(v *View, revision uint64, at time.Time) []Change {
	v.Revision = revision
	if at.After(v.Confirmed) {
		v.Confirmed = at
	}
	return f.extendAvailability(avail.At(at))
}

// mind notes when somebody had news of the store, and the end of an outage. Of hundreds
// only the first few ask the store while it is away; one further back that reads when it
// is there again would take the first short list for the truth.
func (f *Fleet) extendAvailability(s avail.Interval) []Change {
	var outage time.Duration
	if f.avail, outage = f.avail.Merge(s); outage == 0 {
		return nil
	}
	f.recovered = true
	return []Change{{Kind: "return", From: outage.String()}}
}

// regain notes that this daemon reaches the store again. Whether the store was away for
// others, too, mind tells: it may have turned this one away and served the rest.
func (f *Fleet) noteReachable() []Change {
	if !f.unreachable {
		return nil
	}
	f.unreachable = false
	return []Change{{Kind: "regained"}}
}

// returning tells whether entries that lapsed in an outage may still be missing.
func (f *Fleet) inGrace(now time.Time) bool {
	return f.recovered && now.Sub(f.avail.From) < RecoveryGrace
}

// expire drops the upstreams whose entries have had their time to come back.
func (f *Fleet) dropExpired(v *View, now time.Time) []Change {
	if len(v.Retained) == 0 || f.inGrace(now) {
		return nil
	}
	return v.setUpstreams(v.Upstreams, false)
}
