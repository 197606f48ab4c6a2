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
	"github.com/slaterock/slaterock/internal/front/conns"
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

// The methods that daemons call on each other, in addition to xfer.Method, relayed calls and
// gossip packets.
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

	programList struct {
		Programs []string `json:"programs"`
	}
)

var errNoOwner = errors.New("daemon: no owner known, or not responsible here")

func (d *Daemon) assemblePeers(ctx context.Context) {
	d.gossip.RandomSeed = d.self.Incarnation
	d.gossip.Send = func(to string, p swim.Packet) { d.link.Peer(to).Send(p) }
	d.gossip.MemberChanged = func(swim.Member) { d.spawn(func() { d.membersChanged(ctx) }) }
	d.gossip.Newer = func(version uint64, from string) { d.spawn(func() { d.config.Newer(version, from) }) }
	d.link.Address = d.self.Peer
	d.link.Key = []byte(d.Settings.Peers.Key)
	d.link.Proven = conns.Trust
	d.link.Runner = &d.shards
	d.link.OnPacket = d.gossip.HandlePacket
	handle(&d.link, methodConfig, func(_ context.Context, q watch.Query) (any, error) {
		return d.config.Answer(q), nil
	})
	handle(&d.link, methodOffer, func(_ context.Context, o offer) (any, error) {
		d.shards.Offered(ctx, o.Shard)
		return nil, nil
	})
	handle(&d.link, methodOrder, func(ctx context.Context, o order) (any, error) {
		return nil, d.sendOrder(ctx, o.Upstream, o.Order)
	})
	handle(&d.link, methodReport, func(ctx context.Context, r host.Report) (any, error) {
		return d.shards.Report(ctx, r)
	})
	handle(&d.link, methodQuota, func(_ context.Context, a quota.Request) (any, error) {
		return d.quotas.Answer(a), nil
	})
	handle(&d.link, methodLive, func(_ context.Context, l programList) (any, error) {
		return programList{Programs: d.shards.Live(l.Programs)}, nil
	})
}

func (d *Daemon) assembleQuotas() {
	d.quotas.Self = d.self.Name
	d.quotas.Members = d.gossip.Members
	d.quotas.Config = d.config.Current
	d.quotas.Live = d.shards.Has
	d.quotas.Send = func(ctx context.Context, peer string, a quota.Request) (r quota.Answer, err error) {
		err = d.link.Peer(peer).Invoke(ctx, methodQuota, a, &r)
		return r, err
	}
	d.quotas.Init(time.Now())
}

// handle registers a method with typed parameters.
func handle[P any](l *link.Link, name string, f func(ctx context.Context, p P) (any, error)) {
	l.Handle(name, func(ctx context.Context, params json.RawMessage) (any, error) {
		var p P
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, errors.Wrapf(err, "parameters of %s", name)
		}
		return f(ctx, p)
	})
}

// membersChanged updates what depends on the set of daemons: the peers that the configuration
// is fetched from, and the share of the store's rates.
func (d *Daemon) membersChanged(context.Context) {
	var list []watch.Member
	for _, m := range d.gossip.Members() {
		if m.State == swim.Alive {
			list = append(list, watch.Member{Name: m.Name, Peer: m.Peer})
		}
	}
	d.config.Members(list)
	d.allotStore()
}

func (d *Daemon) offer(ctx context.Context, to swim.Member, shard int) error {
	return d.link.Peer(to.Peer).Invoke(ctx, methodOffer, offer{Shard: shard}, nil)
}

// report sends the present owner of a shard the state of an attempt that continues here.
func (d *Daemon) report(ctx context.Context, r host.Report) (a host.ReportReply, err error) {
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

// fence returns the fencing number for orders to an engine, and whether this daemon is
// responsible for them. The number is the epoch of the shard that the engine's name hashes to.
// An engine that doesn't check the number could execute orders of the former owner after those
// of the new one. It therefore gets no orders for placer.OrderTimeout after a takeover; by then
// the former owner's orders have timed out.
func (d *Daemon) fence(upstream string) (uint64, bool) {
	epoch, since, responsible := d.shards.Epoch(locate.Shard(upstream, d.shardCount()))
	if !d.config.Current().Upstreams[upstream].Fencing && epoch > 1 && time.Since(since) < placer.OrderTimeout {
		responsible = false
	}
	return epoch, responsible
}

func (d *Daemon) shardCount() int { return d.config.Current().System.Shards }

// forward sends an order to the daemon that is responsible for the engine.
func (d *Daemon) forward(ctx context.Context, upstream string, o engine.Order) error {
	m, ok := locate.Owner(d.gossip.Members(), locate.Shard(upstream, d.shardCount()))
	if !ok {
		return errNoOwner
	}
	return d.link.Peer(m.Peer).Invoke(ctx, methodOrder, order{Upstream: upstream, Order: o}, nil)
}

// sendOrder sends an order to an engine on behalf of another daemon.
func (d *Daemon) sendOrder(ctx context.Context, upstream string, o engine.Order) error {
	fence, responsible := d.fence(upstream)
	u, known := d.config.Current().Upstreams[upstream]
	if !responsible || !known {
		return errNoOwner
	}
	o.Fence = fence
	return d.Engine(u.Address).Order(ctx, o)
}

// live returns those of the programs that are open at their owners. Programs of a shard whose
// owner is unknown or doesn't answer count as open.
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
		var l programList
		if err := d.link.Peer(peer).Invoke(ctx, methodLive, programList{Programs: ps}, &l); err != nil {
			out = append(out, ps...)
			continue
		}
		out = append(out, l.Programs...)
	}
	return out, nil
}

// tracedRemote is another daemon's Runner, with a span for each relayed call.
type tracedRemote struct {
	relay.Remote
	trace   *trace.Trace
	address string
}

func (h tracedRemote) Try(ctx context.Context, c call.Call, sink runner.Sink) (r result.Result, err error) {
	ctx, span := h.trace.Start(ctx, trace.Relay, c.TraceParent, attribute.String("request", c.Request), attribute.String("peer", h.address))
	c.TraceParent = span.Traceparent()
	defer func() { span.End(err) }()
	return h.Remote.Try(ctx, c, sink)
}

func (d *Daemon) remote(address string) relay.Remote {
	return tracedRemote{Remote: d.link.Peer(address), trace: d.Trace, address: address}
}
