// Package ended decides at which upstreams a request may run after runs that got no whole good
// answer.
//
// A request that makes upstreams crash is sent again by its front, and by its caller to other
// fronts, and takes down whatever runs beside it each time. A request that only was there when an
// upstream crashed looks the same at first, and has to go on. What tells them apart is the number
// of upstreams: of an innocent request hardly ever three end.
//
// An upstream may end in the moment in which its answer fails, or seconds later, when the request
// has been sent to the next ones. So a request that got no whole good answer at three upstreams runs
// at no others: it goes on at these for as long as they do, and ends with them.
//
// A connection that breaks off while the upstream goes on is weaker evidence of its end: it may have
// lost an answer, or have ended and started again unnoticed.
package ended

import (
	"slices"

	"github.com/slaterock/slaterock/internal/disk/index"
)

const (
	// MaxUpstreams is the number of upstreams at which a request may run without a whole good answer,
	// and so the number of those that may end because of it.
	MaxUpstreams = 3
	// weightEnded is the weight of an upstream that ended, and weightBroken that of a run that
	// broke off, which becomes that of an upstream that ended once its start is no longer listed.
	weightEnded  = 2
	weightBroken = 1
)

// Tally is what is known of the runs of one request, over its attempts. It is immutable. The zero
// value knows of none.
type Tally struct {
	ended  []index.Start // sorted
	broken []index.Start // one for each run
	tried  []index.Start // sorted
	open   bool          // another attempt is under way, or may be
	lost   int           // attempts that were lost with their fronts, one after another
}

// Of returns the tally of the runs of a request, one for each attempt.
func Of(runs []index.Run) (t Tally) {
	for _, r := range runs {
		for _, s := range r.Ended {
			t = t.With(s)
		}
		for _, s := range r.Tried {
			t = t.WithTried(s)
		}
		t.broken = append(t.broken, r.Broken...)
	}
	return t
}

// With returns the tally with an upstream that has ended. A start that is known already counts
// once.
func (t Tally) With(s index.Start) Tally {
	t.ended = insert(t.ended, s)
	return t
}

// WithTried returns the tally with an upstream that ran the request without a whole good answer, and
// that neither ended nor broke the run off.
func (t Tally) WithTried(s index.Start) Tally {
	t.tried = insert(t.tried, s)
	return t
}

// Has reports whether the start of an upstream is known to have ended.
func (t Tally) Has(s index.Start) bool {
	_, known := slices.BinarySearchFunc(t.ended, s, index.Start.Compare)
	return known
}

// HasRuns reports whether any run without a whole good answer is known.
func (t Tally) HasRuns() bool { return len(t.ended)+len(t.broken)+len(t.tried) > 0 }

// RanAt reports whether such a run at any start of an upstream is known.
func (t Tally) RanAt(id string) bool {
	of := func(s index.Start) bool { return s.ID == id }
	return slices.ContainsFunc(t.ended, of) || slices.ContainsFunc(t.broken, of) || slices.ContainsFunc(t.tried, of)
}

// HasRun reports whether such a run at the start of an upstream is known.
func (t Tally) HasRun(s index.Start) bool {
	return t.BrokeOffAt(s) || slices.Contains(t.tried, s)
}

// BrokeOffAt reports whether a run that broke off at the start of an upstream is known.
func (t Tally) BrokeOffAt(s index.Start) bool {
	return t.Has(s) || slices.Contains(t.broken, s)
}

// WithBroken returns the tally with one more run that broke off at an upstream that may go on.
func (t Tally) WithBroken(s index.Start) Tally {
	t.broken = append(slices.Clip(t.broken), s)
	return t
}

// WithOpen returns the tally with another attempt of which the end is not known. Next to an upstream that
// ended it counts as one more, however many such attempts there are: callers may send several like requests
// at a time.
func (t Tally) WithOpen(open bool) Tally {
	t.open = open
	return t
}

// WithLost returns the tally with so many attempts that were lost with their fronts, each begun after the one
// before. Each may have ended an upstream of which nobody can tell.
func (t Tally) WithLost(n int) Tally {
	t.lost = n
	return t
}

// Lost returns the number of attempts that were lost with their fronts.
func (t Tally) Lost() int { return t.lost }

// Ended returns the upstreams that ended, sorted. They must not be changed.
func (t Tally) Ended() []index.Start { return t.ended }

// Broken returns the upstreams at which a run broke off, in order. They must not be changed.
func (t Tally) Broken() []index.Start { return t.broken }

// Tried returns the upstreams that ran the request without a whole good answer in another way, sorted.
// They must not be changed.
func (t Tally) Tried() []index.Start { return t.tried }

// Confined reports whether the request may run at no further upstreams. Then starts are those that
// ran it, sorted, some of which may have ended.
func (t Tally) Confined() (starts []index.Start, confined bool) {
	for _, s := range slices.Concat(t.ended, t.tried, t.broken) {
		starts = insert(starts, s)
	}
	n := len(starts) + t.lost
	if t.open && n > 0 {
		n++
	}
	return starts, n >= MaxUpstreams
}

// MayRun reports whether the request may be sent to another upstream. Listed reports whether a
// start of an upstream is still listed.
func (t Tally) MayRun(listed func(index.Start) bool) bool {
	return t.weight(listed) < weightEnded*MaxUpstreams
}

func (t Tally) weight(listed func(index.Start) bool) int {
	gone := t.ended // with the other starts that are no longer listed
	sum := 0
	for _, s := range t.broken {
		sum += weightBroken
		if n := len(gone); s.Born >= 0 && !listed(s) {
			if gone = insert(gone, s); len(gone) > n {
				sum -= weightBroken
			}
		}
	}
	for _, s := range t.tried {
		if s.Born >= 0 && !listed(s) {
			gone = insert(gone, s)
		}
	}
	sum += weightEnded * (len(gone) + t.lost)
	if t.open && len(gone)+t.lost > 0 {
		sum += weightEnded
	}
	return sum
}

// insert returns a sorted list with one more start, unless it has that one. The list is not changed.
func insert(list []index.Start, s index.Start) []index.Start {
	i, known := slices.BinarySearchFunc(list, s, index.Start.Compare)
	if known {
		return list
	}
	return slices.Insert(slices.Clone(list), i, s)
}
