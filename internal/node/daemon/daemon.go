// Package daemon puts one daemon together: it meets callers, knows the other
// daemons, owns shards and reaches upstreams.
//
// Everything in it has its own package; daemon only connects their ends and
// starts and stops them in order.
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
	"github.com/slaterock/slaterock/internal/node/guard"
	"github.com/slaterock/slaterock/internal/node/host"
	"github.com/slaterock/slaterock/internal/node/placer"
	"github.com/slaterock/slaterock/internal/node/send"
	"github.com/slaterock/slaterock/internal/node/setup"
	"github.com/slaterock/slaterock/internal/node/shards"
	"github.com/slaterock/slaterock/internal/obs/logs"
	"github.com/slaterock/slaterock/internal/obs/metric"
	"github.com/slaterock/slaterock/internal/obs/trace"
	"github.com/slaterock/slaterock/internal/peer/beat"
	"github.com/slaterock/slaterock/internal/peer/gossip"
	"github.com/slaterock/slaterock/internal/peer/link"
	"github.com/slaterock/slaterock/internal/place/sched"
	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/plat/meter"
	"github.com/slaterock/slaterock/internal/plat/store"
	"github.com/slaterock/slaterock/internal/plat/tool"
	"github.com/slaterock/slaterock/internal/plat/vmlist"
	"github.com/slaterock/slaterock/internal/plat/weight"
	"github.com/slaterock/slaterock/internal/play/trcrec"
	"github.com/slaterock/slaterock/internal/shard/shelf"
)

const (
	poolSize     = 16 << 10
	leaveTime    = 6 * time.Second // a caller may keep an answer of locate for 5 s
	drainTimeout = 10 * time.Minute
)

type (
	// Daemon is one daemon. Set the fields, then Run.
	Daemon struct {
		Settings setup.Settings
		Store    store.Store
		VMs      vmlist.List    // nil without a list
		Weights  weight.Weights // nil if loads are not spaced
		Engine   func(address string) engine.Engine
		Tool     func(address string) tool.Tool
		Logs     logs.Logs
		Trace    *trace.Trace
		Metric   *metric.Metric
		Recorder *trcrec.Recorder // records what programs do; nil records nothing
		// Listen and Peers replace listening on the addresses of the settings.
		Listen, Peers net.Listener
		Leave         time.Duration // how long a draining daemon goes on serving; zero is six seconds

		log    zerolog.Logger
		scope  tally.Scope
		pool   *ants.Pool
		meter  meter.Meter
		keeper watch.Keeper
		gossip gossip.Gossip
		link   link.Link
		shards shards.Shards
		shelf  shelf.Shelf
		guard  guard.Guard
		placer placer.Placer
		server server.Server
		relay  relay.Relay
		self   beat.Member
		mu     sync.Mutex
		drain  chan struct{}
		once   sync.Once
		ready  chan struct{}
		whole  chan struct{} // closed once the parts know each other
	}
)

var (
	errNotReady = errors.New("daemon: no configuration yet")
	errDraining = errors.New("daemon: draining")
)

// Init opens the listeners, so that Address is known before Run.
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
	d.drain = make(chan struct{})
	d.ready = make(chan struct{})
	d.whole = make(chan struct{})
	d.self = beat.Member{
		Name:          d.Settings.Daemon.Name,
		Address:       either(d.Settings.Daemon.Advertise, d.Listen.Addr().String()),
		Peer:          either(d.Settings.Peers.Advertise, d.Peers.Addr().String()),
		FailureDomain: d.Settings.Daemon.FailureDomain,
		Disk:          d.Settings.Daemon.DataFolder != "",
		State:         beat.Alive,
		Incarnation:   uint64(time.Now().UnixNano()),
	}
	return nil
}

func either(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// Address is where callers reach the daemon.
func (d *Daemon) Address() string { return d.self.Address }

// Ready is closed when a configuration is in force.
func (d *Daemon) Ready() <-chan struct{} { return d.ready }

// Drain asks the daemon to stop without cutting a request; Run returns then.
func (d *Daemon) Drain() { d.once.Do(func() { close(d.drain) }) }

// Run runs the daemon until ctx ends, which cuts what is under way, or until it
// has drained.
func (d *Daemon) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "daemon") }()
	ctx, stop := context.WithCancel(ctx)
	defer d.pool.Release()
	d.assemble(ctx)
	close(d.whole)
	var work sync.WaitGroup
	defer work.Wait()
	defer stop()
	work.Go(func() { d.measure(ctx) })
	work.Go(func() { d.placer.Serve(ctx) })
	work.Go(func() { d.gossip.Run(ctx, beat.Self{Member: d.self, Seeds: d.Settings.Peers.Seeds}) })
	work.Go(func() { d.failed(stop, d.link.Serve(ctx, d.Peers)) })
	work.Go(func() { _ = d.keeper.Serve(ctx) })
	work.Go(func() { d.shards.Serve(ctx) })
	work.Go(func() { d.guard.Serve(ctx) })
	work.Go(func() { d.failed(stop, d.server.Serve(d.Listen)) })
	select {
	case <-ctx.Done():
		cut, done := context.WithCancel(context.Background())
		done()
		_ = d.server.Shutdown(cut)
		return nil
	case <-d.drain:
		return d.leave(ctx)
	}
}

