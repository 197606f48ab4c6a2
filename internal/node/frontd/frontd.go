// Package frontd is the daemon that serves callers (a front): it handles their requests,
// the directory of addresses to connect to, and the readiness check.
package frontd

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/slaterock/slaterock/internal/disk/quorum"
	"github.com/slaterock/slaterock/internal/front/bucket"
	"github.com/slaterock/slaterock/internal/front/conns"
	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/limits"
	"github.com/slaterock/slaterock/internal/front/memory"
	"github.com/slaterock/slaterock/internal/front/mesh"
	"github.com/slaterock/slaterock/internal/front/meshio"
	"github.com/slaterock/slaterock/internal/front/pick"
	"github.com/slaterock/slaterock/internal/front/proxy"
	"github.com/slaterock/slaterock/internal/front/reach"
	"github.com/slaterock/slaterock/internal/front/runio"
	"github.com/slaterock/slaterock/internal/front/upconn"
	"github.com/slaterock/slaterock/internal/node/discov"
	"github.com/slaterock/slaterock/internal/node/regkey"
	"github.com/slaterock/slaterock/internal/obs/label"
	"github.com/slaterock/slaterock/internal/obs/trace"
	"github.com/slaterock/slaterock/internal/peer/link"
	"github.com/slaterock/slaterock/internal/peer/pause"
	"github.com/slaterock/slaterock/internal/plat/store"
)

const (
	// drainDelay is how long new requests are still accepted after SIGTERM: callers go on
	// using cached directory answers that name this VM, some for three times their TTL.
	drainDelay = 2500 * time.Millisecond
	// shutdownMargin is the part of the time between SIGTERM and SIGKILL that is left unused.
	shutdownMargin = 700 * time.Millisecond
	// answerMargin is how long before that requests that still run are told that they may have run, to have the answers
	// written and what they spent recorded.
	answerMargin = 300 * time.Millisecond
	// defaultGrace is the grace if the settings have none.
	defaultGrace  = 4 * time.Second
	sweepInterval = time.Second
	// dialTimeout bounds the opening of a connection to another VM, and maxDialBackoff
	// the pause before the next attempt. A VM without power does not answer, and the
	// kernel retransmits a lost SYN only after a second, while callers wait for records
	// that other VMs have. Round trips take 2 ms within a site and 60 ms between
	// distant regions.
	dialTimeout    = 300 * time.Millisecond
	maxDialBackoff = 300 * time.Millisecond
	// pingAfter is the time without data after which a connection on which a request waits is
	// checked. A turn waits for its records for 0.9 s at most, and needs time to ask again
	// when a connection has gone silent.
	pingAfter = 200 * time.Millisecond
	// probeInterval is the pause between checks whether the record servers are reachable.
	probeInterval = 200 * time.Millisecond
)

type (
	// Settings describe the daemon's VM.
	Settings struct {
		Node      string
		Domain    string           // failure domain
		Cores     float64          // processor cores, possibly a fraction
		Callers   string           // listen address for callers' requests
		Ready     string           // listen address of the readiness check; empty for none
		Directory string           // listen address of the directory; empty for none
		Peer      string           // listen address for other daemons, TCP and UDP
		Seeds     []string         // addresses of VMs with a disk; some may be down or removed
		Grace     time.Duration    // from SIGTERM to SIGKILL
		AnswerTTL time.Duration    // upper bound of the directory answers' TTL; 0 for none
		Tolerance bucket.Tolerance // by which account limits may be exceeded
	}

	// Endpoints are the HTTP paths of the directory and the readiness check, and the
	// body of the directory's answer.
	Endpoints interface {
		Directory(entries []fleet.Entry, ttl time.Duration) any
		DirectoryPath() string
		ReadyPath() string
	}

	// peerList is what peers returns for the listed fronts, which it is asked for dozens of times
	// a second.
	peerList struct {
		entries []fleet.Entry
		peers   []mesh.Peer
	}

	// Daemon serves callers at one VM. Set the exported fields, then call Run.
	Daemon struct {
		Settings  Settings
		Store     store.Shared
		Source    Source
		Dialect   proxy.Dialect
		Endpoints Endpoints
		Log       zerolog.Logger
		Scope     tally.Scope
		Trace     *trace.Trace
		Clients   *memory.Budget // what clients may have this process hold; nil for what fits a small VM

		fleet       fleet.Fleet
		picker      pick.Picker
		pool        upconn.Pool
		link        link.Link
		discov      discov.Reader
		meshio      meshio.Transport
		reach       reach.Breaker
		regkey      regkey.Registration
		proxy       proxy.Endpoint
		callers     *callersServer
		leaving     atomic.Bool
		readState   readState
		silentPeers silentPeers
		unheard     unheard
		fetches     fetches
		fanout      fanout
		backups     backups
		limits      limits.Limiter
		limitPeers  limitPeers
		packs       packs
		runs        runio.Exchange
		ownerCache  atomic.Pointer[ownerList]
		starting    starting
		peerCache   atomic.Pointer[peerList]
		upstreams   label.Label // of upstreams in metrics

		runningGauges map[string]int     // the gauges of turns in flight that were set last, by label
		factorGauges  map[string]float64 // the gauges of upstreams' factors that were set last, by label
	}
)

