package frontd

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

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
	// startupTime is the time after its start during which a front that knows neither a
	// configuration nor other fronts delays its second read by startJitter. The first to read
	// again sends the state to the others. Without it each of 171 fronts that start together
	// reads four times until all are listed, which is half of the store's calls on a day at
	// low load.
	startupTime = 5 * time.Second
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
		// Changes returns what changed after the revision since, the changes of all other
		// keys, and an error for each entry that has become invalid. It fails with
		// store.ErrCompacted if the store has forgotten them.
		Changes(ctx context.Context, since uint64) (fleet.Changes, []store.Change, []error, error)
		// Unusable returns the number of invalid entries, as far as they were read here.
		Unusable() int
		// Decode decodes a configuration that another daemon has sent.
		Decode(text []byte, revision uint64) (*route.Table, error)
	}

	// reading is one read of the store.
	reading struct {
		read     fleet.Read
		asked    time.Time // the answer is at least as new
		event    fleet.Event
		revision uint64
		changes  int  // number of keys in the answer
		all      bool // all keys were read
	}

	// readState is kept from one read of the store to the next.
	readState struct {
		mu          sync.Mutex
		last        fleet.Read    // the last that was begun
		refreshedAt time.Time     // last read triggered by a request
		refreshed   chan struct{} // closed when that read has ended
		refreshing  bool          // it has not ended
		// suspended replaces stall.Suspended in tests.
		suspended func(from, to time.Time) time.Duration
		logged    map[string]bool
	}
)

// readLoop reads the store whenever this front's state is too old, until ctx ends.
func (d *Daemon) readLoop(ctx context.Context) {
	wait := time.Duration(0)
	began, jitter := time.Now(), startJitter()
	spread := rand.N(readAgeSpread)
	var ran stall.Detector
	var resumeAt time.Time // no read before then
	for {
		v := d.fleet.View()
		now := time.Now()
		turn := d.readTurn(now, spread)
		unknown := v.Revision == 0 && !d.starting.known.Load()
		awaited := v.Revision == 0 && d.awaitsState(now.Sub(began), spread, jitter, now) || v.Restored && d.awaitsReader(turn, now)
		if unknown {
			wait = d.readFrontsOrWait(ctx, turn, wait)
		} else if awaited || now.Before(resumeAt) || now.Sub(v.Confirmed) < d.maxAge(v, now.Sub(began), jitter, turn) {
			wait = 0
		} else if err := d.readStore(ctx); err != nil {
			wait = turn.backoff(wait)
		} else {
			wait = 0
		}
		due := checkInterval + wait/2 + rand.N(wait/2+1)
		if suspended := d.readState.suspendedSince(now); suspended > 0 {
			resumeAt = d.resume(suspended, suspended)
		}
		ran.Check(time.Now(), due)
		if !pause.For(ctx, due) {
			return
		}
		if stalled, suspended := ran.Check(time.Now(), due); stalled > 0 {
			resumeAt = d.resume(stalled, suspended)
		}
	}
}

// resume takes account of a time in which this process did not run, and returns when it may
// read the store.
func (d *Daemon) resume(stalled, suspended time.Duration) (readAt time.Time) {
	d.Log.Warn().Dur("away_ms", stalled).Dur("clock_stood_ms", suspended).Msg("process did not run: VM frozen, suspended or starved")
	d.apply(fleet.Suspended{For: suspended}, nil)
	d.limits.Drain(time.Now())
	return time.Now().Add(resumeDelay)
}

// readFrontsOrWait reads which fronts there are, and returns the backoff if that fails.
func (d *Daemon) readFrontsOrWait(ctx context.Context, turn readTurn, last time.Duration) time.Duration {
	err := d.readFronts(ctx)
	if err == nil {
		return 0
	}
	if ctx.Err() == nil {
		d.apply(fleet.Outage{}, err)
	}
	return turn.backoff(last)
}

