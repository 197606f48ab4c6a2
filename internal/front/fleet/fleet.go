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

	"github.com/slaterock/slaterock/internal/front/spell"
)

// ReturnGrace is how long an upstream whose entry is missing is kept after the
// store has come back. Entries that lapsed in an outage are written again within
// about two seconds by upstreams that live; dropping all of them at once would
// leave callers without any upstream after each outage.
const ReturnGrace = 2300 * time.Millisecond

type (
	// Fleet gathers news. The zero value knows nothing.
	Fleet struct {
		mu       sync.Mutex
		view     atomic.Pointer[View]
		past     []*View     // former states, the newest last
		down     bool        // the store does not answer this daemon
		spell    spell.Spell // in which somebody had news
		returned bool        // the store was away before that
	}

	// Change is what news changed, for the log.
	Change struct {
		What string // config, upstream, outage, regained, return
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
func (f *Fleet) Take(now time.Time, n News) (changes []Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := *f.View()
	switch n := n.(type) {
	case Outage:
		if !f.down {
			f.down = true
			changes = append(changes, Change{What: "outage"})
		}
		return changes
	case Slept:
		v.Confirmed = v.Confirmed.Add(-n.For)
		f.spell = f.spell.Earlier(n.For)
	case Heard:
		to := now.Add(-n.Age)
		changes = f.mind(spell.Spell{From: to.Add(-n.Steady), To: to})
	case Confirmed:
		if n.Revision < v.Revision {
			return nil
		}
		changes = f.confirm(&v, n.Revision, now.Add(-n.Age))
	case Told:
		if n.Revision < v.Revision {
			return nil
		}
		changes = f.confirm(&v, n.Revision, now.Add(-n.Age))
		changes = append(changes, v.take(n.Reading, f.returning(now))...)
	case Reading:
		changes = f.regain()
		if n.Revision < v.Revision {
			return changes
		}
		changes = append(changes, f.confirm(&v, n.Revision, now)...)
		changes = append(changes, v.take(n, f.returning(now))...)
	}
	changes = append(changes, f.expire(&v, now)...)
	v.Since = f.spell.From
	if old := f.View(); old.Hash != v.Hash {
		f.keep(old)
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
	return f.mind(spell.At(at))
}

// mind notes when somebody had news of the store, and the end of an outage. Of hundreds
// only the first few ask the store while it is away; one further back that reads when it
// is there again would take the first short list for the truth.
func (f *Fleet) mind(s spell.Spell) []Change {
	var away time.Duration
	if f.spell, away = f.spell.With(s); away == 0 {
		return nil
	}
	f.returned = true
	return []Change{{What: "return", From: away.String()}}
}

// regain notes that this daemon reaches the store again. Whether the store was away for
// others, too, mind tells: it may have turned this one away and served the rest.
func (f *Fleet) regain() []Change {
	if !f.down {
		return nil
	}
	f.down = false
	return []Change{{What: "regained"}}
}

// returning tells whether entries that lapsed in an outage may still be missing.
func (f *Fleet) returning(now time.Time) bool {
	return f.returned && now.Sub(f.spell.From) < ReturnGrace
}

// expire drops the upstreams whose entries have had their time to come back.
func (f *Fleet) expire(v *View, now time.Time) []Change {
	if len(v.Lapsed) == 0 || f.returning(now) {
		return nil
	}
	return v.list(v.Upstreams, false)
}
