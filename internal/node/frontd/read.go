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
	readEvery = 500 * time.Millisecond
	// readRank is added for each daemon that comes before this one, so that the
	// next one reads only if the first did not.
	readRank = 130 * time.Millisecond
	readLook = 40 * time.Millisecond
	// loneMost spreads the second readings of daemons that know of no others yet, in
	// the first startTime of their lives. Of 171 that start together each read four
	// times until all were listed, half of what a quiet day asks of the store;
	// the first to read again tells the others.
	loneMost  = 2 * time.Second
	startTime = 5 * time.Second
	// backOff bounds the pause after failed reads; others may reach the store.
	backOffLeast = 300 * time.Millisecond
	backOffMost  = 1500 * time.Millisecond
	// oldAge is the age from which a request without a route has everything
	// read anew before its caller is told that there is none. An added route
	// must be served within two seconds.
	oldAge = time.Second
	// hearFirst is how long a daemon that didn't run for a while listens to the others
	// before it reads: a report and its answer. What it knows is old. If it read at
	// once it would take upstreams that left meanwhile for some whose entries lapsed
	// in an outage, until another one tells that the store was there.
	hearFirst = 300 * time.Millisecond
	// freshPause is the shortest pause between reads that requests ask for.
	freshPause = 250 * time.Millisecond
)

type (
	// Source reads what the operator and the upstreams write.
	Source interface {
		// Read also returns keys that are the system's own, and an error for
		// each entry that can't be used.
		Read(ctx context.Context) (fleet.Snapshot, []store.Entry, []error, error)
		// Decode reads a configuration that another daemon has passed on.
		Decode(text []byte, revision uint64) (*route.Table, error)
	}

	// reads is what is kept between reads.
	reads struct {
		mu    sync.Mutex
		asked time.Time // last read for a request's sake
		bad   map[string]bool
	}
)

// read keeps knowledge new until ctx ends.
func (d *Daemon) read(ctx context.Context) {
	wait := time.Duration(0)
	began, lone := time.Now(), rand.N(loneMost)
	var ran awake.Awake
	var listen time.Time // no reading before then
	for {
		v := d.fleet.View()
		if now := time.Now(); now.Before(listen) || now.Sub(v.Confirmed) < d.readAge(v, now.Sub(began), lone) {
			wait = 0
		} else if err := d.readStore(ctx); err != nil {
			wait = min(max(2*wait, backOffLeast), backOffMost)
		} else {
			wait = 0
		}
		due := readLook + wait/2 + rand.N(wait/2+1)
		ran.Look(time.Now(), due)
		if !pause.For(ctx, due) {
			return
		}
		if away, stood := ran.Look(time.Now(), due); away > 0 {
			d.Log.Warn().Dur("away_ms", away).Dur("clock_stood_ms", stood).Msg("this process did not run for a while")
			d.learn(fleet.Suspended{For: stood}, nil)
			d.allow.Drain(time.Now())
			listen = time.Now().Add(hearFirst)
		}
	}
}

// readAge is the age at which this daemon reads what it knows anew.
func (d *Daemon) readAge(v *fleet.View, lived, lone time.Duration) time.Duration {
	if lived < startTime && len(d.others(mesh.Summary{})) == 0 && v.Table == nil {
		return readEvery + lone
	}
	return readEvery + time.Duration(d.meshio.Rank(time.Now()))*readRank
}

func (d *Daemon) readStore(ctx context.Context) error {
	asked := time.Now() // the answer tells how things were then, or later
	n, others, bad, err := d.Source.Read(ctx)
	if err != nil {
		if ctx.Err() == nil { // or a caller left who wanted it read
			d.learn(fleet.Outage{}, err)
		}
		return err
	}
	d.Scope.Gauge("entries_unusable").Update(float64(len(bad)))
	for _, e := range bad {
		d.tellBad(e)
	}
	if err = d.scout.Take(others, store.Rev(n.Revision)); err != nil {
		d.tellBad(err)
	}
	n.Entries = d.scout.State().Entries
	d.learnAt(asked, n, nil)
	d.meshio.Broadcast() // at once, so that the next in rank need not read
	d.keep(ctx)
	d.removeGone(ctx)
	return nil
}

// tellBad logs an entry that can't be used, once for each fault.
func (d *Daemon) tellBad(err error) {
	d.reads.mu.Lock()
	defer d.reads.mu.Unlock()
	if d.reads.bad == nil || len(d.reads.bad) > 1000 {
		d.reads.bad = map[string]bool{}
	}
	if text := err.Error(); !d.reads.bad[text] {
		d.reads.bad[text] = true
		d.Log.Warn().Err(err).Msg("entry can't be used")
	}
}

// refreshConfig reads everything for a request without a route, if what is known
// is old and that was not tried a moment ago.
func (d *Daemon) refreshConfig(ctx context.Context) {
	if time.Since(d.fleet.View().Confirmed) < oldAge {
		return
	}
	d.reads.mu.Lock()
	soon := time.Since(d.reads.asked) < freshPause
	if !soon {
		d.reads.asked = time.Now()
	}
	d.reads.mu.Unlock()
	if !soon {
		_ = d.readStore(ctx) // the request goes on with what is known
	}
}

// learn takes news and logs what changed.
func (d *Daemon) learn(n fleet.Event, cause error) { d.learnAt(time.Now(), n, cause) }

func (d *Daemon) learnAt(now time.Time, n fleet.Event, cause error) {
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
			line = line.Int64("version", t.Version).Uint64("config_revision", t.Revision).Int("routes", t.Len())
		default:
			line = line.Str("upstream", c.ID).Str("from", c.From).Str("to", c.To)
		}
		line.Str("by", source(n)).Uint64("revision", d.fleet.View().Revision).Msg("learnt: " + c.Kind)
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

// silent drops the HTTP server's own log lines: a caller that breaks off is no
// event of the daemon's.
func silent() *log.Logger { return log.New(io.Discard, "", 0) }

// gaugeKnowledge shows what is believed, for when the lines that tell how it came to be
// believed are not kept any more.
func (d *Daemon) gaugeKnowledge(now time.Time) {
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
