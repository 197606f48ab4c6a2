package recap

import "container/list"

// The outcomes of a program.
const (
	InTime       Outcome = iota // its last attempt was answered, before its finish time
	Late                        // answered after its finish time
	Refused                     // its last attempt was refused, and none of the others has run
	RefusedBegun                // its last attempt was refused, and another one has or may have run
	Failed                      // its last attempt ended otherwise
	Untimed                     // answered, and no attempt stated a finish time
	outcomeCount
)

// outcomeNames are the names of the outcomes in reports.
var outcomeNames = [outcomeCount]string{"in_time", "late", "refused", "refused_begun", "failed", "untimed"}

type (
	// Outcome is how a program ended, as far as its last attempt tells.
	Outcome int

	// program is one in progress. Names are numbers of State.names.
	program struct {
		key      uint64
		place    *list.Element // in State.recent
		seen     int64         // State.now when its last line was read
		begin    int64         // arrival of its first attempt
		route    uint32        // of its first attempt that has one
		account  uint32        // as route
		upstream uint32        // of its last answered turn
		begun    bool          // an attempt has or may have run
		turnEnd  int64         // end of its last answered turn
		due      int64         // finish time, as its last attempt with one states it; valid with hasDue
		dueFrom  int64         // end of that attempt
		allowed  int64         // time from its first attempt to the finish time that this one stated
		hasDue   bool
		last     last
		spans    []span
	}

	// last is what counts of a program's last attempt.
	last struct {
		end     int64
		front   uint32
		cause   uint32 // if not answered
		ended   Outcome
		present bool
	}
)

func (o Outcome) String() string { return outcomeNames[o] }

// add takes an attempt. Attempts may come in any order.
func (p *program) add(l *Line, n *tableNames) {
	begin := l.begin()
	first := !p.last.present || begin < p.begin
	if first {
		p.begin = begin
	}
	if id := n[byRoute].id(l.Route); id != 0 && (first || p.route == 0) {
		p.route = id
	}
	if id := n[byAccount].id(l.Account); id != 0 && (first || p.account == 0) {
		p.account = id
	}
	p.begun = p.begun || l.mayHaveRun()
	if l.Kind == kindStream && l.answered() && l.End >= p.turnEnd {
		p.upstream, p.turnEnd = n[byUpstream].id(l.Upstream), l.End
	}
	if l.HasFinish {
		p.addFinish(l, first)
	}
	if !p.last.present || l.End >= p.last.end {
		p.last = last{end: l.End, front: n[byFront].id(l.Front), present: true, ended: endOf(l)}
		if p.last.ended != InTime {
			p.last.cause = n[byCause].id(l.cause())
		}
	}
	if p.spans = append(p.spans, spanOf(l)); len(p.spans) >= maxSpans {
		p.spans = compact(p.spans)
	}
}

func (p *program) addFinish(l *Line, first bool) {
	due := l.begin() + l.Finish
	if first || !p.hasDue {
		p.allowed = due - p.begin
	}
	if !p.hasDue || l.End >= p.dueFrom {
		p.due, p.dueFrom, p.hasDue = due, l.End, true
	}
}

// endOf returns what an attempt alone says about its program's outcome.
func endOf(l *Line) Outcome {
	switch {
	case l.answered():
		return InTime
	case l.refused():
		return Refused
	default:
		return Failed
	}
}

func (p *program) outcome() Outcome {
	switch {
	case p.last.ended == InTime && !p.hasDue:
		return Untimed
	case p.last.ended == InTime && p.due < p.last.end:
		return Late
	case p.last.ended == Refused && p.begun:
		return RefusedBegun
	default:
		return p.last.ended
	}
}

// lateTwice reports whether a late program took more than twice its time.
func (p *program) lateTwice() bool {
	return p.outcome() == Late && p.last.end-p.due > p.allowed
}
