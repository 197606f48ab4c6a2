// Package frontd runs a VM that serves callers: their requests, the directory
// that tells them where to connect, and the readiness check.
package frontd

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/slaterock/slaterock/internal/disk/quorum"
	"github.com/slaterock/slaterock/internal/front/allow"
	"github.com/slaterock/slaterock/internal/front/bucket"
	"github.com/slaterock/slaterock/internal/front/entry"
	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/mesh"
	"github.com/slaterock/slaterock/internal/front/meshio"
	"github.com/slaterock/slaterock/internal/front/pick"
	"github.com/slaterock/slaterock/internal/front/reach"
	"github.com/slaterock/slaterock/internal/front/upconn"
	"github.com/slaterock/slaterock/internal/node/posted"
	"github.com/slaterock/slaterock/internal/node/scout"
	"github.com/slaterock/slaterock/internal/obs/trace"
	"github.com/slaterock/slaterock/internal/peer/link"
	"github.com/slaterock/slaterock/internal/peer/pause"
	"github.com/slaterock/slaterock/internal/plat/store"
)

const (
	// keepServing is how long after SIGTERM callers are still taken: the
	// directory's answers that name this VM are kept for three times their
	// time at most.
	keepServing = 2500 * time.Millisecond
	// graceLeft is kept of the time between SIGTERM and SIGKILL.
	graceLeft = 700 * time.Millisecond
	sweepEach = time.Second
	// dialTime is how long another VM has to open a connection, and dialPause the
	// longest pause before it is tried again. A VM without power says nothing, and
	// the kernel would repeat a lost opening packet after a second only: callers
	// wait while the records are there. Exchanges take 2 ms on the sites, 60 ms
	// between far regions.
	dialTime  = 300 * time.Millisecond
	dialPause = 300 * time.Millisecond
	// probeEach is the pause between looks at whether the holders of records can
	// be reached.
	probeEach = 200 * time.Millisecond
)

type (
	// Settings are what the daemon needs to know of its VM.
	Settings struct {
		Node      string
		Domain    string
		Cores     float64 // of the processor
		Callers   string  // addresses to listen at
		Ready     string
		Directory string
		Peer      string   // for other daemons
		Seeds     []string // addresses of VMs with a disk; some may be down or gone
		Grace     time.Duration
		AnswerTTL time.Duration    // longest that callers keep a directory's answer
		Tolerance bucket.Tolerance // of the limits of accounts
	}

	// Names are the wire's names for the directory and the readiness check.
	Names interface {
		Directory(entries []fleet.Entry, ttl time.Duration) any
		DirectoryPath() string
		ReadyPath() string
	}

	// Daemon runs the VM. Set the exported fields, then call Run.
	Daemon struct {
		Settings Settings
		Store    store.Shared
		Source   Source
		Dialect  entry.Dialect
		Names    Names
		Log      zerolog.Logger
		Scope    tally.Scope
		Trace    *trace.Trace

		fleet   fleet.Fleet
		picker  pick.Picker
		pool    upconn.Pool
		link    link.Link
		scout   scout.Scout
		meshio  meshio.Transport
		reach   reach.Breaker
		posted  posted.Posted
		entry   entry.Entry
		leaving atomic.Bool
		reads   reads
		absent  absent
		asks    asks
		breadth breadth
		kept    kept
		allow   allow.Allow
		present present
		names   atomic.Pointer[upstreamNames]
	}
)

// Run serves until stop ends, then lets what is under way finish. The context
// ends all work at once.
func (d *Daemon) Run(ctx context.Context, stop <-chan struct{}) (err error) {
	defer func() { err = errors.Wrap(err, "run front") }()
	ctx, end := context.WithCancel(ctx)
	defer end()
	if err = d.start(ctx); err != nil {
		return err
	}
	checks, err := d.serveChecks(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = checks.Close() }()
	posting, unpost := context.WithCancel(ctx)
	defer unpost()
	go d.post(posting)
	d.await(ctx, func(v *fleet.View) bool { return v.Table != nil })
	callers, err := d.serveCallers()
	if err != nil {
		return err
	}
	select {
	case <-stop:
	case <-ctx.Done():
	}
	unpost()
	d.drain(ctx, callers)
	return nil
}

