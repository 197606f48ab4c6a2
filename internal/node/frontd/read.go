package frontd

import (
	"context"
	"io"
	"log"
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
	// readInterval is the age at which the state is read again from the store, by one front
	// for all. A leaving upstream may get requests for two seconds, which must cover this
	// age, the call and two exchanges between fronts. One call per second costs as much as
	// 0.1 VMs.
	readInterval = 500 * time.Millisecond
	// rankDelay is added for each front that ranks before this one, so that the next one
	// reads only if the first did not.
	rankDelay = 130 * time.Millisecond
	// maxReadAge is the age at which a front reads whatever its rank: those that rank before
	// it may all be cut off from the store. A front that hears less than half of the others
	// can't be told by those that read, and does so at maxReadAgeAlone. Each front adds a
	// random part of readAgeSpread, so that the first one can tell the rest.
	maxReadAge      = 1200 * time.Millisecond
	maxReadAgeAlone = 800 * time.Millisecond
	readAgeSpread   = 300 * time.Millisecond
	checkInterval   = 40 * time.Millisecond
	// maxStartJitter spreads the second reads of fronts that know neither a configuration nor
	// other fronts, during the first startupTime after their start. The first to read again
	// sends the state to the others. Without it each of 171 fronts that start together reads
	// four times until all are listed, which is half of the store's calls on a day at low load.
	maxStartJitter = 2 * time.Second
	startupTime    = 5 * time.Second
	// minBackoff and maxBackoff bound the backoff after failed reads, of which at least half is
	// waited, at random. Meanwhile other fronts may reach the store. A front that hears the
	// others and has read without its turn waits for lateBackoff, so that hundreds of fronts
	// don't all call a store that is away.
	minBackoff  = 300 * time.Millisecond
	maxBackoff  = 1200 * time.Millisecond
	lateBackoff = 2500 * time.Millisecond
	// staleAge is the age from which a request that matches no route triggers a read before
	// its caller gets an error. An added route must be served within two seconds.
	staleAge = time.Second
	// resumeDelay is how long a front whose process was suspended waits before it reads the
	// store: enough for a report to another front and its answer. If it read at once, its
	// gap without state would look like an outage of the store, and it would keep upstreams
	// that left meanwhile, until another front reports that the store was available.
	resumeDelay = 300 * time.Millisecond
	// minRefreshInterval is the shortest interval between reads triggered by requests, and
	// refreshTimeout the longest time that a request waits for one.
	minRefreshInterval = 250 * time.Millisecond
	refreshTimeout     = 500 * time.Millisecond
)

