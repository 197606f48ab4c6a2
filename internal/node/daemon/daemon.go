// Package daemon assembles one daemon, which serves callers, exchanges state with the other
// daemons, owns shards and calls upstreams.
//
// Each of these parts has its own package. Package daemon connects them and starts and stops
// them in order.
package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/conf/watch"
	"github.com/slaterock/slaterock/internal/edge/relay"
	"github.com/slaterock/slaterock/internal/edge/server"
	"github.com/slaterock/slaterock/internal/front/conns"
	"github.com/slaterock/slaterock/internal/front/memory"
	"github.com/slaterock/slaterock/internal/node/host"
	"github.com/slaterock/slaterock/internal/node/invoke"
	"github.com/slaterock/slaterock/internal/node/placer"
	"github.com/slaterock/slaterock/internal/node/quotas"
	"github.com/slaterock/slaterock/internal/node/setup"
	"github.com/slaterock/slaterock/internal/node/shards"
	"github.com/slaterock/slaterock/internal/obs/logs"
	"github.com/slaterock/slaterock/internal/obs/metric"
	"github.com/slaterock/slaterock/internal/obs/sheds"
	"github.com/slaterock/slaterock/internal/obs/trace"
	"github.com/slaterock/slaterock/internal/peer/gossip"
	"github.com/slaterock/slaterock/internal/peer/link"
	"github.com/slaterock/slaterock/internal/peer/swim"
	"github.com/slaterock/slaterock/internal/place/sched"
	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/plat/meter"
	"github.com/slaterock/slaterock/internal/plat/store"
	"github.com/slaterock/slaterock/internal/plat/tool"
	"github.com/slaterock/slaterock/internal/plat/vmlist"
	"github.com/slaterock/slaterock/internal/plat/weight"
	"github.com/slaterock/slaterock/internal/play/trcrec"
	"github.com/slaterock/slaterock/internal/shard/xfer"
)

const (
	poolSize          = 16 << 10
	defaultDrainGrace = 6 * time.Second // callers may cache an answer of locate for 5 s
	drainTimeout      = 10 * time.Minute
)

type (
	// Daemon is one daemon. Set the exported fields, then call Init and Run.
	Daemon struct {
		Settings setup.Settings
		Store    store.Store
		VMs      vmlist.List    // nil if the platform has none
		Weights  weight.Weights // paces model loads; nil for no limit
		Engine   func(address string) engine.Engine
		Tool     func(address string) tool.Tool
		Logs     logs.Logs
		Trace    *trace.Trace
		Metric   *metric.Metric
		Recorder *trcrec.Recorder // records the programs' calls for a replay; nil records nothing
		// Listen and Peers are the listeners for callers and peers. Init opens those that are
		// nil, at the addresses of the settings.
		Listen, Peers net.Listener
		DrainGrace    time.Duration // how long a draining daemon still serves callers; zero is 6 s

		log       zerolog.Logger
		scope     tally.Scope
		pool      *ants.Pool
		meter     meter.Meter
		config    watch.Syncer
		gossip    gossip.Gossip
		clients   *memory.Budget // what clients may have the process hold
		sheds     sheds.Sheds
		link      link.Link
		shards    shards.Shards
		xfer      xfer.Endpoint
		quotas    quotas.Limiter
		placer    placer.Placer
		server    server.Server
		relay     relay.Relay
		self      swim.Member
		mu        sync.Mutex
		drain     chan struct{}
		once      sync.Once
		ready     chan struct{}
		assembled chan struct{} // closed once the parts are connected
	}
)

var (
	errNotReady = errors.New("daemon: no configuration yet")
	errDraining = errors.New("daemon: draining")
)

