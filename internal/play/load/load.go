// Package load is a load generator: it runs agent programs against a running
// system, measures latencies as callers see them and verifies the answers.
//
// The load is open-loop: programs arrive by a schedule drawn from a seed,
// independently of the completion of earlier ones. Each is a sequence of turns
// with pauses, service calls and sub-agents. A program's latency counts from its
// scheduled start, so that delayed starts are included (no coordinated omission).
//
// Every answer is verified. The fake engines and services derive their answers
// from the request, so that truncated, mixed-up and duplicate answers are
// detected. For a sample of programs the answers are also compared with the
// history. If Engine is set, prompts of the same size as a sample of the programs'
// first prompts are also sent directly to an engine, to measure the latency that
// the system adds.
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
	defaultRate       = 2 // programs per second
	defaultDuration   = 30 * time.Second
	defaultRetryDelay = time.Second
	maxPrograms       = 1 << 17 // running concurrently
	progressInterval  = time.Second
	drainTimeout      = 10 * time.Minute // added to Generator.Duration, for programs to end
	tagBase           = 36
)

var (
	// ErrFaults reports answers that failed verification.
	ErrFaults = errors.New("answers failed verification")
	// ErrNoPrograms reports that no program finished, so that nothing was verified.
	ErrNoPrograms = errors.New("no program finished")
)

// Generator is one run of the load. Addresses and Key must be set; for every other
// field the zero value selects the default.
type Generator struct {
	Addresses  []string      // of daemons, IP and port
	Key        string        // API key of the caller's account
	Engine     string        // address of an engine for direct calls; empty for none
	Shape      Shape         // default Pickup
	Rate       float64       // programs per second, before division by Speed
	Duration   time.Duration // of the arrivals, before division by Speed
	Speed      float64       // divides pauses and inter-arrival times; default 1
	Seed       uint64
	RetryDelay time.Duration // before a retry, unless the refusal has a retry time
	Tag        string        // prefix of program ids, unique for each run
	Progress   io.Writer     // receives a line per second if not nil

	checker checker
	tally   tally
	wg      sync.WaitGroup
}

// Run runs the load until all its programs have ended. The error is ErrFaults if
// an answer failed verification and ErrNoPrograms if no program finished; the
// report is valid with both.
func (l *Generator) Run(ctx context.Context) (r Report, err error) {
	defer func() { err = errors.Wrap(err, "load") }()
	if len(l.Addresses) == 0 {
		return Report{}, errors.New("no daemon address")
	}
	l.setDefaults()
	pool, err := ants.NewPool(maxPrograms, ants.WithNonblocking(true))
	if err != nil {
		return Report{}, err
	}
	defer pool.Release()
	ctx, stop := context.WithTimeout(ctx, l.Duration+drainTimeout)
	defer stop()
	done := make(chan struct{})
	l.wg.Go(func() { l.printProgress(done) })
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

// arrive starts each program at its due time, without waiting for earlier ones.
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
		d := &driver{gen: l, due: due}
		if pool.Submit(func() { d.run(ctx, p) }) != nil {
			l.tally.notStarted()
		}
	}
}

func (l *Generator) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / l.Speed)
}

// printProgress writes a progress line per interval until done is closed.
func (l *Generator) printProgress(done <-chan struct{}) {
	if l.Progress == nil {
		return
	}
	ticker := time.NewTicker(progressInterval)
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
