package proxy

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/front/admit"
	"github.com/slaterock/slaterock/internal/place/gate"
)

const (
	// slack is the share of a program's time that it may lose before it begins. On
	// busy engines programs take 0.8 of their time, on idle ones 0.6.
	maxQueueShare = 0.2
	// longest is how long a first turn waits at most: callers leave a stream that
	// is silent for two seconds.
	maxQueueWait = 1500 * time.Millisecond
	// noticed is from when a wait is told in the log.
	minLoggedWait = time.Millisecond
	// queueNew and queueLate tell in the log why an attempt waited or was refused:
	// too many turns under way for one more program, or for one that is late.
	queuedNewProgram  = "new_program"
	queuedLateProgram = "late_program"
)

// admitted waits until the engines have room for one more program. It is false if
// the turn has been answered. Turns of programs that have begun don't wait: what
// they have done would be in vain.
func (t *turn) waitForRoom(ctx context.Context) bool {
	if t.programBegun || !t.reserved || !t.HasFinishIn || t.lastEventID != "" {
		return true
	}
	began := time.Now()
	programTime := t.FinishIn + began.Sub(t.programStart)
	latestStart := t.programStart.Add(time.Duration(maxQueueShare * float64(programTime)))
	if maxStart := began.Add(maxQueueWait); latestStart.After(maxStart) {
		latestStart = maxStart
	}
	s := &t.summary
	if s.load = t.e.load(t.service.Name); s.load.Room == 0 {
		return true // no engine takes work: the caller is told at once, by dispatch
	}
	err := t.e.Queue.Wait(ctx, t.service.Name, latestStart, s.load)
	s.queueTime = time.Since(began)
	t.e.Scope.Timer("queue_time").Record(s.queueTime)
	if err == nil && s.queueTime < minLoggedWait {
		return true
	}
	s.queueReason = queuedNewProgram
	if !began.Before(latestStart) {
		s.queueReason = queuedLateProgram
	}
	if err == nil {
		return true
	}
	t.settle()
	var refusal *admit.RefusedError
	if errors.As(err, &refusal) {
		t.replyUnavailable("engines_busy", refusal.After, err)
		return false
	}
	t.replyExpired(err)
	return false
}

// load is what the engines of a service have to do.
func (e *Endpoint) load(service string) gate.Load {
	return e.Picker.Load(e.Fleet.View().Services[service], e.Queue.Share(service))
}

// done ends a request at an upstream, which may make room for one that waits.
func (e *Endpoint) done(id string) {
	e.Picker.Done(id)
	e.UpdateLoad()
}

// Heard tells that what is under way has changed, here or at other daemons.
func (e *Endpoint) UpdateLoad() { e.Queue.Change(e.load) }
