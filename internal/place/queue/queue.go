// Package queue is a bounded priority queue of the requests that wait for an
// upstream of one group.
//
// A request's key is a time in seconds: its arrival, made earlier by its
// priority and later by the attained service of its program's family and by
// the requests that its account already has queued or in flight. The lowest
// key is served first. As a key never changes, all requests age at the same
// rate, and a new request is never put before one that has waited longer than
// the greatest possible difference of these terms, so none starves.
package queue

import (
	"math"
	"sort"
)

const (
	// priorityStep is the seconds for each step of priority. It exceeds
	// attainedMax, so that priority outweighs attained service.
	priorityStep = 30.0
	attainedStep = 1.0 // for each doubling of the attained service
	attainedMax  = 20.0
	attainedUnit = 1000 // tokens
	accountStep  = 0.5
	maxPriority  = 10
)

type (
	// Item is one waiting request. ID is chosen by the user of the queue.
	Item struct {
		ID  int32
		Key float64
		New bool // of a program family that has received no service yet: refusing it wastes no work
	}

	// Queue is sorted by descending key, so that the first in order of service
	// is removed from the end of the slice without moving the others.
	Queue struct{ items []Item }
)

// Key returns the key of a request that arrives at the time now in seconds.
// attained is in tokens; ahead is the number of other requests that the account
// has queued or in flight.
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

// RemoveAt removes the i-th request in the order of service.
func (q *Queue) RemoveAt(i int) {
	j := len(q.items) - 1 - i
	q.items = append(q.items[:j], q.items[j+1:]...)
}

// Remove removes the request and reports whether it was in the queue.
func (q *Queue) Remove(id int32) bool {
	for i := range q.items {
		if q.items[i].ID == id {
			q.items = append(q.items[:i], q.items[i+1:]...)
			return true
		}
	}
	return false
}

// Push inserts the request. If the queue then holds more than limit requests, one
// is dropped and returned: of those marked New the one that would be served last, or
// if there is none, the one that would be served last of all. Refusing a running
// program would waste the work done for it, so overload is handled by not starting
// more programs. A limit of 0 or less is none.
func (q *Queue) Push(it Item, limit int) (dropped Item, ok bool) {
	i := sort.Search(len(q.items), func(i int) bool { return q.items[i].Key <= it.Key })
	q.items = append(q.items, Item{})
	copy(q.items[i+1:], q.items[i:])
	q.items[i] = it
	if limit <= 0 || len(q.items) <= limit {
		return Item{}, false
	}
	j := q.dropIndex()
	dropped = q.items[j]
	q.items = append(q.items[:j], q.items[j+1:]...)
	return dropped, true
}

func (q *Queue) dropIndex() int {
	for i := range q.items {
		if q.items[i].New {
			return i
		}
	}
	return 0
}
