package replay

import (
	"container/heap"
	"time"
)

type (
	// clock is a virtual clock with an event queue. Events run in order of time;
	// events of equal time run in the order in which they were scheduled.
	clock struct {
		now    time.Time
		events events
		seq    int
	}

	event struct {
		at  time.Time
		seq int
		f   func()
	}

	events []event
)

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(v any) { *e = append(*e, v.(event)) }

func (e *events) Pop() any {
	last := len(*e) - 1
	v := (*e)[last]
	*e = (*e)[:last]
	return v
}

func (c *clock) after(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now.Add(max(d, 0)), seq: c.seq, f: f})
}

// every calls f after first and then every d, until f returns false.
func (c *clock) every(first, d time.Duration, f func() bool) {
	c.after(first, func() {
		if f() {
			c.every(d, d, f)
		}
	})
}

// run runs events until the queue is empty or done returns true.
func (c *clock) run(done func() bool) {
	for len(c.events) > 0 && !done() {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.f()
	}
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
