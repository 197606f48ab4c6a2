// Package ended decides whether a request may be sent to another upstream after some have ended
// while they ran it.
//
// A request that makes upstreams crash is sent again by its front, and by its caller to other
// fronts, and takes down whatever runs beside it each time. A request that only was there when an
// upstream crashed looks the same at first, and has to go on. What tells them apart is the number
// of upstreams: of an innocent request hardly ever three end.
//
// A connection that breaks off while the upstream goes on is weaker evidence: it may have lost an
// answer, or have ended and started again unnoticed.
package ended

import (
	"slices"

	"github.com/slaterock/slaterock/internal/disk/index"
)

const (
	// MaxUpstreams is the number of upstreams that may end while they run one request.
	MaxUpstreams = 3
	// maxUnrecorded is the same for a front that can neither tell others nor ask them.
	maxUnrecorded = 2
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
	open   bool          // the end of another attempt is not known
}

// Of returns the tally of the runs of a request, one for each attempt.
func Of(runs []index.Run) (t Tally) {
	for _, r := range runs {
		for _, s := range r.Ended {
			t = t.With(s)
		}
		t.broken = append(t.broken, r.Broken...)
	}
	return t
}

// With returns the tally with an upstream that has ended. A start that is known already counts
// once.
func (t Tally) With(s index.Start) Tally {
	i, known := slices.BinarySearchFunc(t.ended, s, index.Start.Compare)
	if !known {
		t.ended = slices.Insert(slices.Clone(t.ended), i, s)
	}
	return t
}

// Has reports whether the start of an upstream is known to have ended.
func (t Tally) Has(s index.Start) bool {
	_, known := slices.BinarySearchFunc(t.ended, s, index.Start.Compare)
	return known
}

// WithBroken returns the tally with one more run that broke off at an upstream that may go on.
func (t Tally) WithBroken(s index.Start) Tally {
	t.broken = append(slices.Clip(t.broken), s)
	return t
}

// WithOpen returns the tally with another attempt of which the end is not known: it is under way, or
// its front was lost with it. Next to an upstream that ended it counts as one more, however many such
// attempts there are: callers may send several like requests at a time.
func (t Tally) WithOpen(open bool) Tally {
	t.open = open
	return t
}

// Ended returns the upstreams that ended, sorted. They must not be changed.
func (t Tally) Ended() []index.Start { return t.ended }

// Broken returns the upstreams at which a run broke off, in order. They must not be changed.
func (t Tally) Broken() []index.Start { return t.broken }

// MayRun reports whether the request may be sent to another upstream. Listed reports whether a
// start of an upstream is still listed.
func (t Tally) MayRun(listed func(index.Start) bool) bool {
	return t.weight(listed) < weightEnded*MaxUpstreams
}

// MayRunUnrecorded is MayRun for the runs of one attempt, at a front that can't reach the records.
func (t Tally) MayRunUnrecorded(listed func(index.Start) bool) bool {
	return t.weight(listed) < weightEnded*maxUnrecorded
}

func (t Tally) weight(listed func(index.Start) bool) int {
	sum := weightEnded * len(t.ended)
	if t.open && len(t.ended) > 0 {
		sum += weightEnded
	}
	gone := t // with the starts that are no longer listed
	for _, s := range t.broken {
		sum += weightBroken
		if !listed(s) && len(gone.ended) < len(gone.With(s).ended) {
			gone = gone.With(s)
			sum += weightEnded - weightBroken
		}
	}
	return sum
}
