// Package queue holds the requests that wait for an upstream of one group, in
// the order in which they are to be served, within a bound.
//
// A request's key is a time in seconds: its arrival, put earlier by its
// declared priority and later by the service its family has attained and by
// the requests that its account has in the system already. The lowest key goes
// first. As a key never changes, every request ages at the same pace, and no
// newcomer is put before one that has waited longer than the greatest
// difference of two keys: nothing starves.
package queue

import (
	"math"
	"sort"
)

const (
	// priorityStep is the seconds that one step of declared priority is worth.
	// It exceeds what attained service can add, so that priority goes first.
	priorityStep = 30.0
	attainedStep = 1.0 // for each doubling of the attained service
	attainedMax  = 20.0
	attainedUnit = 1000 // tokens
	accountStep  = 0.5
	maxPriority  = 10
)

type (
	// Item is one waiting request. ID is the owner's name for it.
	Item struct {
		ID  int32
		Key float64
		New bool // the first request of its program: nothing is lost by refusing it
	}

	// Queue is sorted from the last to the first, so that the first is taken
	// from the end without moving the others.
	Queue struct{ items []Item }
)

// Key returns the key of a request that arrives at the time now in seconds.
// Ahead counts the requests that its account has in the system.
func Key(now float64, priority int, attained int64, ahead int) float64 {
	p := min(max(priority, -maxPriority), maxPriority)
	served := attainedStep * math.Log2(1+float64(max(attained, 0))/attainedUnit)
	return now - priorityStep*float64(p) + min(served, attainedMax) + accountStep*float64(ahead)
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// At returns the i-th request in the order of service.
func (q *Queue) At(i int) Item { return q.items[len(q.items)-1-i] }

// Ahead returns how many waiting requests have a key as low or lower.
func (q *Queue) Ahead(key float64) int {
	return len(q.items) - sort.Search(len(q.items), func(i int) bool { return q.items[i].Key <= key })
}

// RemoveAt takes the i-th request out.
func (q *Queue) RemoveAt(i int) {
	j := len(q.items) - 1 - i
	q.items = append(q.items[:j], q.items[j+1:]...)
}

// Remove takes the request out and reports whether it waited.
func (q *Queue) Remove(id int32) bool {
	for i := range q.items {
		if q.items[i].ID == id {
			q.items = append(q.items[:i], q.items[i+1:]...)
			return true
		}
	}
	return false
}

// Push puts the request in its place. If the queue then holds more than limit
// one request is taken out and returned: the last one that begins a program,
// otherwise the last one. A program under way has spent work that its refusal
// would waste, so overload is met by not beginning more of them.
func (q *Queue) Push(it Item, limit int) (evicted Item, dropped bool) {
	i := sort.Search(len(q.items), func(i int) bool { return q.items[i].Key <= it.Key })
	q.items = append(q.items, Item{})
	copy(q.items[i+1:], q.items[i:])
	q.items[i] = it
	if limit <= 0 || len(q.items) <= limit {
		return Item{}, false
	}
	j := q.victim()
	evicted = q.items[j]
	q.items = append(q.items[:j], q.items[j+1:]...)
	return evicted, true
}

func (q *Queue) victim() int {
	for i := range q.items {
		if q.items[i].New {
			return i
		}
	}
	return 0
}
