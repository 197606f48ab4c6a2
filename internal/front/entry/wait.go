package entry

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
	slack = 0.2
	// longest is how long a first turn waits at most: callers leave a stream that
	// is silent for two seconds.
	longest = 1500 * time.Millisecond
	// noticed is from when a wait is told in the log.
	noticed = time.Millisecond
	// queueNew and queueLate tell in the log why an attempt waited or was refused:
	// too many turns under way for one more program, or for one that is late.
	queueNew  = "new_program"
	queueLate = "late_program"
)

// admitted waits until the engines have room for one more program. It is false if
// the turn has been answered. Turns of programs that have begun don't wait: what
// they have done would be in vain.
func (t *turn) admitted(ctx context.Context) bool {
	if t.begun || !t.reserved || !t.HasFinish || t.last != "" {
		return true
	}
	began := time.Now()
	whole := t.Finish + began.Sub(t.since)
	until := t.since.Add(time.Duration(slack * float64(whole)))
	if latest := began.Add(longest); until.After(latest) {
		until = latest
	}
	s := &t.story
	if s.load = t.e.load(t.service.Name); s.load.Room == 0 {
		return true // no engine takes work: the caller is told at once, by dispatch
	}
	err := t.e.Queue.Wait(ctx, t.service.Name, until, s.load)
	s.queued = time.Since(began)
	t.e.Scope.Timer("queue_time").Record(s.queued)
	if err == nil && s.queued < noticed {
		return true
	}
	s.queue = queueNew
	if !began.Before(until) {
		s.queue = queueLate
	}
	if err == nil {
		return true
	}
	t.settle()
	var no *admit.Refused
	if errors.As(err, &no) {
		t.unavailable("engines_busy", no.After, err)
		return false
	}
	t.giveUp(err)
	return false
}

// load is what the engines of a service have to do.
func (e *Entry) load(service string) gate.Load {
	return e.Picker.Load(e.Fleet.View().Services[service], e.Queue.Share(service))
}

// done ends a request at an upstream, which may make room for one that waits.
func (e *Entry) done(id string) {
	e.Picker.Done(id)
	e.PeersUpdated()
}

// Heard tells that what is under way has changed, here or at other daemons.
func (e *Entry) PeersUpdated() { e.Queue.Change(e.load) }
