package index

import (
	"cmp"
	"slices"
)

// maxRuns bounds the runs of one request that are returned, about 300 bytes each: many callers may send the same.
const maxRuns = 64

type (
	// Run is what became of one attempt of a caller's request at upstreams. The request may have
	// other attempts, at other fronts.
	Run struct {
		Attempt string  `cbor:"1,keyasint,omitempty"` // left out in a record, which has it
		Request uint64  `cbor:"2,keyasint,omitempty"` // identifies the caller's request over all its attempts
		Ended   []Start `cbor:"3,keyasint,omitempty"` // upstreams that ended while they ran it, sorted
		Broken  []Start `cbor:"4,keyasint,omitempty"` // upstreams at which a run broke off and that may go on, one for each run
		At      int64   `cbor:"5,keyasint,omitempty"` // start of the attempt, in Unix milliseconds; left out in a record
		// Version is the software version of the upstream that the attempt was sent to, before any of
		// its response was passed on; valid with Choice, the number of times that one was chosen.
		Version string `cbor:"6,keyasint,omitempty"`
		Choice  int    `cbor:"7,keyasint,omitempty"`
		// Began is that upstream if it may have started again, with another version, before its front knew;
		// without an id if it was not chosen yet. Part of the choice; zero otherwise.
		Began Start `cbor:"9,keyasint,omitzero"`
		// Tried are upstreams that ran it without a whole good answer, sorted: they answered with a
		// failure or were silent until the caller left, and may yet end because of it.
		Tried []Start `cbor:"10,keyasint,omitempty"`
		// Under is odd while a run is under way: it may have ended its upstream if no later number comes, since its
		// front was lost with it.
		Under int `cbor:"11,keyasint,omitempty"`
		// Front identifies one start of the front that serves the attempt: "address/start". Empty if it is not stated.
		Front string `cbor:"12,keyasint,omitempty"`
		// Lost is how many attempts before this one, each begun after the one before, were lost with their fronts.
		Lost  int    `cbor:"13,keyasint,omitempty"`
		First string `cbor:"8,keyasint,omitempty"` // another attempt whose run is asked for, in a record; empty for none
	}

	// Start identifies one start of an upstream: one that starts again under its id is another.
	Start struct {
		ID   string `cbor:"1,keyasint"`
		Born int64  `cbor:"2,keyasint,omitempty"` // in Unix milliseconds; 0 if it states none, negative if only known to have begun before then
	}
)

// Compare orders starts by id and time.
func (s Start) Compare(o Start) int {
	return cmp.Or(cmp.Compare(s.ID, o.ID), cmp.Compare(s.Born, o.Born))
}

func (r Run) isEmpty() bool { return !r.HasFailed() && r.Choice == 0 && r.Under == 0 }

// IsUnderWay reports whether a run of the attempt is under way, or was lost with its front.
func (r Run) IsUnderWay() bool { return r.Under%2 == 1 }

// HasFailed reports whether the attempt has runs without a whole good answer.
func (r Run) HasFailed() bool { return len(r.Ended)+len(r.Broken)+len(r.Tried) > 0 }

func (r Record) hasRun() bool { return r.Program != "" && r.Run != nil && !r.Run.isEmpty() }

// run returns the record's run with its attempt.
func (r Record) run() Run {
	run := *r.Run
	run.Attempt, run.At, run.First = r.Attempt, r.At, ""
	return run
}

// MergeRuns merges what two records or replicas state of one attempt. Of the runs that broke off,
// one states a beginning of what the other does; of the versions the last choice holds.
func MergeRuns(a, b Run) Run {
	if a.Attempt == "" {
		return b
	}
	if b.Choice > a.Choice {
		a.Version, a.Choice, a.Began = b.Version, b.Choice, b.Began
	}
	if len(b.Broken) > len(a.Broken) {
		a.Broken = b.Broken
	}
	a.Under, a.Lost, a.Front = max(a.Under, b.Under), max(a.Lost, b.Lost), cmp.Or(a.Front, b.Front)
	a.Ended, a.Tried = union(a.Ended, b.Ended), union(a.Tried, b.Tried)
	return a
}

// union returns the starts in one of two sorted lists, sorted.
func union(a, b []Start) []Start {
	if len(b) == 0 {
		return a
	}
	all := slices.Concat(a, b)
	slices.SortFunc(all, Start.Compare)
	return slices.Compact(all)
}

func (r Run) equal(o Run) bool {
	return r.Attempt == o.Attempt && r.Request == o.Request && r.At == o.At && r.Version == o.Version && r.Choice == o.Choice && r.Began == o.Began && r.Under == o.Under && r.Front == o.Front && r.Lost == o.Lost &&
		slices.Equal(r.Ended, o.Ended) && slices.Equal(r.Broken, o.Broken) && slices.Equal(r.Tried, o.Tried)
}

func (p *program) addRun(r Run) {
	if p.runs == nil {
		p.runs = map[string]Run{}
	}
	p.runs[r.Attempt] = MergeRuns(p.runs[r.Attempt], r)
}

func (p *program) hasRun(r Run) bool {
	old, known := p.runs[r.Attempt]
	return known && MergeRuns(old, r).equal(old)
}

// InsertRun inserts a run into a list that has those with failures first, then the newest, and keeps no more than most.
// Hundreds of like requests may be under way, and each asks for the list.
func InsertRun(list []Run, r Run, most int) []Run {
	if len(list) >= most && compareRuns(r, list[most-1]) >= 0 {
		return list
	}
	list = list[:min(len(list), most-1)]
	i, _ := slices.BinarySearchFunc(list, r, compareRuns)
	return slices.Insert(list, i, r)
}

func compareRuns(a, b Run) int {
	if a.HasFailed() != b.HasFailed() {
		if a.HasFailed() {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.Lost, a.Lost), cmp.Compare(b.At, a.At), cmp.Compare(a.Attempt, b.Attempt))
}

// Runs returns what is stated of the attempts of a request, maxRuns at most, and of the attempt first.
func (ix *Index) Runs(name string, request uint64, first string) (list []Run) {
	p := ix.programs[name]
	if p == nil {
		return nil
	}
	for _, r := range p.runs {
		if r.Request == request && r.Attempt != first {
			list = InsertRun(list, r, maxRuns)
		}
	}
	if r, found := p.runs[first]; found {
		list = append(list, r)
	}
	return list
}