// Run serves until stop is closed, then drains requests in flight. Cancelling the
// context aborts all work at once.
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
	regCtx, stopRegistration := context.WithCancel(ctx)
	defer stopRegistration()
	go d.register(regCtx)
	// without a configuration it answers 503 and uses the default limits for callers
	d.waitFor(ctx, func(v *fleet.View) bool { return v.Table != nil })
	if err = d.serveCallers(); err != nil {
		return err
	}
	select {
	case <-stop:
	case <-ctx.Done():
	}
	stopRegistration()
	d.drain(ctx)
	return nil
}

func (d *Daemon) start(ctx context.Context) error {
	if d.Clients == nil {
		d.Clients = &memory.Budget{}
	}
	d.discov.Store = d.Store
	d.picker.Name, d.picker.Domain = d.Settings.Node, d.Settings.Domain
	d.limits.Tolerance = d.Settings.Tolerance
	d.picker.Idle, d.picker.Age = d.pool.Idle, d.meshio.Age
	d.picker.Factor = func(u *fleet.Upstream) float64 { return d.meshio.Factor(u.ID, u.Born) }
	d.link.Address, d.link.Scope = d.Settings.Peer, d.Scope
	d.link.DialTimeout, d.link.BackOff, d.link.PingAfter = dialTimeout, maxDialBackoff, pingAfter
	d.link.Proven = conns.Trust
	d.link.Handle(methodSnapshot, link.TypedHandler(d.serveSnapshot))
	if err := d.link.Start(ctx); err != nil {
		return err
	}
	d.regkey = regkey.Registration{
		Store: d.Store, Key: discov.FrontPrefix + d.Settings.Node, OnStatus: d.logRegistration, UpToDate: d.registered,
		Data: func() []byte { return discov.FrontValue(d.self()) },
	}
	d.proxy = proxy.Endpoint{
		Dialect: d.Dialect, Fleet: &d.fleet, Pool: &d.pool, Picker: &d.picker, Log: d.Log, Scope: d.Scope, Trace: d.Trace,
		Refresh: d.refreshConfig, Confirm: d.confirm, Stop: ctx, Limiter: &d.limits, Woken: d.meshio.Broadcast, OthersServe: d.othersServe,
		Records: &d.reach, Runs: &d.runs, Paces: &d.meshio, Memory: d.Clients,
	}
	d.reach.Records = &quorum.Client{
		Peer:   func(address string) link.Invoker { return d.link.Peer(address) },
		Roster: d.discov.Roster, Learn: d.discov.Learn, Refresh: d.discov.Rescan, Domain: d.Settings.Domain, Room: d.Clients,
	}
	var lc net.ListenConfig
	conn, err := lc.ListenPacket(ctx, "udp", d.Settings.Peer)
	if err != nil {
		return err
	}
	d.meshio.Conn, d.meshio.Local, d.meshio.Peers = conn, d.ownTick, d.peers
	d.meshio.Self = mesh.Peer{Node: d.Settings.Node, Address: d.Settings.Peer, Domain: d.Settings.Domain, Cores: d.Settings.Cores}
	d.meshio.Received, d.meshio.Updated = d.onPeerState, d.onPeersChanged
	d.connectParts()
	d.connectRuns()
	go func() {
		if err := d.meshio.Run(ctx); err != nil {
			d.Log.Error().Err(err).Msg("state exchange with other daemons stopped")
		}
	}()
	ln, err := listen(ctx, d.Settings.Peer)
	if err != nil {
		return err
	}
	go func() {
		if err := d.link.Serve(ctx, (&conns.Server{Budget: d.Clients, Kind: memory.Peers}).Listen(ln)); err != nil {
			d.Log.Error().Err(err).Msg("listener for other daemons stopped")
		}
	}()
	d.callers = d.callersServer()
	go d.readLoop(ctx)
	d.restore(ctx)
	go d.sweep(ctx)
	go d.probe(ctx)
	return nil
}

// waitFor waits up to a second for a view that meets the condition.
func (d *Daemon) waitFor(ctx context.Context, cond func(*fleet.View) bool) {
	const longest, step = time.Second, 20 * time.Millisecond
	for range longest / step {
		if cond(d.fleet.View()) || !pause.For(ctx, step) {
			return
		}
	}
}

