package runio

import (
	"maps"
	"slices"
	"time"

	"github.com/slaterock/slaterock/internal/disk/index"
)

// question is one question to some fronts.
type question struct {
	key     uint64   // of the request
	need    int      // fronts that have to answer
	pending []string // addresses of those that are waited for
	others  []string // of those that are not, but may answer
	replies []reply
	took    int // fronts that answered, this one included if it is one of them
	know    int // those of them that know of the runs
	runs    map[string]index.Run
	doubt   bool
	resend  time.Duration // pause before it is sent again
	changed chan struct{}
}

func (q *question) waitFor(address string) {
	if !slices.Contains(q.pending, address) {
		q.pending = append(q.pending, address)
	}
}

// receive takes the reply of a front. It returns false if it was not asked, or has replied before.
func (q *question) receive(r reply) bool {
	address := addressOf(r.Front)
	if !slices.Contains(q.unanswered(), address) {
		return false
	}
	drop := func(a string) bool { return a == address }
	q.pending, q.others = slices.DeleteFunc(q.pending, drop), slices.DeleteFunc(q.others, drop)
	q.replies = append(q.replies, r)
	q.take(r)
	return true
}

// take counts a reply.
func (q *question) take(r reply) {
	q.took++
	if r.Kept >= knowsAfter.Milliseconds() {
		q.know++
	}
	if q.runs == nil {
		q.runs = map[string]index.Run{}
	}
	for _, run := range r.Runs {
		q.runs[run.Attempt] = index.MergeRuns(q.runs[run.Attempt], run)
	}
}

// decided reports whether enough fronts know, or no more replies are waited for: if too few know, each counts.
func (q *question) decided() bool { return q.know >= q.need || len(q.pending) == 0 }

func (q *question) unanswered() []string { return slices.Concat(q.pending, q.others) }

func (q *question) answer() Answer {
	return Answer{
		Runs: slices.Collect(maps.Values(q.runs)), Doubt: q.doubt, Forgotten: q.took > 0 && q.know == 0,
		Complete: q.need > 0 && q.know >= q.need, Told: q.need > 0 && q.took >= q.need,
	}
}