// Init opens the listeners, so that Address and Peer are known before Run.
func (d *Daemon) Init(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "daemon: start") }()
	var lc net.ListenConfig
	if d.Listen == nil {
		if d.Listen, err = lc.Listen(ctx, "tcp", d.Settings.Daemon.Listen); err != nil {
			return err
		}
	}
	if d.Peers == nil {
		if d.Peers, err = lc.Listen(ctx, "tcp", d.Settings.Peers.Listen); err != nil {
			return err
		}
	}
	if d.pool, err = ants.NewPool(poolSize, ants.WithNonblocking(true)); err != nil {
		return err
	}
	d.log = d.Logs.Logger()
	d.scope = d.Metric.Scope().SubScope("owner")
	d.clients = newRoom(d.Settings.Bounds)
	d.clients.BoundRuntime()
	d.sheds = sheds.Sheds{Log: d.log, Scope: d.Metric.Scope()}
	d.clients.OnShed = d.sheds.Note
	d.drain = make(chan struct{})
	d.ready = make(chan struct{})
	d.assembled = make(chan struct{})
	d.self = swim.Member{
		Name:          d.Settings.Daemon.Name,
		Address:       firstNonEmpty(d.Settings.Daemon.Advertise, d.Listen.Addr().String()),
		Peer:          firstNonEmpty(d.Settings.Peers.Advertise, d.Peers.Addr().String()),
		FailureDomain: d.Settings.Daemon.FailureDomain,
		Disk:          d.Settings.Daemon.DataFolder != "",
		State:         swim.Alive,
		Incarnation:   uint64(time.Now().UnixNano()),
	}
	return nil
}

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// Address is the address for callers.
func (d *Daemon) Address() string { return d.self.Address }

// Ready is closed once a configuration is in force.
func (d *Daemon) Ready() <-chan struct{} { return d.ready }

// Drain starts a graceful stop: requests in progress are finished unless that takes longer than
// the configured drain timeout. Run returns when the stop is complete.
func (d *Daemon) Drain() { d.once.Do(func() { close(d.drain) }) }

// Run runs the daemon until ctx ends, which interrupts requests in progress, or until it has
// drained. It also ends when a listener fails; it logs that error and returns nil.
func (d *Daemon) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "daemon") }()
	ctx, stop := context.WithCancel(ctx)
	defer d.pool.Release()
	d.assemble(ctx)
	close(d.assembled)
	var work sync.WaitGroup
	defer work.Wait()
	defer stop()
	work.Go(func() { d.reportGauges(ctx) })
	work.Go(func() { d.placer.Serve(ctx) })
	work.Go(func() { d.gossip.Run(ctx, swim.Self{Member: d.self, Seeds: d.Settings.Peers.Seeds}) })
	work.Go(func() {
		d.stopOnError(stop, d.link.Serve(ctx, (&conns.Server{Budget: d.clients, Kind: memory.Peers}).Listen(d.Peers)))
	})
	work.Go(func() { _ = d.config.Serve(ctx) })
	work.Go(func() { d.shards.Serve(ctx) })
	work.Go(func() { d.quotas.Serve(ctx) })
	work.Go(func() { d.stopOnError(stop, d.server.Serve(d.Listen)) })
	select {
	case <-ctx.Done():
		cancelled, done := context.WithCancel(context.Background())
		done()
		_ = d.server.Shutdown(cancelled) // returns without waiting for requests in progress
		return nil
	case <-d.drain:
		return d.leave(ctx)
	}
}

func (d *Daemon) stopOnError(stop func(), err error) {
	if err != nil {
		d.log.Error().Err(err).Msg("a listener failed; stopping the daemon")
		stop()
	}
}

// leave stops the daemon without interrupting requests, within the drain timeout. It first
// directs callers to other daemons, then hands the shards over, and relays further requests until
// the callers' cached answers of locate have expired.
func (d *Daemon) leave(ctx context.Context) error {
	d.log.Info().Msg("draining")
	d.server.StartDraining()
	d.update(ctx, func(m *swim.Member) { m.State = swim.Draining })
	limit := d.config.Current().Limits.DrainTimeout
	if limit <= 0 {
		limit = drainTimeout
	}
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	leave := d.DrainGrace
	if leave == 0 {
		leave = defaultDrainGrace
	}
	start := time.Now()
	if err := d.shards.Drain(ctx); err != nil {
		return errors.Wrap(err, "hand over")
	}
	select {
	case <-time.After(leave - time.Since(start)):
	case <-ctx.Done():
	}
	err := d.server.Shutdown(ctx)
	d.log.Info().Msg("drained")
	return errors.Wrap(err, "finish requests")
}

// spawn runs f on the pool, or on a new goroutine if the pool is full. Queueing f could be a
// deadlock, as a worker may be waiting for what f does.
func (d *Daemon) spawn(f func()) {
	if d.pool.Submit(f) != nil {
		go f()
	}
}

