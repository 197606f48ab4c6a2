package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"

	"github.com/slaterock/slaterock/internal/conf/watch"
	"github.com/slaterock/slaterock/internal/edge/locate"
	"github.com/slaterock/slaterock/internal/edge/relay"
	"github.com/slaterock/slaterock/internal/node/host"
	"github.com/slaterock/slaterock/internal/node/placer"
	"github.com/slaterock/slaterock/internal/obs/trace"
	"github.com/slaterock/slaterock/internal/peer/link"
	"github.com/slaterock/slaterock/internal/peer/swim"
	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/quota"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/prog/runner"
)

// The methods that daemons offer each other beside relayed calls and packets.
const (
	methodConfig = "config.ask"
	methodOffer  = "shard.offer"
	methodOrder  = "engine.order"
	methodLive   = "programs.live"
	methodReport = "attempt.report"
	methodQuota  = "quota.take"
)

type (
	offer struct {
		Shard int `json:"shard"`
	}

	order struct {
		Upstream string       `json:"upstream"`
		Order    engine.Order `json:"order"`
	}

	liveness struct {
		Programs []string `json:"programs"`
	}
)

var errNoOwner = errors.New("daemon: no owner known")

func (d *Daemon) assemblePeers(ctx context.Context) {
	d.gossip.RandomSeed = d.self.Incarnation
	d.gossip.Send = func(to string, p swim.Packet) { d.link.Peer(to).Send(p) }
	d.gossip.MemberChanged = func(swim.Member) { d.run(func() { d.picture(ctx) }) }
	d.gossip.Newer = func(version uint64, from string) { d.run(func() { d.keeper.Newer(version, from) }) }
	d.link.Address = d.self.Peer
	d.link.Key = []byte(d.Settings.Peers.Key)
	d.link.Runner = &d.shards
	d.link.OnPacket = d.gossip.HandlePacket
	handle(&d.link, methodConfig, func(_ context.Context, q watch.Question) (any, error) {
		return d.keeper.Answer(q), nil
	})
	handle(&d.link, methodOffer, func(_ context.Context, o offer) (any, error) {
		d.shards.Offered(ctx, o.Shard)
		return nil, nil
	})
	handle(&d.link, methodOrder, func(ctx context.Context, o order) (any, error) {
		return nil, d.give(ctx, o.Upstream, o.Order)
	})
	handle(&d.link, methodReport, func(ctx context.Context, r host.Report) (any, error) {
		return d.shards.Report(ctx, r)
	})
	handle(&d.link, methodQuota, func(_ context.Context, a quota.Ask) (any, error) {
		return d.guard.Answer(a), nil
	})
	handle(&d.link, methodLive, func(_ context.Context, l liveness) (any, error) {
		return liveness{Programs: d.shards.Live(l.Programs)}, nil
	})
}

func (d *Daemon) assembleGuard() {
	d.guard.Self = d.self.Name
	d.guard.Members = d.gossip.Members
	d.guard.Config = d.keeper.Current
	d.guard.Live = d.shards.Has
	d.guard.Send = func(ctx context.Context, peer string, a quota.Ask) (r quota.Answer, err error) {
		err = d.link.Peer(peer).Invoke(ctx, methodQuota, a, &r)
		return r, err
	}
	d.guard.Init(time.Now())
}

// handle offers a method with typed parameters.
func handle[P any](l *link.Link, name string, f func(ctx context.Context, p P) (any, error)) {
	l.Handle(name, func(ctx context.Context, params json.RawMessage) (any, error) {
		var p P
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, errors.Wrapf(err, "parameters of %s", name)
		}
		return f(ctx, p)
	})
}

// picture passes on what changed among the daemons.
func (d *Daemon) picture(context.Context) {
	var list []watch.Member
	for _, m := range d.gossip.Members() {
		if m.State == swim.Alive {
			list = append(list, watch.Member{Name: m.Name, Peer: m.Peer})
		}
	}
	d.keeper.Members(list)
	d.share()
}

func (d *Daemon) offer(ctx context.Context, to swim.Member, shard int) error {
	return d.link.Peer(to.Peer).Invoke(ctx, methodOffer, offer{Shard: shard}, nil)
}

// report tells a shard's present owner of an attempt that goes on here.
func (d *Daemon) report(ctx context.Context, r host.Report) (a host.Receipt, err error) {
	m, ok := locate.Owner(d.gossip.Members(), r.Shard)
	if !ok {
		return a, errNoOwner
	}
	if m.Name == d.self.Name {
		return d.shards.Report(ctx, r)
	}
	err = d.link.Peer(m.Peer).Invoke(ctx, methodReport, r, &a)
	return a, err
}

// fence returns the number for orders to an engine, if this daemon gives them:
// the epoch of the shard that the engine's name falls into. An engine that
// doesn't check the number gets none until the orders that a former owner may
// have sent have run out; it would take them in any sequence.
func (d *Daemon) fence(upstream string) (uint64, bool) {
	epoch, since, here := d.shards.Epoch(locate.Shard(upstream, d.shardCount()))
	if !d.keeper.Current().Upstreams[upstream].Fencing && epoch > 1 && time.Since(since) < placer.OrderTimeout {
		here = false
	}
	return epoch, here
}

func (d *Daemon) shardCount() int { return d.keeper.Current().System.Shards }

// forward has an order given by the daemon that all orders to the engine go
// through.
func (d *Daemon) forward(ctx context.Context, upstream string, o engine.Order) error {
	m, ok := locate.Owner(d.gossip.Members(), locate.Shard(upstream, d.shardCount()))
	if !ok {
		return errNoOwner
	}
	return d.link.Peer(m.Peer).Invoke(ctx, methodOrder, order{Upstream: upstream, Order: o}, nil)
}

// give gives an order to an engine on behalf of another daemon.
func (d *Daemon) give(ctx context.Context, upstream string, o engine.Order) error {
	fence, here := d.fence(upstream)
	u, known := d.keeper.Current().Upstreams[upstream]
	if !here || !known {
		return errNoOwner
	}
	o.Fence = fence
	return d.Engine(u.Address).Order(ctx, o)
}

// live tells which programs some owner still knows. Programs of a shard whose
// owner doesn't answer count as live.
func (d *Daemon) live(ctx context.Context, programs []string) (out []string, err error) {
	by := map[string][]string{}
	for _, p := range programs {
		m, ok := locate.Owner(d.gossip.Members(), locate.Shard(p, d.shardCount()))
		if !ok {
			out = append(out, p)
			continue
		}
		by[m.Peer] = append(by[m.Peer], p)
	}
	for peer, ps := range by {
		if peer == d.self.Peer {
			out = append(out, d.shards.Live(ps)...)
			continue
		}
		var l liveness
		if err := d.link.Peer(peer).Invoke(ctx, methodLive, liveness{Programs: ps}, &l); err != nil {
			out = append(out, ps...)
			continue
		}
		out = append(out, l.Programs...)
	}
	return out, nil
}

// hop is the way to another daemon's Runner, with a span for each relayed call.
type hop struct {
	relay.Remote
	trace   *trace.Trace
	address string
}

func (h hop) Try(ctx context.Context, c call.Call, sink runner.Sink) (r result.Result, err error) {
	ctx, span := h.trace.Start(ctx, trace.Relay, c.TraceParent, attribute.String("request", c.Request), attribute.String("peer", h.address))
	c.TraceParent = span.Traceparent()
	defer func() { span.End(err) }()
	return h.Remote.Try(ctx, c, sink)
}

func (d *Daemon) peer(address string) relay.Remote {
	return hop{Remote: d.link.Peer(address), trace: d.Trace, address: address}
}