func (d *Daemon) failed(stop func(), err error) {
	if err != nil {
		d.log.Error().Err(err).Msg("daemon stops")
		stop()
	}
}

// leave stops in an order that cuts nothing: callers are sent elsewhere first,
// shards are handed over when their calls have ended, and what callers still
// send is relayed until their answers from locate have run out.
func (d *Daemon) leave(ctx context.Context) error {
	d.log.Info().Msg("draining")
	d.server.StartDraining()
	d.update(ctx, func(m *beat.Member) { m.State = beat.Draining })
	limit := d.keeper.Current().Limits.DrainTimeout
	if limit <= 0 {
		limit = drainTimeout
	}
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	leave := d.Leave
	if leave == 0 {
		leave = leaveTime
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

// run runs f on the pool, or on a goroutine of its own when the pool is full:
// work that waited for a free worker could be what a worker waits for.
func (d *Daemon) run(f func()) {
	if d.pool.Submit(f) != nil {
		go f()
	}
}

func (d *Daemon) update(ctx context.Context, change func(m *beat.Member)) {
	d.mu.Lock()
	change(&d.self)
	d.self.Serial++
	self := d.self
	d.mu.Unlock()
	d.gossip.Update(ctx, beat.Self{Member: self, Seeds: d.Settings.Peers.Seeds})
}

func (d *Daemon) assemble(ctx context.Context) {
	d.meter.Store = d.Store
	d.meter.OnAnswer = func(at time.Time) {
		d.run(func() {
			d.gossip.Reached(ctx, at)
			d.shards.Reached(ctx, at)
		})
	}
	d.assemblePeers(ctx)
	d.assembleFolder()
	d.assembleGuard()
	d.assembleShards(ctx)
	d.assembleEdge(ctx)
	d.keeper.Self = watch.Member{Name: d.self.Name, Peer: d.self.Peer}
	d.keeper.Seeds = d.Settings.Peers.Seeds
	d.keeper.Store = &d.meter
	d.keeper.Fetch = func(ctx context.Context, peer string, q watch.Question) (a watch.Answer, err error) {
		err = d.link.Peer(peer).Invoke(ctx, methodConfig, q, &a)
		return a, err
	}
	d.keeper.OnChange = func(f file.File) { d.configure(ctx, f) }
}

func (d *Daemon) configure(ctx context.Context, f file.File) {
	d.log.Info().Uint64("version", f.Version).Msg("configuration in force")
	d.share()
	d.Recorder.Configure(f)
	d.shards.Configure(ctx, f)
	d.placer.Tell(ctx, nil, sched.Configure{File: f})
	d.update(ctx, func(m *beat.Member) { m.Config = f.Version })
	select {
	case <-d.ready:
	default:
		close(d.ready)
	}
}

// share gives this daemon its part of the calls that the store takes.
func (d *Daemon) share() {
	n := 0
	for _, m := range d.gossip.Members() {
		if m.State != beat.Down {
			n++
		}
	}
	n = max(n, 1)
	sys := d.keeper.Current().System
	// Owners write and read more than others, so a share is twice the mean.
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
	draw := func() uint64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Uint64()
	}
	tries := send.Send{Trace: d.Trace, Engine: d.Engine, Tool: d.Tool, First: func(request, upstream string) {
		d.placer.Tell(ctx, nil, sched.First{ID: request, Upstream: upstream})
	}}
	d.shards = shards.Shards{
		Name:        d.self.Name,
		Store:       &d.meter,
		Rand:        draw,
		Go:          d.run,
		Log:         d.log,
		Members:     d.gossip.Members,
		StoreAge:    d.gossip.StoreAge,
		Alone:       d.gossip.Alone,
		Attempt:     tries.Attempt,
		Trace:       d.Trace,
		MaxPrograms: d.Settings.Bounds.Programs,
		Place:       func(h *host.Host, m sched.Message) { d.place(ctx, h, m) },
		Ended:       d.ended,
		Owned:       func(s []beat.Shard) { d.update(ctx, func(m *beat.Member) { m.Shards = s }) },
		Peers:       &d.shelf,
		Domain:      d.self.FailureDomain,
		Offer:       d.offer,
		Tell:        d.report,
		Guard:       &d.guard,
	}
	d.shards.Init()
	d.placer = placer.Placer{
		Seed:    draw(),
		Engine:  d.Engine,
		VMs:     d.VMs,
		Weights: d.Weights,
		Go:      d.run,
		Log:     d.log,
		Fence:   d.fence,
		Forward: d.forward,
		Live:    d.live,
		Loaded:  d.Recorder.Load,
	}
	d.placer.Init()
}
