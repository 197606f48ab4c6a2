// Package load puts agent programs on a running system and measures what their
// callers see.
//
// The load is open: programs arrive by a schedule drawn from a seed, whether
// or not earlier ones were answered, as callers' programs do. Each is a chain
// of turns with pauses, service calls and sub-agents. A program's latency
// counts from the time at which it was due, so that a system which stalls
// arrivals can't hide that (coordinated omission).
//
// While it runs, every answer is checked: the stand-in engines and services
// derive theirs from the request, so an answer that is cut, mixed with another
// one or given for two calls shows. Some programs are also compared with their
// histories. A Load with Engine set sends a few of the same requests straight
// to an engine, to tell what the system itself adds.
package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"
)

const (
	defaultRate       = 2 // programs a second
	defaultDuration   = 30 * time.Second
	defaultRetryDelay = time.Second
	maxPrograms       = 1 << 17 // under way at a time
	progressEvery     = time.Second
	drainTime         = 10 * time.Minute
	tagBase           = 36
)

var (
	// ErrBroken tells that an answer was mixed, lost or given twice.
	ErrFaults = errors.New("the system broke a promise")
	// ErrNothing tells that no program finished, so that nothing was checked.
	ErrNoPrograms = errors.New("no program finished")
)

// Load is one run. Entry and Key must be set; the zero value of every other
// field is ready for use.
type Generator struct {
	Addresses  []string // addresses of daemons, IP and port
	Key        string   // of the account that calls
	Engine     string   // address of an engine for direct calls, if any
	Shape      Shape    // the zero value is Pickup
	Rate       float64  // programs a second
	Duration   time.Duration
	Speed      float64 // divides pauses and the time between arrivals; 0 is 1
	Seed       uint64
	RetryDelay time.Duration // before another try, where the system names no time
	Tag        string        // makes program ids unique between runs
	Progress   io.Writer     // gets a line each second, if set

	checker checker
	tally   tally
	wg      sync.WaitGroup
}

// Run runs the load until all its programs ended, and reports. The error is
// ErrBroken if a check failed, and ErrNothing if there was nothing to check.
func (l *Generator) Run(ctx context.Context) (r Report, err error) {
	defer func() { err = errors.Wrap(err, "load") }()
	if len(l.Addresses) == 0 {
		return Report{}, errors.New("no entry address")
	}
	l.setDefaults()
	pool, err := ants.NewPool(maxPrograms, ants.WithNonblocking(true))
	if err != nil {
		return Report{}, err
	}
	defer pool.Release()
	ctx, stop := context.WithTimeout(ctx, l.Duration+drainTime)
	defer stop()
	done := make(chan struct{})
	l.wg.Go(func() { l.report(done) })
	start := time.Now()
	l.arrive(ctx, pool, start)
	l.tally.waitIdle()
	l.tally.end(time.Since(start))
	close(done)
	l.wg.Wait()
	r = l.tally.result(&l.checker)
	if r.Faults > 0 {
		return r, ErrFaults
	}
	if r.Finished == 0 {
		return r, ErrNoPrograms
	}
	return r, nil
}

func (l *Generator) setDefaults() {
	if l.Rate <= 0 {
		l.Rate = defaultRate
	}
	if l.Duration <= 0 {
		l.Duration = defaultDuration
	}
	if l.Speed <= 0 {
		l.Speed = 1
	}
	if l.RetryDelay <= 0 {
		l.RetryDelay = defaultRetryDelay
	}
	if l.Shape.Name == "" {
		l.Shape = Pickup()
	}
	if l.Tag == "" {
		l.Tag = strconv.FormatInt(time.Now().Unix(), tagBase)
	}
	l.tally.init()
	l.checker.init()
}

// arrive starts programs when they are due. It never waits for one.
func (l *Generator) arrive(ctx context.Context, pool *ants.Pool, start time.Time) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for _, p := range l.Shape.schedule(l.Tag, l.Seed, l.Rate, l.Duration) {
		due := start.Add(l.scaled(p.Due))
		timer.Reset(time.Until(due))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		l.tally.start()
		d := &driver{load: l, due: due}
		if pool.Submit(func() { d.run(ctx, p) }) != nil {
			l.tally.notStarted()
		}
	}
}

func (l *Generator) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / l.Speed)
}

// report writes the progress until done.
func (l *Generator) report(done <-chan struct{}) {
	if l.Progress == nil {
		return
	}
	ticker := time.NewTicker(progressEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			_, _ = fmt.Fprintln(l.Progress, l.tally.line(l.checker.count()))
		case <-done:
			return
		}
	}
}

// JSON writes the report as JSON.
func (r Report) JSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}