// maxAge is the age of the state at which this front reads the store.
func (d *Daemon) maxAge(v *fleet.View, uptime, jitter time.Duration, turn readTurn) time.Duration {
	if uptime < startupTime && len(d.others(mesh.Summary{})) == 0 && v.Table == nil {
		return readInterval + jitter
	}
	return turn.maxAge()
}

// readStore brings the state up to date with the store: by what changed since the state's
// revision, or by all keys where that does not complete it.
func (d *Daemon) readStore(ctx context.Context) error {
	r := reading{read: d.readState.begin(), asked: time.Now()}
	v := d.fleet.View()
	err := store.ErrCompacted
	if v.Revision > 0 {
		err = d.readChanges(ctx, &r, v.Revision)
	}
	if err == nil && v.Restored && d.starting.noteStore(r.asked) {
		return nil // the store is back: the first in the order of reads read all keys
	}
	if err == nil && v.Restored || errors.Is(err, store.ErrCompacted) {
		err = d.readAll(ctx, &r)
	}
	if err != nil {
		if ctx.Err() == nil { // otherwise the caller that triggered the read has disconnected
			d.apply(fleet.Outage{}, err)
		}
		return err
	}
	d.Scope.Counter("store_reads").Inc(1)
	d.Scope.Gauge("entries_unusable").Update(float64(d.Source.Unusable()))
	d.Log.Info().Bool("all", r.all).Uint64("revision", r.revision).Int("changes", r.changes).Dur("took_ms", time.Since(r.asked)).
		Dur("state_age_ms", r.asked.Sub(v.Confirmed)).Msg("store read")
	d.applyAt(r.asked.Add(-d.readState.suspendedSince(r.asked)), r.event, nil)
	d.meshio.Broadcast() // at once, so that the front next in rank need not read
	d.publishHubs(ctx, r.asked)
	d.backUp(ctx)
	d.removeLost(ctx)
	return nil
}

func (d *Daemon) readChanges(ctx context.Context, r *reading, since uint64) error {
	c, others, bad, err := d.Source.Changes(ctx, since)
	if err != nil {
		return err
	}
	d.logUnusable(bad...)
	keys, err := d.discov.ApplyChanges(others)
	if err != nil {
		d.logUnusable(err)
	}
	c.Delta.Entries, c.Delta.GoneEntries, c.Delta.Roster = keys.Entries, keys.GoneEntries, keys.Roster
	c.Read = r.read
	r.event, r.revision, r.changes = c, c.Revision, len(c.Delta.Upstreams)+len(c.Delta.Gone)+len(others)
	return nil
}

func (d *Daemon) readAll(ctx context.Context, r *reading) error {
	r.asked = time.Now()
	n, others, bad, err := d.Source.Read(ctx)
	if err != nil {
		return err
	}
	d.logUnusable(bad...)
	if err = d.discov.Apply(others, store.Rev(n.Revision)); err != nil {
		d.logUnusable(err)
	}
	s := d.discov.State()
	n.Read, n.Entries, n.Roster = r.read, s.Entries, s.Stored
	r.event, r.revision, r.changes, r.all = n, n.Revision, len(n.Upstreams)+len(others), true
	d.Scope.Counter("store_reads_all").Inc(1)
	return nil
}

// suspendedSince returns for how long the monotonic clock has stopped since a read was begun:
// its answer is older by that time than the clock shows, and would otherwise confirm a
// configuration that was replaced while the VM was suspended.
func (s *readState) suspendedSince(since time.Time) time.Duration {
	if s.suspended != nil {
		return s.suspended(since, time.Now())
	}
	return stall.Suspended(since, time.Now())
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

// logUnusable logs invalid values, each once per error text.
func (d *Daemon) logUnusable(list ...error) {
	d.readState.mu.Lock()
	defer d.readState.mu.Unlock()
	for _, err := range list {
		if d.readState.logged == nil || len(d.readState.logged) > 1000 {
			d.readState.logged = map[string]bool{}
		}
		if text := err.Error(); !d.readState.logged[text] {
			d.readState.logged[text] = true
			d.Log.Warn().Err(err).Msg("invalid value in the store not applied")
		}
	}
}
