package proxy

import (
	"context"
	"sync"
	"time"
)

// A front that leaves takes a request only if it will be answered before the end: another front serves what is refused,
// but nobody may repeat what may have run. What still runs at the end is told so.

// leaveSlack is how much longer a request may run than the longest of its route did lately, as a part of that.
const leaveSlack = 0.25

// leaving tells by when a front that leaves has answered all requests. The zero value is of one that stays.
type leaving struct {
	mu    sync.Mutex
	end   time.Time          // zero if it stays
	ended context.Context    //nolint:containedctx // done at the end; nil if nobody has asked for it
	stop  context.CancelFunc // ends it
}

// begin sets the end. Later calls change nothing.
func (l *leaving) begin(end time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.end.IsZero() {
		l.end = end
		l.context()
		time.AfterFunc(time.Until(end), l.stop)
	}
}

// by returns when it ends; false if it stays.
func (l *leaving) by() (end time.Time, leaves bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.end, !l.end.IsZero()
}

// whenEnded calls f at the end, unless stop is called before.
func (l *leaving) whenEnded(f func()) (stop func() bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return context.AfterFunc(l.context(), f)
}

// context returns a context that ends with the front; the caller holds l.mu.
func (l *leaving) context() context.Context {
	if l.ended == nil {
		l.ended, l.stop = context.WithCancel(context.Background()) //nolint:gosec // the end cancels it
	}
	return l.ended
}

// finishesInTime reports whether the request, now that all of it has come, will be answered before this front ends.
func (q *request) finishesInTime(now time.Time) bool {
	end, leaves := q.e.leaving.by()
	if !leaves || !q.deadline.After(end) {
		return true
	}
	longest, known := q.e.lasted.Longest(now, q.route.Name)
	return known && now.Add(longest+time.Duration(leaveSlack*float64(longest))).Before(end)
}

// untilEnd returns a context that ends with the parent, at the request's deadline, and when this front ends.
func (q *request) untilEnd(parent context.Context) (ctx context.Context, cancel context.CancelFunc) {
	ctx, end := context.WithDeadline(parent, q.deadline)
	stop := q.e.leaving.whenEnded(end)
	return ctx, func() {
		stop()
		end()
	}
}

// noteLasted notes for how long the request ran, if an upstream answered it.
func (q *request) noteLasted(whole time.Time) {
	if q.summary.ran == ranYes {
		now := time.Now()
		q.e.lasted.Add(now, q.route.Name, now.Sub(whole))
	}
}
