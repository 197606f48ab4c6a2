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
	"github.com/slaterock/slaterock/internal/peer/awake"
	"github.com/slaterock/slaterock/internal/peer/pause"
	"github.com/slaterock/slaterock/internal/plat/store"
)

const (
	// readEvery is the age at which knowledge is read anew, by one daemon for
	// all. A leaving upstream may get requests for two seconds, which must
	// hold the age, the call and two exchanges between daemons. Each call a
	// second costs as much as 0.1 VMs.
	readInterval = 500 * time.Millisecond
	// readRank is added for each daemon that comes before this one, so that the
	// next one reads only if the first did not.
	rankDelay     = 130 * time.Millisecond
	checkInterval = 40 * time.Millisecond
	// loneMost spreads the second readings of daemons that know of no others yet, in
	// the first startTime of their lives. Of 171 that start together each read four
	// times until all were listed, half of what a quiet day asks of the store;
	// the first to read again tells the others.
	maxStartJitter = 2 * time.Second
	startupTime    = 5 * time.Second
	// backOff bounds the pause after failed reads; others may reach the store.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 1500 * time.Millisecond
	// oldAge is the age from which a request without a route has everything
	// read anew before its caller is told that there is none. An added route
	// must be served within two seconds.
	staleAge = time.Second
	// hearFirst is how long a daemon that didn't run for a while listens to the others
	// before it reads: a report and its answer. What it knows is old. If it read at
	// once it would take upstreams that left meanwhile for some whose entries lapsed
	// in an outage, until another one tells that the store was there.
	resumeDelay = 300 * time.Millisecond
	// freshPause is the shortest pause between reads that requests ask for.
	minRefreshInterval = 250 * time.Millisecond
)

type (
	// Source reads what the operator and the upstreams write.
	Source interface {
		// Read also returns keys that are the system's own, and an error for
		// each entry that can't be used.
		Read(ctx context.Context) (fleet.Reading, []store.Entry, []error, error)
		// Decode reads a configuration that another daemon has passed on.
		Decode(text []byte, revision uint64) (*route.Table, error)
	}

	// reads is what is kept between reads.
	readState struct {
		mu          sync.Mutex
		refreshedAt time.Time // last read for a request's sake
		logged      map[string]bool
	}
)

// read keeps knowledge new until ctx ends.
func (d *Daemon) readLoop(ctx context.Context) {
	wait := time.Duration(0)
	began, jitter := time.Now(), rand.N(maxStartJitter)
	var ran awake.Awake
	var resumeAt time.Time // no reading before then
	for {
		v := d.fleet.View()
		if now := time.Now(); now.Before(resumeAt) || now.Sub(v.Confirmed) < d.maxAge(v, now.Sub(began), jitter) {
			wait = 0
		} else if err := d.readStore(ctx); err != nil {
			wait = min(max(2*wait, minBackoff), maxBackoff)
		} else {
			wait = 0
		}
		due := checkInterval + wait/2 + rand.N(wait/2+1)
		ran.Look(time.Now(), due)
		if !pause.For(ctx, due) {
			return
		}
		if away, stood := ran.Look(time.Now(), due); away > 0 {
			d.Log.Warn().Dur("away_ms", away).Dur("clock_stood_ms", stood).Msg("this process did not run for a while")
			d.apply(fleet.Slept{For: stood}, nil)
			d.allow.Forget(time.Now())
			resumeAt = time.Now().Add(resumeDelay)
		}
	}
}

// readAge is the age at which this daemon reads what it knows anew.
func (d *Daemon) maxAge(v *fleet.View, uptime, jitter time.Duration) time.Duration {
	if uptime < startupTime && len(d.others(mesh.Picture{})) == 0 && v.Table == nil {
		return readInterval + jitter
	}
	return readInterval + time.Duration(d.rumor.Rank(time.Now()))*rankDelay
}

func (d *Daemon) readStore(ctx context.Context) error {
	asked := time.Now() // the answer tells how things were then, or later
	n, others, bad, err := d.Source.Read(ctx)
	if err != nil {
		if ctx.Err() == nil { // or a caller left who wanted it read
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
	n.Entries = d.discov.State().Entries
	d.applyAt(asked, n, nil)
	d.rumor.Tell() // at once, so that the next in rank need not read
	d.backUp(ctx)
	d.removeLost(ctx)
	return nil
}

// tellBad logs an entry that can't be used, once for each fault.
func (d *Daemon) logUnusable(err error) {
	d.readState.mu.Lock()
	defer d.readState.mu.Unlock()
	if d.readState.logged == nil || len(d.readState.logged) > 1000 {
		d.readState.logged = map[string]bool{}
	}
	if text := err.Error(); !d.readState.logged[text] {
		d.readState.logged[text] = true
		d.Log.Warn().Err(err).Msg("entry can't be used")
	}
}

// refreshConfig reads everything for a request without a route, if what is known
// is old and that was not tried a moment ago.
func (d *Daemon) refreshConfig(ctx context.Context) {
	if time.Since(d.fleet.View().Confirmed) < staleAge {
		return
	}
	d.readState.mu.Lock()
	soon := time.Since(d.readState.refreshedAt) < minRefreshInterval
	if !soon {
		d.readState.refreshedAt = time.Now()
	}
	d.readState.mu.Unlock()
	if !soon {
		_ = d.readStore(ctx) // the request goes on with what is known
	}
}

// learn takes news and logs what changed.
func (d *Daemon) apply(n fleet.News, cause error) { d.applyAt(time.Now(), n, cause) }

func (d *Daemon) applyAt(now time.Time, n fleet.News, cause error) {
	for _, c := range d.fleet.Take(now, n) {
		line := d.Log.Info()
		switch c.What {
		case "outage":
			line = d.Log.Warn().Err(cause).Str("dependency", "store")
		case "regained":
			line = line.Str("dependency", "store")
		case "return":
			d.Scope.Counter("store_returns").Inc(1)
			line = line.Str("dependency", "store").Str("away", c.From)
		case "config":
			t := d.fleet.View().Table
			line = line.Int64("version", t.Version).Uint64("config_revision", t.Revision).Int("routes", t.Len())
		default:
			line = line.Str("upstream", c.ID).Str("from", c.From).Str("to", c.To)
		}
		line.Str("by", source(n)).Uint64("revision", d.fleet.View().Revision).Msg("learnt: " + c.What)
	}
}

func source(n fleet.News) string {
	switch n.(type) {
	case fleet.Reading:
		return "store"
	case fleet.Told, fleet.Confirmed, fleet.Heard:
		return "peer"
	default:
		return ""
	}
}

// silent drops the HTTP server's own log lines: a caller that breaks off is no
// event of the daemon's.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }

// gaugeKnowledge shows what is believed, for when the lines that tell how it came to be
// believed are not kept any more.
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
	d.Scope.Gauge("upstreams_missing").Update(float64(len(v.Lapsed)))
}
