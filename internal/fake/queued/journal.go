package queued

import (
	"fmt"
	"sync"
	"time"
)

// The ways in which the delivery of a request at an upstream ends.
const (
	Pending    End = iota // it is still there
	Refused               // with a whole refusal
	RefusedCut            // with a refusal that was cut on its way
	Answered              // its whole response was written
	Dropped               // its connection closed before
)

type (
	// End is how a delivery ended.
	End int

	// Delivery is one request at one upstream.
	Delivery struct {
		Upstream string
		Arrived  time.Time
		Took     time.Duration // until it ended; 0 while it is there
		Began    bool          // it ran, or began to
		Foreign  bool          // a response to another request was written in place of its own
		End      End
	}

	// Journal records the deliveries at all upstreams of a system. The zero value is ready.
	Journal struct {
		mu         sync.Mutex
		deliveries map[string][]*Delivery // by id of the request
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

// Deliveries returns the deliveries of a request.
func (j *Journal) Deliveries(id string) (list []Delivery) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, s := range j.deliveries[id] {
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

func (d Delivery) String() string {
	how := []string{"pending", "refused", "refused, cut", "answered", "dropped"}[d.End]
	return fmt.Sprintf("%s %s+%v %s, began %v, foreign %v", d.Upstream, d.Arrived.Format("05.000"), d.Took.Round(time.Millisecond), how, d.Began, d.Foreign)
}

// end sets how the delivery of a request ended.
func (j *Journal) end(d *Delivery, e End) {
	j.note(func() {
		d.End, d.Took = e, time.Since(d.Arrived)
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

func (j *Journal) begin(id, upstream string) *Delivery {
	d := &Delivery{Upstream: upstream, Arrived: time.Now()}
	j.note(func() {
		if j.deliveries == nil {
			j.deliveries = map[string][]*Delivery{}
		}
		j.deliveries[id] = append(j.deliveries[id], d)
	})
	return d
}