// others returns the other fronts: those listed in the store, and those known from datagrams
// only. A front whose calls the store refuses may have no key there.
func (d *Daemon) others(p mesh.Summary) []fleet.Entry {
	list := slices.Clone(d.entries())
	for i := range list {
		status, _ := p.Status(mesh.IDOf(list[i].Node))
		list[i].Leaving = list[i].Leaving || status&mesh.Leaving != 0
	}
	for _, s := range p.Unlisted {
		list = append(list, fleet.Entry{Node: s.Node, Address: s.Callers, Peer: s.Peer, Leaving: s.Leaving})
	}
	return slices.DeleteFunc(list, func(e fleet.Entry) bool { return e.Node == d.Settings.Node })
}

// peers returns the listed fronts but this one. The list must not be changed.
func (d *Daemon) peers() []mesh.Peer {
	entries := d.entries()
	if last := d.peerCache.Load(); last != nil && sameList(last.entries, entries) {
		return last.peers
	}
	next := peerList{entries: entries}
	for _, e := range entries {
		if e.Node != d.Settings.Node {
			next.peers = append(next.peers, mesh.Peer{Node: e.Node, Address: e.Peer, Domain: e.Domain, Cores: e.Cores})
		}
	}
	d.peerCache.Store(&next)
	return next.peers
}

// sameList reports whether two lists that are never changed are one.
func sameList(a, b []fleet.Entry) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (d *Daemon) ready() bool { return !d.leaving.Load() && d.fleet.View().Table != nil }

// stopTimes are the times of a planned stop, from SIGTERM on.
type stopTimes struct {
	accepts  time.Duration // connections are accepted, and idle ones stay open
	answered time.Duration // all requests are answered
	closed   time.Duration // all connections are closed
}

// stopTimes returns the times for the grace of the settings. Answers are not ended before its last sixth.
func (s *Settings) stopTimes() stopTimes {
	grace := cmp.Or(s.Grace, defaultGrace)
	closed := grace - min(shutdownMargin, grace/12)
	return stopTimes{accepts: min(drainDelay, closed/2), answered: closed - min(answerMargin, grace/24), closed: closed}
}

// drain stops serving without cutting requests off. The directories name other fronts
// from now on, requests are still taken as far as they will be answered in time, and connections are closed
// with their next response.
func (d *Daemon) drain(ctx context.Context) {
	times, began := d.Settings.stopTimes(), time.Now()
	d.leaving.Store(true)
	d.proxy.Drain(began.Add(times.answered))
	d.meshio.Broadcast()
	go d.deregister(ctx)
	d.Log.Info().Int64("active", d.proxy.Active()).Msg("draining")
	pause.For(ctx, times.accepts)
	limited, stop := context.WithDeadline(ctx, began.Add(times.closed))
	defer stop()
	err := d.callers.Shutdown(limited)
	d.Log.Info().Err(err).Int64("active", d.proxy.Active()).Msg("drained")
}

// probe checks whether the record servers are reachable and logs changes, and applies new limits on heads.
func (d *Daemon) probe(ctx context.Context) {
	down := false
	for pause.For(ctx, probeInterval) {
		d.callers.Update()
		d.reach.Probe(ctx)
		if now := d.reach.Down(time.Now()); now != down {
			down = now
			d.Log.Warn().Str("dependency", "records").Uint64("roster", d.discov.Roster().Version).Msg(map[bool]string{true: "lost", false: "regained"}[down])
		}
	}
}

func (d *Daemon) sweep(ctx context.Context) {
	for pause.For(ctx, sweepInterval) {
		d.pool.CloseExpired(time.Now())
		v := d.fleet.View()
		d.picker.Forget(func(id string) bool {
			_, known := v.Find(id)
			return known
		})
		d.noteUnheard(time.Now())
		d.reportState(time.Now())
		d.reportLimits(time.Now())
		d.reportFactors()
		d.reportRunning()
		d.Scope.Gauge("mesh_messages_too_long").Update(float64(d.meshio.NotSent()))
		slots, inUse, waiting := d.reach.Slots()
		d.Scope.Gauge("records_slots").Update(float64(slots))
		d.Scope.Gauge("records_slots_used").Update(float64(inUse))
		d.Scope.Gauge("records_slots_waiting").Update(float64(waiting))
		d.Scope.Gauge("queued").Update(float64(d.proxy.Queue.Len()))
		d.Scope.Gauge("failed_runs_dropped").Update(float64(d.proxy.Failed.Dropped()))
		d.Scope.Gauge("active").Update(float64(d.proxy.Active()))
		d.Scope.Gauge("upstream_connections_opened").Update(float64(d.pool.Opened()))
		d.Scope.Gauge("upstream_connections_unsolicited").Update(float64(d.pool.Unsolicited()))
	}
}
