package wait

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/front/bucket"
)

const rate = 10

var start = time.Unix(1000, 0)

// newQueue returns a queue of a front whose account a has no tokens.
func newQueue() *Queue {
	b := &bucket.Buckets{Tolerance: bucket.Tolerance{Window: 5 * time.Second, Over: 0.1, Slack: 20}}
	b.Limit(start, map[string]bucket.Limit{"a": {Rate: rate, Burst: rate}, "b": {Rate: rate, Burst: rate}})
	b.Update(start, bucket.PeerUsage{Fronts: 1, Total: 1})
	b.Drain(start)
	return &Queue{Buckets: b}
}

func request(ticket uint64, class bucket.Class, age, wait time.Duration) *Request {
	return &Request{Ticket: ticket, Account: "a", Class: class, Start: start.Add(-age), Until: start.Add(wait)}
}

// Programs that have begun must not wait behind new ones, and of these the shortest and, among
// equals, the newest come first: otherwise tokens go to programs that can't end in time.
func TestOrder(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	for _, r := range []*Request{
		request(1, bucket.New, 0, 900*time.Millisecond),
		request(2, bucket.New, 100*time.Millisecond, 400*time.Millisecond),
		request(3, bucket.New, 0, 500*time.Millisecond),
		request(4, bucket.Begun, time.Second, time.Second),
		request(5, bucket.Begun, 2*time.Second, time.Second),
	} {
		_, waits, _ := q.Arrive(start, r)
		is.True(waits)
	}
	all, begun := q.Waiting()
	is.Equal([]int{all["a"], begun["a"]}, []int{5, 2})
	var served []uint64
	for at := start; q.Len() > 0; at = at.Add(50 * time.Millisecond) {
		q.Buckets.Update(at, bucket.PeerUsage{Fronts: 1, Total: 1})
		for _, o := range q.Step(at, "a") {
			served = append(served, o.Ticket)
		}
	}
	is.Equal(served, []uint64{5, 4, 3, 2, 1})
}

// A program that can't end in time any more must not begin while others wait that can, at this
// front or another.
func TestLateProgramsAreLast(t *testing.T) {
	cases := map[string]struct {
		elsewhere int // requests that wait at other fronts
		ok        bool
	}{
		"nobody waits": {0, true},
		"others wait":  {1, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := newQueue()
			at := start
			for range 20 {
				at = at.Add(100 * time.Millisecond)
				q.Buckets.Update(at, bucket.PeerUsage{Fronts: 2, Total: 2, Waiting: map[string]int{"a": c.elsewhere}})
			}
			d, waits, _ := q.Arrive(at, request(1, bucket.New, 5*time.Second, time.Second))
			is.True(!waits)
			is.Equal(d.OK, c.ok)
		})
	}
}

// A request that can't get a token before it is useless must not wait, and one whose wait ends
// without a token must leave no count behind: others would wait behind it.
func TestUselessRequestsLeave(t *testing.T) {
	cases := map[string]struct {
		wait  time.Duration
		waits bool
		end   func(q *Queue)
	}{
		"no time":      {0, false, nil},
		"short time":   {50 * time.Millisecond, false, nil},
		"expires":      {time.Second, true, func(q *Queue) { q.Expire(start, 1) }},
		"disconnects":  {time.Second, true, func(q *Queue) { q.Cancel(start, 1) }},
		"account gone": {time.Second, true, func(q *Queue) { q.Buckets.Limit(start, nil); q.Step(start, "a") }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := newQueue()
			d, waits, _ := q.Arrive(start, request(1, bucket.Begun, 0, c.wait))
			is.Equal(waits, c.waits)
			is.True(!d.OK && d.RetryAfter > 0)
			if c.end != nil {
				c.end(q)
			}
			is.Equal(q.Len(), 0)
			all, _ := q.Waiting()
			is.Equal(len(all), 0)
		})
	}
}

// Beyond the bound the last request of the account that has most waiting must leave, so that an
// account with a few requests is not refused because of another one's flood.
func TestBound(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	q.Max = 3
	for i := range uint64(3) {
		_, waits, evicted := q.Arrive(start, request(i, bucket.New, 0, time.Duration(i+1)*time.Second))
		is.True(waits && len(evicted) == 0)
	}
	other := request(9, bucket.New, 0, time.Second)
	other.Account = "b"
	_, waits, evicted := q.Arrive(start, other)
	is.True(waits)
	is.Equal(evicted[0].Ticket, uint64(2)) // the longest program
	is.Equal(q.Len(), 3)
	_, waits, _ = q.Arrive(start, request(10, bucket.New, 0, time.Minute))
	is.True(!waits)
}

// A flood must not exhaust a front's memory: 10,000 requests wait in less than 16 MB.
func TestMemory(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	accounts := []string{"a", "b"}
	for i := range uint64(DefaultMax) {
		r := request(i, bucket.Class(i%2), time.Duration(i), time.Hour)
		r.Account = accounts[i/2%2]
		q.Arrive(start, r)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	is.Equal(q.Len(), DefaultMax)
	used := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Log(used)
	is.True(used < 8<<20) // the rest is for the timer and channel of each
	runtime.KeepAlive(q)
}

// The cost of a request must not grow with the number of those that wait.
func BenchmarkArriveAndCancel(b *testing.B) {
	for _, n := range []int{10, 1000, 9000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q := newQueue()
			for i := range uint64(n) {
				q.Arrive(start, request(i, bucket.New, time.Duration(i), time.Hour))
			}
			for b.Loop() {
				q.Arrive(start, request(1<<20, bucket.Begun, 0, time.Hour))
				q.Cancel(start, 1<<20)
			}
		})
	}
}

// Requests that wait for an account must be found by it until they leave.
func TestAccounts(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	q.Arrive(start, request(1, bucket.New, 0, time.Second))
	is.True(slices.Equal(q.Accounts(), []string{"a"}))
	_, waits := q.Next(start, "a")
	is.True(waits)
	q.Cancel(start, 1)
	is.Equal(len(q.Accounts()), 0)
}
