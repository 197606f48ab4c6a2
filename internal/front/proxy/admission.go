package proxy

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/front/admit"
	"github.com/slaterock/slaterock/internal/place/gate"
)

const (
	// maxQueueShare is the share of the time between a program's first attempt and its
	// deadline that it may spend in the queue. The rest is what it needs: programs take
	// 0.8 of that time on busy engines and 0.6 on idle ones.
	maxQueueShare = 0.2
	// maxLimitShare is the same for the wait for its account's limit. Limits bind on idle
	// engines, too; if the engines are busy, the queue refuses the program afterwards.
	maxLimitShare = 0.35
	// maxQueueWait bounds the time that a turn waits for its account's limit and for engines:
	// callers disconnect from a stream that sends nothing for two seconds.
	maxQueueWait = 1500 * time.Millisecond
	// minLoggedWait is the shortest queue time that is logged for an admitted program.
	minLoggedWait = time.Millisecond
	// queuedNewProgram and queuedLateProgram are the logged reasons why an attempt was
	// queued or refused. In both cases the engines had no room; a late program had
	// already passed the time until which it may wait when the attempt arrived.
	queuedNewProgram  = "new_program"
	queuedLateProgram = "late_program"
)

// waitForRoom waits until the engines have room for one more program. It returns false
// if the request has ended: an error response was sent, or the caller has disconnected.
// Turns of programs that have begun do not wait, as a refusal would waste the work done so
// far; nor do turns without a token budget or a deadline, nor resumed streams.
func (t *turn) waitForRoom(ctx context.Context) bool {
	if t.programBegun || !t.reserved || !t.HasFinishIn || t.lastEventID != "" {
		return true
	}
	began := time.Now()
	waitUntil := earlier(t.latestStart(maxQueueShare), began.Add(maxQueueWait-t.summary.limitWait))
	s := &t.summary
	if s.load = t.e.load(t.service.Name); s.load.Capacity == 0 {
		return true // no engine accepts work: dispatch refuses the turn at once
	}
	var err error
	s.queueAhead, err = t.e.Queue.Wait(ctx, t.service.Name, t.program(waitUntil), s.load)
	s.queueTime = time.Since(began)
	t.e.Scope.Timer("queue_time").Record(s.queueTime)
	if err == nil && s.queueTime < minLoggedWait {
		return true
	}
	s.queueReason = queuedNewProgram
	if !began.Before(waitUntil) {
		s.queueReason = queuedLateProgram
	}
	if err == nil {
		return true
	}
	t.settle()
	var notAdmitted *admit.NotAdmittedError
	if errors.As(err, &notAdmitted) {
		t.replyUnavailable("engines_busy", notAdmitted.After, err)
		return false
	}
	t.replyExpired(err)
	return false
}

// latestStart returns the time until which the program may begin to be finished in time, if it
// may wait for a share of the time between its first attempt and its deadline. It does not
// depend on how long this attempt has waited: FinishIn counts from its arrival.
func (t *turn) latestStart(share float64) time.Time {
	programTime := t.FinishIn + t.began.Sub(t.programStart)
	return t.programStart.Add(time.Duration(share * float64(programTime)))
}

// load returns the load of a service's engines.
func (e *Endpoint) load(service string) gate.Load {
	view := e.Fleet.View()
	l := e.Picker.Load(view.Services[service], e.Queue.Share(service))
	e.addDemand(&l, service, view.Table)
	return l
}

// done records the end of a request at an upstream, which may make room for a queued
// one.
func (e *Endpoint) done(id string) {
	e.Picker.Done(id)
	e.PeersUpdated()
}

// PeersUpdated passes the present load to the admission queues, which may then admit
// programs. It is to be called after the load has changed, here or at other daemons.
func (e *Endpoint) PeersUpdated() { e.Queue.Change(e.load) }
