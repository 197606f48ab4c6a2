package frontd

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/slaterock/slaterock/internal/conf/route"
	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/mesh"
	"github.com/slaterock/slaterock/internal/peer/pause"
	"github.com/slaterock/slaterock/internal/peer/stall"
	"github.com/slaterock/slaterock/internal/plat/store"
)

const (
	// checkInterval is the pause between checks of the age of the state.
	checkInterval = 40 * time.Millisecond
	// maxStartJitter spreads the second reads of fronts that know neither a configuration nor
	// other fronts, during the first startupTime after their start. The first to read again
	// sends the state to the others. Without it each of 171 fronts that start together reads
	// four times until all are listed, which is half of the store's calls on a day at low load.
	maxStartJitter = 2 * time.Second
	startupTime    = 5 * time.Second
	// resumeDelay is how long a front whose process was suspended waits before it reads the
	// store: enough for a report to another front and its answer. If it read at once, its
	// gap without state would look like an outage of the store, and it would keep upstreams
	// that left meanwhile, until another front reports that the store was available.
	resumeDelay = 300 * time.Millisecond
)

type (
	// Source reads the operator's configuration and the entries of upstreams.
	Source interface {
		// Read also returns all other keys, and an error for each entry that is invalid.
		Read(ctx context.Context) (fleet.Snapshot, []store.Entry, []error, error)
		// Decode decodes a configuration that another daemon has sent.
		Decode(text []byte, revision uint64) (*route.Table, error)
	}

	// readState is kept from one read of the store to the next.
	readState struct {
		mu          sync.Mutex
		last        fleet.Read    // the last that was begun
		refreshedAt time.Time     // last read triggered by a request
		refreshed   chan struct{} // closed when that read has ended
		refreshing  bool          // it has not ended
		logged      map[string]bool
	}
)

// readLoop reads the store whenever this front's state is too old, until ctx ends.
func (d *Daemon) readLoop(ctx context.Context) {
	wait := time.Duration(0)
	began, jitter := time.Now(), rand.N(maxStartJitter)
	spread := rand.N(readAgeSpread)
	var ran stall.Detector
	var resumeAt time.Time // no read before then
	for {
		v := d.fleet.View()
		now := time.Now()
		turn := d.readTurn(now, spread)
		if now.Before(resumeAt) || now.Sub(v.Confirmed) < d.maxAge(v, now.Sub(began), jitter, turn) {
			wait = 0
		} else if err := d.readStore(ctx); err != nil {
			wait = turn.backoff(wait)
		} else {
			wait = 0
		}
		due := checkInterval + wait/2 + rand.N(wait/2+1)
		ran.Check(time.Now(), due)
		if !pause.For(ctx, due) {
			return
		}
		if away, stood := ran.Check(time.Now(), due); away > 0 {
			d.Log.Warn().Dur("away_ms", away).Dur("clock_stood_ms", stood).Msg("process did not run: VM frozen, suspended or starved")
			d.apply(fleet.Suspended{For: stood}, nil)
			d.limits.Drain(time.Now())
			resumeAt = time.Now().Add(resumeDelay)
		}
	}
}

// maxAge is the age of the state at which this front reads the store.
func (d *Daemon) maxAge(v *fleet.View, uptime, jitter time.Duration, turn readTurn) time.Duration {
	if uptime < startupTime && len(d.others(mesh.Summary{})) == 0 && v.Table == nil {
		return readInterval + jitter
	}
	return turn.maxAge()
}

func (d *Daemon) readStore(ctx context.Context) error {
	read := d.readState.begin()
	asked := time.Now() // the answer is at least as new
	n, others, bad, err := d.Source.Read(ctx)
	if err != nil {
		if ctx.Err() == nil { // otherwise the caller that triggered the read has disconnected
			d.apply(fleet.Outage{}, err)
		}
		return err
	}
	d.Scope.Gauge("entries_unusable").Update(float64(len(bad)))
	for _, e := range bad {
		d.logUnusable(e)
	}
	if err = d.discov.Apply(others, store.Rev(n.Revision)); err != nil {
		d.logUnusable(err)
	}
	n.Read, n.Entries = read, d.discov.State().Entries
	d.Scope.Counter("store_reads").Inc(1)
	d.Log.Info().Uint64("revision", n.Revision).Dur("took_ms", time.Since(asked)).
		Dur("state_age_ms", asked.Sub(d.fleet.View().Confirmed)).Msg("store read")
	d.applyAt(asked, n, nil)
	d.meshio.Broadcast() // at once, so that the front next in rank need not read
	d.backUp(ctx)
	d.removeLost(ctx)
	return nil
}

// begin returns the identity of the next read.
func (s *readState) begin() fleet.Read {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.last.By == 0 {
		s.last.By = rand.Uint32()
	}
	s.last.Number++
	return s.last
}

// logUnusable logs an invalid value, once per error text.
func (d *Daemon) logUnusable(err error) {
	d.readState.mu.Lock()
	defer d.readState.mu.Unlock()
	if d.readState.logged == nil || len(d.readState.logged) > 1000 {
		d.readState.logged = map[string]bool{}
	}
	if text := err.Error(); !d.readState.logged[text] {
		d.readState.logged[text] = true
		d.Log.Warn().Err(err).Msg("invalid value in the store not applied")
	}
}