func (d *Daemon) update(ctx context.Context, change func(m *swim.Member)) {
	d.mu.Lock()
	change(&d.self)
	d.self.Serial++
	self := d.self
	d.mu.Unlock()
	d.gossip.UpdateSelf(ctx, swim.Self{Member: self, Seeds: d.Settings.Peers.Seeds})
}

func (d *Daemon) assemble(ctx context.Context) {
	d.meter.Store = d.Store
	d.meter.OnAnswer = func(at time.Time) {
		d.spawn(func() {
			d.gossip.Reached(ctx, at)
			d.shards.Reached(ctx, at)
		})
	}
	d.assemblePeers(ctx)
	d.assembleFolder()
	d.assembleQuotas()
	d.assembleShards(ctx)
	d.assembleEdge(ctx)
	d.config.Self = watch.Member{Name: d.self.Name, Peer: d.self.Peer}
	d.config.Seeds = d.Settings.Peers.Seeds
	d.config.Store = &d.meter
	d.config.Fetch = func(ctx context.Context, peer string, q watch.Query) (a watch.Answer, err error) {
		err = d.link.Peer(peer).Invoke(ctx, methodConfig, q, &a)
		return a, err
	}
	d.config.OnChange = func(f file.File) { d.configure(ctx, f) }
}

func (d *Daemon) configure(ctx context.Context, f file.File) {
	d.log.Info().Uint64("version", f.Version).Msg("configuration applied")
	d.allotStore()
	d.Recorder.Configure(f)
	d.shards.Configure(ctx, f)
	d.placer.Tell(ctx, nil, sched.Configure{File: f})
	d.update(ctx, func(m *swim.Member) { m.Config = f.Version })
	select {
	case <-d.ready:
	default:
		close(d.ready)
	}
}

// allotStore sets this daemon's share of the store's read and write rates.
func (d *Daemon) allotStore() {
	n := 0
	for _, m := range d.gossip.Members() {
		if m.State != swim.Down {
			n++
		}
	}
	n = max(n, 1)
	sys := d.config.Current().System
	// A daemon that owns shards reads and writes more than others, so a share is twice the mean.
	d.meter.SetRates(2*sys.StoreReads/float64(n), 2*sys.StoreWrites/float64(n))
}

func (d *Daemon) place(ctx context.Context, h *host.Host, m sched.Message) {
	if e, ok := m.(sched.ProgramEnded); ok {
		d.Recorder.End(e.Program)
	}
	d.placer.Tell(ctx, h, m)
}

func (d *Daemon) assembleShards(ctx context.Context) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	var mu sync.Mutex
	randUint64 := func() uint64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Uint64()
	}
	invoker := invoke.Invoker{Trace: d.Trace, Engine: d.Engine, Tool: d.Tool, Broken: d.recordBroken, First: func(request, upstream string) {
		d.placer.Tell(ctx, nil, sched.First{ID: request, Upstream: upstream})
	}}
	d.shards = shards.Shards{
		Name:        d.self.Name,
		Store:       &d.meter,
		Rand:        randUint64,
		Go:          d.spawn,
		Log:         d.log,
		Members:     d.gossip.Members,
		StoreAge:    d.gossip.StoreAge,
		Alone:       d.gossip.Alone,
		Attempt:     invoker.Attempt,
		Trace:       d.Trace,
		MaxPrograms: d.Settings.Bounds.Programs,
		Place:       func(h *host.Host, m sched.Message) { d.place(ctx, h, m) },
		OnCallEnd:   d.recordCall,
		OnOwned:     func(s []swim.Shard) { d.update(ctx, func(m *swim.Member) { m.Shards = s }) },
		Peers:       &d.xfer,
		Domain:      d.self.FailureDomain,
		Offer:       d.offer,
		Tell:        d.report,
		Limiter:     &d.quotas,
	}
	d.shards.Init()
	d.placer = placer.Placer{
		Seed:    randUint64(),
		Engine:  d.Engine,
		VMs:     d.VMs,
		Weights: d.Weights,
		Go:      d.spawn,
		Log:     d.log,
		Fence:   d.fence,
		Forward: d.forward,
		Live:    d.live,
		OnLoad:  d.Recorder.Load,
	}
	d.placer.Init()
}