type (
	// Source reads the operator's configuration and the entries of upstreams.
	Source interface {
		// Read also returns all other keys, and an error for each entry that is invalid.
		Read(ctx context.Context) (fleet.Snapshot, []store.Entry, []error, error)
		// Decode decodes a configuration that another daemon has sent.
		Decode(text []byte, revision uint64) (*route.Table, error)
	}

	// readTurn is a front's place in the order in which fronts read the store for all.
	readTurn struct {
		rank   int           // number of fronts before it
		alone  bool          // it hears less than half of the others
		spread time.Duration // its own part of readAgeSpread
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

// readTurn returns this front's present place in the order of reads.
func (d *Daemon) readTurn(now time.Time, spread time.Duration) readTurn {
	return readTurn{
		rank: d.meshio.Rank(now), spread: spread,
		alone: !d.meshio.Summary(now).ReachesHalf(len(d.peers())),
	}
}

// maxAge is the age of the state at which the front reads.
func (t readTurn) maxAge() time.Duration {
	return min(t.inOrder(), t.latest())
}

// inOrder is the age at which it is the front's turn, if those before it do not read.
func (t readTurn) inOrder() time.Duration {
	return readInterval + time.Duration(t.rank)*rankDelay
}

// latest is the age at which the front reads whatever its rank.
func (t readTurn) latest() time.Duration {
	if t.alone {
		return maxReadAgeAlone + t.spread
	}
	return maxReadAge + t.spread
}

// backoff returns the backoff after a failed read that followed the given one.
func (t readTurn) backoff(last time.Duration) time.Duration {
	if !t.alone && t.inOrder() > t.latest() {
		return lateBackoff
	}
	return min(max(2*last, minBackoff), maxBackoff)
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

// refreshConfig reads the store for a request that matches no route or no key, if the state is
// older than staleAge and the last such read is at least minRefreshInterval ago. It waits for
// the read, also for one that another request has begun, and reports whether the state is then
// recent enough to refuse the request for good.
func (d *Daemon) refreshConfig(ctx context.Context) (current bool) {
	arrived := time.Now()
	if d.stateAge() < staleAge {
		return true
	}
	ctx, stop := context.WithTimeout(ctx, refreshTimeout)
	defer stop()
	select {
	case <-d.readState.refresh(func() { _ = d.readStore(context.WithoutCancel(ctx)) }): // on failure the state stays old
	case <-ctx.Done():
	}
	return d.stateAge() < staleAge || !d.fleet.View().Confirmed.Before(arrived)
}

func (d *Daemon) stateAge() time.Duration { return time.Since(d.fleet.View().Confirmed) }

// refresh starts a read, unless one is under way or the last began less than
// minRefreshInterval ago. The channel is closed when the read has ended.
func (s *readState) refresh(read func()) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refreshed != nil && time.Since(s.refreshedAt) < minRefreshInterval {
		return s.refreshed
	}
	if s.refreshing {
		return s.refreshed
	}
	done := make(chan struct{})
	s.refreshed, s.refreshedAt, s.refreshing = done, time.Now(), true
	go func() {
		read()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refreshing = false
		close(done)
	}()
	return done
}

// apply applies an update to the fleet's state and logs the changes.
func (d *Daemon) apply(n fleet.Event, cause error) { d.applyAt(time.Now(), n, cause) }

func (d *Daemon) applyAt(now time.Time, n fleet.Event, cause error) {
	for _, c := range d.fleet.Update(now, n) {
		line := d.Log.Info()
		switch c.Kind {
		case "outage":
			line = d.Log.Warn().Err(cause).Str("dependency", "store")
		case "regained":
			line = line.Str("dependency", "store")
		case "return":
			d.Scope.Counter("store_returns").Inc(1)
			line = line.Str("dependency", "store").Str("away", c.From)
		case "config":
			t := d.fleet.View().Table
			line = line.Int64("version", t.Version).Uint64("config_revision", t.Revision).Int("routes", t.Len()).
				Dur("state_age_ms", now.Sub(d.fleet.View().Confirmed))
		default:
			line = line.Str("upstream", c.ID).Str("from", c.From).Str("to", c.To)
		}
		line.Str("by", source(n)).Uint64("revision", d.fleet.View().Revision).Msg("state changed: " + c.Kind)
	}
}

func source(n fleet.Event) string {
	switch n.(type) {
	case fleet.Snapshot:
		return "store"
	case fleet.PeerSnapshot, fleet.Confirmed, fleet.PeerAvailability:
		return "peer"
	default:
		return ""
	}
}

// discardLog returns a logger for HTTP servers that drops their lines: a caller that
// disconnects is not worth a line in the daemon's log.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }

// reportState updates gauges of the present state, which stay available after the log lines
// about its changes have been rotated away.
func (d *Daemon) reportState(now time.Time) {
	v := d.fleet.View()
	if v.Confirmed.IsZero() {
		return
	}
	leaving := 0
	for _, u := range v.Upstreams {
		if u.Leaving {
			leaving++
		}
	}
	d.Scope.Gauge("news_age_seconds").Update(now.Sub(v.Confirmed).Seconds())
	d.Scope.Gauge("upstreams_listed").Update(float64(len(v.Upstreams)))
	d.Scope.Gauge("upstreams_leaving").Update(float64(leaving))
	if v.Table != nil {
		d.Scope.Gauge("config_version").Update(float64(v.Table.Version))
	}
	d.Scope.Gauge("upstreams_missing").Update(float64(len(v.Retained)))
}