func (d *Daemon) start(ctx context.Context) error {
	d.scout.Store = d.Store
	d.picker.Name, d.picker.Domain = d.Settings.Node, d.Settings.Domain
	d.allow.Tolerance = d.Settings.Tolerance
	d.picker.Idle, d.picker.Age = d.pool.Idle, d.meshio.Age
	d.link.Address, d.link.Scope = d.Settings.Peer, d.Scope
	d.link.DialTime, d.link.BackOff = dialTime, dialPause
	d.link.Handle(methodKnown, link.Answer(d.tellKnown))
	if err := d.link.Start(ctx); err != nil {
		return err
	}
	d.posted = posted.Posted{
		Store: d.Store, Key: scout.FrontPrefix + d.Settings.Node, OnEnd: d.tellPosted, Stands: d.stands,
		Data: func() []byte { return scout.FrontValue(d.self()) },
	}
	d.entry = entry.Entry{
		Dialect: d.Dialect, Fleet: &d.fleet, Pool: &d.pool, Picker: &d.picker, Log: d.Log, Scope: d.Scope, Trace: d.Trace,
		Refresh: d.refreshConfig, Stop: ctx, Allow: &d.allow,
		Records: &d.reach,
	}
	d.reach.Records = &quorum.Client{
		Peer:   func(address string) link.Invoker { return d.link.Peer(address) },
		Roster: d.scout.Roster, Learn: d.scout.Learn, Refresh: d.scout.Fresh, Domain: d.Settings.Domain,
	}
	var lc net.ListenConfig
	conn, err := lc.ListenPacket(ctx, "udp", d.Settings.Peer)
	if err != nil {
		return err
	}
	d.meshio.Conn, d.meshio.Local, d.meshio.Peers = conn, d.told, d.peers
	d.meshio.Self = mesh.Peer{Node: d.Settings.Node, Address: d.Settings.Peer, Domain: d.Settings.Domain, Cores: d.Settings.Cores}
	d.meshio.Received, d.meshio.Updated = d.heard, d.changed
	go func() {
		if err := d.meshio.Run(ctx); err != nil {
			d.Log.Error().Err(err).Msg("nothing is heard of other daemons any more")
		}
	}()
	ln, err := listen(ctx, d.Settings.Peer)
	if err != nil {
		return err
	}
	go func() {
		if err := d.link.Serve(ctx, ln); err != nil {
			d.Log.Error().Err(err).Msg("other daemons are not served any more")
		}
	}()
	go d.read(ctx)
	d.recall(ctx)
	go d.sweep(ctx)
	go d.probe(ctx)
	return nil
}

// await waits until something is known, for a while: a daemon that has no
// configuration answers 503, and its limits on callers are the usual ones.
func (d *Daemon) await(ctx context.Context, known func(*fleet.View) bool) {
	const longest, step = time.Second, 20 * time.Millisecond
	for range longest / step {
		if known(d.fleet.View()) || !pause.For(ctx, step) {
			return
		}
	}
}

// others returns the other daemons that serve callers: those listed in the store,
// and those heard of. A daemon that the store turns away may have no key there.
func (d *Daemon) others(p mesh.Summary) []fleet.Entry {
	list := slices.Clone(d.fleet.View().Entries)
	for i := range list {
		list[i].Leaving = list[i].Leaving || p.Alive[mesh.IDOf(list[i].Node)]&mesh.Leaving != 0
	}
	for _, s := range p.Unlisted {
		list = append(list, fleet.Entry{Node: s.Node, Address: s.Callers, Peer: s.Peer, Leaving: s.Leaving})
	}
	return slices.DeleteFunc(list, func(e fleet.Entry) bool { return e.Node == d.Settings.Node })
}

func (d *Daemon) peers() (list []mesh.Peer) {
	for _, e := range d.fleet.View().Entries {
		if e.Node != d.Settings.Node {
			list = append(list, mesh.Peer{Node: e.Node, Address: e.Peer, Domain: e.Domain, Cores: e.Cores})
		}
	}
	return list
}

func (d *Daemon) ready() bool { return !d.leaving.Load() && d.fleet.View().Table != nil }

// drain stops serving without cutting a request. Callers are sent elsewhere at
// once, those that still come are served, and connections close with an answer.
func (d *Daemon) drain(ctx context.Context, callers *http.Server) {
	d.leaving.Store(true)
	d.entry.Leave()
	d.meshio.Broadcast()
	go d.unpost(ctx)
	d.Log.Info().Int64("active", d.entry.Active()).Msg("draining")
	pause.For(ctx, keepServing)
	rest := max(d.Settings.Grace-keepServing-graceLeft, 0)
	limited, stop := context.WithTimeout(ctx, rest)
	defer stop()
	err := callers.Shutdown(limited)
	d.Log.Info().Err(err).Int64("active", d.entry.Active()).Msg("drained")
}

// probe notices when the holders of records are reached again, and logs both.
func (d *Daemon) probe(ctx context.Context) {
	down := false
	for pause.For(ctx, probeEach) {
		d.reach.Probe(ctx)
		if now := d.reach.Down(time.Now()); now != down {
			down = now
			d.Log.Warn().Str("dependency", "records").Uint64("roster", d.scout.Roster().Version).Msg(map[bool]string{true: "lost", false: "regained"}[down])
		}
	}
}

func (d *Daemon) sweep(ctx context.Context) {
	for pause.For(ctx, sweepEach) {
		d.pool.Sweep(time.Now())
		known := map[string]bool{}
		for _, list := range d.fleet.View().Services {
			for _, u := range list {
				known[u.ID] = true
			}
		}
		d.picker.Forget(func(id string) bool { return known[id] })
		d.gaugeKnowledge(time.Now())
		d.gaugeLimits(time.Now())
		d.Scope.Gauge("queued").Update(float64(d.entry.Queue.Len()))
		d.Scope.Gauge("active").Update(float64(d.entry.Active()))
		d.Scope.Gauge("upstream_connections_opened").Update(float64(d.pool.Opened()))
	}
}
