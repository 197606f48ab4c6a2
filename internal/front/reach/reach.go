// Package reach is a circuit breaker for the calls of a front to the holders, the replicas
// that store durable records, which may be unreachable from one front only.
//
// Turns at such a front would wait for their records until their callers give up. Once
// calls have failed for some time without a success, further calls fail at once, so that
// callers retry and are directed to another front; probes are let through to detect
// when the holders are reachable again. Reservations beyond what the holders can do fail at
// once, too (see package slots).
package reach

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/disk/quorum"
	"github.com/slaterock/slaterock/internal/front/memory"
	"github.com/slaterock/slaterock/internal/front/slots"
	"github.com/slaterock/slaterock/internal/peer/pause"
)

const (
	// CallTimeout limits the calls that a turn waits for before it runs, except for a
	// reservation at holders that answer other calls.
	CallTimeout = quorum.RetryTime
	// slowTimeout limits a reservation at holders that answer. It waits for the sync under
	// way and for its own, which take a second each while the disks have much to write.
	slowTimeout = 2500 * time.Millisecond
	// answerTimeout bounds the question whether the holders answer: a round trip takes
	// milliseconds, and one that has too much to do takes as long for this as for a write.
	answerTimeout = 300 * time.Millisecond
	// tripFailures is the number of consecutive failures, and tripTime the time since the
	// first of them, after which the holders count as unreachable. One slow call does not
	// suffice.
	tripFailures = 2
	tripTime     = 300 * time.Millisecond
	// probeInterval is the interval between calls let through as probes meanwhile.
	probeInterval = 250 * time.Millisecond
)

var (
	// errOpen is the error of a call that is not made.
	errOpen = errors.Mark(errors.Wrap(quorum.ErrNoQuorum, "not asked since earlier calls failed"), quorum.ErrNotWritten)
	// errFull is the error of a reservation beyond what the holders can do.
	errFull = errors.Mark(errors.Mark(errors.Wrap(quorum.ErrNoQuorum, "not asked since others wait"), quorum.ErrNotWritten), quorum.ErrOverloaded)
)

type (
	// Room takes n bytes for turns before they are read; nil takes nothing.
	Room = func(ctx context.Context, n int64) error

	// Records reads and writes durable records.
	Records interface {
		Write(context.Context, index.Record) (quorum.Result, error)
		ReadWithin(ctx context.Context, program, turn string, room Room) ([]index.Turn, error)
		// Answering reports whether as many holders as a reservation needs answer, before ctx ends, a
		// call that waits for no disk.
		Answering(ctx context.Context) bool
	}

	// Breaker wraps Records so that calls fail at once while the holders are unreachable.
	// Set Records before use.
	Breaker struct {
		Records Records

		slots slots.Slots // of reservations

		mu           sync.Mutex
		failures     int       // since the last success
		firstFailure time.Time // since the last success
		lastProbe    time.Time
		asked        *question // the last one; nil for none
	}

	// question is one whether the holders answer, for all calls that wait meanwhile.
	question struct {
		began time.Time
		ended chan struct{}
		yes   bool
	}
)

// Write writes a record. A reservation has CallTimeout, or slowTimeout as long as the holders
// answer other calls. It fails with quorum.ErrNoQuorum while they are unreachable, and with
// quorum.ErrOverloaded while they have too much to do. A query has CallTimeout and fails in the
// first case, too. Other records, the output, the runs and the usage of turns, are always
// written, without a timeout of their own.
func (b *Breaker) Write(ctx context.Context, rec index.Record) (res quorum.Result, err error) {
	switch {
	case rec.IsQuery():
		return b.query(ctx, rec)
	case !rec.Reserved:
		return b.Records.Write(ctx, rec)
	}
	return b.reserve(ctx, rec)
}

func (b *Breaker) reserve(ctx context.Context, rec index.Record) (res quorum.Result, err error) {
	if !b.allow(time.Now()) {
		return res, errOpen
	}
	began := time.Now()
	limited, stop := context.WithTimeout(ctx, slowTimeout)
	defer stop()
	var held atomic.Bool // a slot
	release := func(overloaded bool) {
		if held.Swap(false) {
			b.slots.Release(time.Now(), overloaded)
		}
	}
	defer time.AfterFunc(CallTimeout-answerTimeout, func() { b.endUnanswered(limited, stop, release) }).Stop()
	if err = b.slots.Acquire(limited); err != nil {
		return res, errors.WithSecondaryError(errFull, err)
	}
	held.Store(true)
	res, err = b.Records.Write(limited, rec)
	release(errors.Is(err, quorum.ErrOverloaded))
	b.recordOutcome(ctx, err)
	if err != nil && time.Since(began) >= slowTimeout {
		err = errors.Wrap(err, "record servers answer and have not synced")
	}
	return res, err
}

