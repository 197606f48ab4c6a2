package sched

import (
	"fmt"
	"time"

	"github.com/slaterock/slaterock/internal/place/queue"
	"github.com/slaterock/slaterock/internal/place/retry"
	"github.com/slaterock/slaterock/internal/prog/result"
)

const (
	defaultQueueLimit = 256
	defaultQueueWait  = 5 * time.Second
	// Longest time for which a request waits for its cheapest upstream while
	// another has room.
	maxHold = time.Second
	// Queued requests examined in one dispatch, which bounds the time of a step.
	dispatchScan  = 16
	failureMemory = time.Minute // age at which failures are removed, and interval of that
	minRetryAfter = 500 * time.Millisecond
	// Maximum expected wait of a request of a new program family, as a share of
	// that of other requests.
	newProgramShare = 0.5
)

func (s *Sched) submit(now time.Time, a Submit) {
	if slot, ok := s.byID[a.ID]; ok {
		if s.requests[slot].queued {
			return
		}
		s.cancel(now, a.ID)
	}
	last, again := s.failed[a.ID]
	if !s.admitAttempt(a, last, again) {
		return
	}
	slot := s.open(now, a, last, again)
	r := &s.requests[slot]
	g := s.groups[a.Group]
	if g == nil || !s.reachable(now, g, r) {
		s.refuse(slot, result.CodeNoUpstream, "no upstream in group "+a.Group, s.breakerWait(now, g))
		return
	}
	if len(a.Blocks) > 0 {
		s.index.Use(a.Program, a.Blocks)
	}
	s.enqueue(now, g, slot)
	s.dispatch(now, g)
}

// admitAttempt refuses a further attempt that could run a request twice, and
// one that exceeds the retry budget.
func (s *Sched) admitAttempt(a Submit, last failure, again bool) bool {
	idempotent := a.Idempotent || a.Service == ""
	switch {
	case again && !retry.Safe(idempotent, last.sent):
		s.emit(Refuse{ID: a.ID, Code: result.CodeUnknown, Message: "an earlier attempt may have run at " + last.upstream})
	case (a.Retry || again) && !s.retries.Spend():
		s.emit(Refuse{ID: a.ID, Code: result.CodeUpstreamFailed, Message: "retry budget is spent", RetryAfter: s.jitter(time.Second)})
	default:
		if !a.Retry && !again {
			s.retries.Earn()
			s.hedges.Earn()
		}
		return true
	}
	return false // the failure stays recorded, so that submitting again is refused too
}

// reachable reports whether any usable upstream could serve the request, even
// if it has no room yet.
func (s *Sched) reachable(now time.Time, g *group, r *request) bool {
	for _, i := range g.ups {
		u := s.ups[i]
		if u.usable(now) && u.serves(r.submit.Model) && !r.avoids(u.name) {
			return true
		}
	}
	return false
}

func (s *Sched) breakerWait(now time.Time, g *group) time.Duration {
	if g == nil {
		return 0
	}
	first := time.Duration(0)
	for _, i := range g.ups {
		w := s.ups[i].breaker.Wait(now)
		if w > 0 && (first == 0 || w < first) {
			first = w
		}
	}
	if first == 0 {
		return 0
	}
	return s.jitter(first)
}

// enqueue queues the request, or refuses it if the expected wait is too long.
// A full queue then drops one request, which may be another.
func (s *Sched) enqueue(now time.Time, g *group, slot int32) {
	r := &s.requests[slot]
	key := queue.Key(now.Sub(s.start).Seconds(), r.submit.Priority, r.submit.Attained, s.accounts[r.submit.Account]-1)
	isNew := r.submit.Attained == 0 && r.submit.Model != ""
	wait := g.wait(g.queue.Ahead(key))
	maxWait := g.maxWait()
	if isNew {
		maxWait = time.Duration(newProgramShare * float64(maxWait))
	}
	if g.queue.Len() > 0 && wait > maxWait {
		s.refuse(slot, result.CodeOverloaded, overloaded(g, wait), s.jitter(wait))
		return
	}
	r.queued = true
	limit := g.conf.QueueLimit
	if limit <= 0 {
		limit = defaultQueueLimit
	}
	dropped, ok := g.queue.Push(queue.Item{ID: slot, Key: key, New: isNew}, limit)
	if ok {
		s.refuse(dropped.ID, result.CodeOverloaded, overloaded(g, wait), s.jitter(wait))
	}
}

// expire refuses requests that have waited for twice the maximum wait. This
// is a safeguard: enqueue already refuses requests with a too long expected wait.
func (s *Sched) expire(now time.Time, g *group) {
	for i := 0; i < g.queue.Len(); {
		slot := g.queue.At(i).ID
		if now.Sub(s.requests[slot].arrived) <= 2*g.maxWait() {
			i++
			continue
		}
		g.queue.RemoveAt(i)
		s.refuse(slot, result.CodeOverloaded, overloaded(g, g.wait(g.queue.Len())), s.jitter(g.wait(g.queue.Len())))
	}
}

func (g *group) maxWait() time.Duration {
	if g.conf.QueueWait > 0 {
		return g.conf.QueueWait
	}
	return defaultQueueWait
}

// wait estimates how long a request waits behind ahead others.
func (g *group) wait(ahead int) time.Duration {
	mean := g.speed.Mean()
	return time.Duration(float64(ahead+1) * mean / max(g.capacity, 1) * float64(time.Second))
}

// jitter returns a random delay of d to 2d, at least minRetryAfter, so that
// refused callers don't retry all at once.
func (s *Sched) jitter(d time.Duration) time.Duration {
	d = max(d, minRetryAfter)
	return d + time.Duration(s.rng.Float64()*float64(d))
}

func overloaded(g *group, wait time.Duration) string {
	return fmt.Sprintf("group %s is overloaded: expected wait %s", g.name, wait.Round(time.Millisecond))
}

func (s *Sched) refuse(slot int32, code result.Code, message string, after time.Duration) {
	s.emit(Refuse{ID: s.requests[slot].submit.ID, Code: code, Message: message, RetryAfter: after})
	s.close(slot)
}
