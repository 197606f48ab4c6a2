package queued

import (
	"fmt"
	"sync"
	"time"
)

// The ways in which the stay of a request at an upstream ends.
const (
	Here     End = iota // it is still there
	Refused             // with a whole refusal
	Spoilt              // with a refusal that was cut on its way
	Answered            // its whole response was written
	Dropped             // its connection closed before
)

type (
	// End is how a stay ended.
	End int

	// Stay is one request at one upstream.
	Stay struct {
		Upstream string
		Came     time.Time
		Took     time.Duration // until it ended; 0 while it is there
		Began    bool          // it ran, or began to
		Foreign  bool          // a response to another request was written in place of its own
		End      End
	}

	// Journal records the stays at all upstreams of a system. The zero value is ready.
	Journal struct {
		mu         sync.Mutex
		stays      map[string][]*Stay // by id of the request
		violations []string
		counts     Counts
	}

	// Counts are numbers of events at all upstreams.
	Counts struct {
		Opened          int // connections
		Refusals        int
		Early           int // of these, those before the body was read
		Successes       int
		Dropped         int // requests whose connection closed before they were answered
		CopiedRefusals  int // written in place of a later response, and the same of successes
		CopiedSuccesses int
	}
)

// Stays returns the stays of a request.
func (j *Journal) Stays(id string) (list []Stay) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, s := range j.stays[id] {
		list = append(list, *s)
	}
	return list
}

// Counts returns the numbers of events so far.
func (j *Journal) Counts() Counts {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.counts
}

// Violations returns descriptions of requests that came with another body than their caller sent.
func (j *Journal) Violations() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.violations...)
}

// note changes the journal.
func (j *Journal) note(change func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	change()
}

func (s Stay) String() string {
	how := []string{"here", "refused", "refused, cut", "answered", "dropped"}[s.End]
	return fmt.Sprintf("%s %s+%v %s, began %v, foreign %v", s.Upstream, s.Came.Format("05.000"), s.Took.Round(time.Millisecond), how, s.Began, s.Foreign)
}

// end sets how the stay of a request ended.
func (j *Journal) end(s *Stay, e End) {
	j.note(func() {
		s.End, s.Took = e, time.Since(s.Came)
		switch e {
		case Refused:
			j.counts.Refusals++
		case Answered:
			j.counts.Successes++
		case Dropped:
			j.counts.Dropped++
		}
	})
}

func (j *Journal) begin(id, upstream string) *Stay {
	s := &Stay{Upstream: upstream, Came: time.Now()}
	j.note(func() {
		if j.stays == nil {
			j.stays = map[string][]*Stay{}
		}
		j.stays[id] = append(j.stays[id], s)
	})
	return s
}
