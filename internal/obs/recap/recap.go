// Package recap sums up the `request` lines of fronts: how the programs of a log ended, why,
// and where the time of those went that did not end in time.
//
// A front does not see the end of a program, so its last attempt decides. A program counts as
// ended when no line of it has come for some time. Memory is bounded whatever the length of
// the logs: by the number of programs in progress, of their attempts, of names and of rows.
package recap

import (
	"container/list"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// DefaultIdle is how long a program must be silent to count as ended. A line is written
	// at the end of a request, so a stream and the pause before it are silent: both may take
	// up to 30 s, the usual timeout.
	DefaultIdle = time.Minute
	// DefaultPrograms is how many programs may be in progress: at 12,000 requests a second,
	// ten a program, 1,200 programs begin a second and 78,000 are kept with DefaultIdle.
	DefaultPrograms = 128 << 10
	digits          = 2 // of the histograms
)

type (
	// State sums up lines. The zero value is ready to use.
	State struct {
		Idle        time.Duration // silence after which a program has ended; 0 for DefaultIdle
		MaxPrograms int           // in progress; 0 for DefaultPrograms

		now      int64 // greatest time of a line so far
		from     int64 // least arrival of a request
		programs map[uint64]*program
		recent   list.List // of *program, the longest silent one first
		names    tableNames
		tables   [tableCount][]Totals
		causes   map[reason]*Totals
		kinds    []Requests
		seconds  timeline
		total    Totals
		times    [outcomeCount]*hdrhistogram.Histogram
		lines    Lines
	}

	// Lines counts lines.
	Lines struct {
		Requests   int64  `json:"requests"`
		Other      int64  `json:"other"`
		Unreadable int64  `json:"unreadable"`
		First      string `json:"first_unreadable,omitempty"` // file, line and reason
		// Unordered are `request` lines that came after ones that are later by the silence
		// that ends a program, so that their programs may have been counted twice.
		Unordered int64 `json:"unordered"`
		// Cut are programs that were counted as ended since too many were in progress.
		Cut int64 `json:"cut_programs"`
	}

	// Requests counts requests.
	Requests struct {
		Kind     string `json:"kind"`
		Requests int64  `json:"requests"`
		Answered int64  `json:"answered"`
		Refused  int64  `json:"refused"`
		Failed   int64  `json:"failed"`
	}

	// reason is why programs did not end in time: for late ones the largest part of their
	// time, else the outcome of their last attempt.
	reason struct {
		outcome Outcome
		cause   string
	}
)

// Skip counts a line that is not a `request` line.
func (s *State) Skip() { s.lines.Other++ }

// Unreadable counts a line that can't be read.
func (s *State) Unreadable(file string, number int64, err error) {
	s.lines.Unreadable++
	if s.lines.First == "" {
		s.lines.First = errors.Wrapf(err, "%s:%d", file, number).Error()
	}
}

// Add takes a `request` line.
func (s *State) Add(l *Line) {
	if s.lines.Requests == 0 || l.begin() < s.from {
		s.from = l.begin()
	}
	s.lines.Requests++
	if l.End < s.now-s.idle() {
		s.lines.Unordered++
	}
	s.now = max(s.now, l.End)
	if l.Program == "" {
		s.addRequest(l)
		return
	}
	s.program(l.Program).add(l, &s.names)
	s.expire()
}

func (s *State) idle() int64 {
	if s.Idle <= 0 {
		return DefaultIdle.Milliseconds()
	}
	return s.Idle.Milliseconds()
}

// program returns a program in progress, as the one that was heard of last.
func (s *State) program(id string) *program {
	key := xxhash.Sum64String(id)
	p := s.programs[key]
	if p == nil {
		if s.programs == nil {
			s.programs = map[uint64]*program{}
		}
		p = &program{key: key}
		s.programs[key] = p
		p.place = s.recent.PushBack(p)
	} else {
		s.recent.MoveToBack(p.place)
	}
	p.seen = s.now
	return p
}

// expire ends the programs that were silent for too long, and the longest silent ones if
// too many are in progress.
func (s *State) expire() {
	limit := s.MaxPrograms
	if limit <= 0 {
		limit = DefaultPrograms
	}
	for e := s.recent.Front(); e != nil; e = s.recent.Front() {
		p := e.Value.(*program)
		silent := s.now-p.seen > s.idle()
		if !silent && len(s.programs) <= limit {
			return
		}
		if !silent {
			s.lines.Cut++
		}
		s.end(p)
	}
}

// end counts a program and forgets it.
func (s *State) end(p *program) {
	s.recent.Remove(p.place)
	delete(s.programs, p.key)
	outcome, whole := p.outcome(), divide(p.spans)
	ms := whole.end - whole.begin
	t := Totals{Programs: 1, TimeMs: ms}
	t.Ended[outcome] = 1
	if p.lateTwice() {
		t.LateTwice = 1
	}
	if t.lost() > 0 {
		t.LostMs, t.Lost = ms, whole.parts
		s.addCause(p, outcome, &t)
	}
	s.total.add(&t)
	s.seconds.at(p.begin).add(&t)
	s.row(byRoute, p.route).add(&t)
	s.row(byAccount, p.account).add(&t)
	s.row(byUpstream, p.upstream).add(&t)
	s.row(byFront, p.last.front).add(&t)
	if s.times[outcome] == nil {
		s.times[outcome] = hdrhistogram.New(1, 2*maxTookMs, digits)
	}
	_ = s.times[outcome].RecordValue(min(max(ms, 1), 2*maxTookMs)) // in range
}

func (s *State) addCause(p *program, outcome Outcome, t *Totals) {
	r := reason{outcome: outcome, cause: t.Lost.largest()}
	if outcome != Late {
		r.cause = s.names[byCause].name(p.last.cause)
	}
	if s.causes == nil {
		s.causes = map[reason]*Totals{}
	}
	if s.causes[r] == nil {
		s.causes[r] = &Totals{}
	}
	s.causes[r].add(t)
}

// row returns the totals of a name. They are valid until the next call.
func (s *State) row(table int, id uint32) *Totals {
	for len(s.tables[table]) <= int(id) {
		s.tables[table] = append(s.tables[table], Totals{})
	}
	return &s.tables[table][id]
}

// addRequest counts a request without a program.
func (s *State) addRequest(l *Line) {
	id := int(s.names[byKind].id(l.Kind))
	for len(s.kinds) <= id {
		s.kinds = append(s.kinds, Requests{})
	}
	r := &s.kinds[id]
	r.Requests++
	switch endOf(l) {
	case InTime:
		r.Answered++
	case Refused:
		r.Refused++
	default:
		r.Failed++
	}
}