// endUnanswered ends a call, with CallTimeout at the earliest, once the holders don't answer other calls. If
// they do, it releases the call's slot: the call waits for a disk, and the holders have room for others.
func (b *Breaker) endUnanswered(ctx context.Context, stop func(), release func(overloaded bool)) {
	for {
		began := time.Now()
		if !b.answering(ctx) {
			pause.For(ctx, time.Until(began.Add(answerTimeout)))
			stop()
			return
		}
		release(false)
		if !pause.For(ctx, CallTimeout) {
			return
		}
	}
}

// answering reports whether the holders answer. It asks them once in CallTimeout at most: they may have too
// much to do.
func (b *Breaker) answering(ctx context.Context) bool {
	b.mu.Lock()
	if b.asked == nil || time.Since(b.asked.began) >= CallTimeout {
		b.asked = &question{began: time.Now(), ended: make(chan struct{})}
		go b.ask(context.WithoutCancel(ctx), b.asked)
	}
	q := b.asked
	b.mu.Unlock()
	select {
	case <-q.ended:
		return q.yes
	case <-ctx.Done():
		return false
	}
}

func (b *Breaker) ask(ctx context.Context, q *question) {
	defer close(q.ended)
	limited, stop := context.WithTimeout(ctx, answerTimeout)
	defer stop()
	q.yes = b.Records.Answering(limited)
}

func (b *Breaker) query(ctx context.Context, rec index.Record) (res quorum.Result, err error) {
	if !b.allow(time.Now()) {
		return res, errOpen
	}
	limited, stop := context.WithTimeout(ctx, CallTimeout)
	defer stop()
	res, err = b.Records.Write(limited, rec)
	b.recordOutcome(ctx, err)
	return res, err
}

// Read returns a turn and the turns before it, the oldest first, within CallTimeout. It
// fails with quorum.ErrNoQuorum while the holders are unreachable.
func (b *Breaker) Read(ctx context.Context, program, turn string, room Room) (chain []index.Turn, err error) {
	if !b.allow(time.Now()) {
		return nil, errOpen
	}
	limited, stop := context.WithTimeout(ctx, CallTimeout)
	defer stop()
	chain, err = b.Records.ReadWithin(limited, program, turn, room)
	b.recordOutcome(ctx, err)
	return chain, err
}

// recordOutcome counts a failure or resets the count. ErrNoTurn, ErrSpent and ErrOverloaded are
// answers and reset it, too; a call that its caller cancelled is ignored.
func (b *Breaker) recordOutcome(ctx context.Context, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case errors.Is(err, memory.ErrNone): // of this daemon
	case err == nil || errors.IsAny(err, quorum.ErrNoTurn, quorum.ErrSpent, quorum.ErrOverloaded):
		b.failures = 0
	case errors.Is(ctx.Err(), context.Canceled):
	default:
		if b.failures++; b.failures == 1 {
			b.firstFailure = time.Now()
		}
	}
}

// Slots returns how many reservations may be under way, how many are, and how many wait.
func (b *Breaker) Slots() (slots, inUse, waiting int) { return b.slots.Len() }

// Down reports whether the holders count as unreachable.
func (b *Breaker) Down(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.down(now)
}

func (b *Breaker) down(now time.Time) bool {
	return b.failures >= tripFailures && now.Sub(b.firstFailure) >= tripTime
}

// allow reports whether a call may be made, as a probe if the holders are unreachable.
func (b *Breaker) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.down(now) {
		return true
	}
	if now.Sub(b.lastProbe) < probeInterval {
		return false
	}
	b.lastProbe = now
	return true
}

// Probe makes a read while the holders count as unreachable, so that a front which gets no
// requests any more detects when they are reachable again.
func (b *Breaker) Probe(ctx context.Context) {
	if b.Down(time.Now()) {
		_, _ = b.Read(ctx, "", "probe", nil) // the outcome is recorded
	}
}
