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
)

const (
	// newsEvery is the pause between reads of the configuration and of the
	// upstreams. A leaving upstream may get requests for two seconds, and stale
	// reads are mostly well under a second behind.
	newsEvery = 450 * time.Millisecond
	// peersEvery is the same for the other daemons.
	peersEvery = 900 * time.Millisecond
	// freshPause is the shortest pause between reads of the configuration that
	// are not stale; requests without a route ask for them.
	freshPause = 250 * time.Millisecond
)

type (
	// Source reads what the operator and the upstreams write.
	Source interface {
		Config(ctx context.Context, stale bool) (*route.Table, error)
		// Upstreams returns an error for each entry that names none, too.
		Upstreams(ctx context.Context, stale bool) (fleet.Upstreams, []error, error)
	}

	// reads is what is kept between reads.
	reads struct {
		mu    sync.Mutex
		fresh time.Time // of the last configuration read that was not stale
		bad   map[string]bool
	}
)

// read keeps the daemon's knowledge new until ctx ends.
func (d *Daemon) read(ctx context.Context) {
	go d.loop(ctx, newsEvery, d.readUpstreams)
	go d.loop(ctx, newsEvery, d.readConfig)
	go d.loop(ctx, peersEvery, d.readPeers)
}

// loop reads at once, and then with pauses that differ from daemon to daemon, so
// that their calls don't meet at the store. The first reads are not stale.
func (d *Daemon) loop(ctx context.Context, each time.Duration, read func(ctx context.Context, stale bool) error) {
	stale := false
	for {
		if read(ctx, stale) == nil {
			stale = true
		}
		if !pause(ctx, each*3/4+rand.N(each/2)) {
			return
		}
	}
}

func (d *Daemon) readUpstreams(ctx context.Context, stale bool) error {
	n, bad, err := d.Source.Upstreams(ctx, stale)
	if err != nil {
		d.learn(fleet.Outage{}, err)
		return err
	}
	for _, e := range bad {
		d.tellBad(e)
	}
	d.learn(n, nil)
	return nil
}

// tellBad logs an entry that names no upstream, once for each fault.
func (d *Daemon) tellBad(err error) {
	d.reads.mu.Lock()
	defer d.reads.mu.Unlock()
	if d.reads.bad == nil || len(d.reads.bad) > 1000 {
		d.reads.bad = map[string]bool{}
	}
	if text := err.Error(); !d.reads.bad[text] {
		d.reads.bad[text] = true
		d.Log.Warn().Err(err).Msg("entry names no upstream")
	}
}

func (d *Daemon) readConfig(ctx context.Context, stale bool) error {
	t, err := d.Source.Config(ctx, stale)
	if err != nil {
		return err // reading the upstreams tells of outages
	}
	d.learn(fleet.Config{Table: t}, nil)
	return nil
}

// refreshConfig reads the configuration as it is now, unless that was done a
// moment ago.
func (d *Daemon) refreshConfig(ctx context.Context) {
	d.reads.mu.Lock()
	soon := time.Since(d.reads.fresh) < freshPause
	if !soon {
		d.reads.fresh = time.Now()
	}
	d.reads.mu.Unlock()
	if !soon {
		_ = d.readConfig(ctx, false) // the request goes on with what is known
	}
}

func (d *Daemon) readPeers(ctx context.Context, stale bool) error {
	if err := d.scout.Scan(ctx, stale); err != nil {
		return err
	}
	s := d.scout.State()
	d.learn(fleet.Entries{Revision: uint64(s.Revision), List: s.Entries}, nil)
	return nil
}

// learn takes news and logs what changed.
func (d *Daemon) learn(n fleet.News, cause error) {
	for _, c := range d.fleet.Take(time.Now(), n) {
		line := d.Log.Info()
		switch c.What {
		case "outage":
			line = d.Log.Warn().Err(cause).Str("dependency", "store")
		case "regained":
			line = line.Str("dependency", "store")
		case "config":
			t := d.fleet.View().Table
			line = line.Int64("version", t.Version).Uint64("revision", t.Revision).Int("routes", t.Len())
		default:
			line = line.Str("upstream", c.ID).Str("from", c.From).Str("to", c.To)
		}
		line.Msg("learnt: " + c.What)
		if c.To == "gone" {
			d.dropGone(c.ID)
		}
	}
}

// dropGone closes connections to upstreams that ended; their addresses may go
// to others.
func (d *Daemon) dropGone(string) { d.pool.Sweep(time.Now()) }

// silent drops the HTTP server's own log lines: a caller that breaks off is no
// event of the daemon's.
func silent() *log.Logger { return log.New(io.Discard, "", 0) }
