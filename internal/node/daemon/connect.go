package daemon

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/conf/apply"
	"github.com/slaterock/slaterock/internal/edge/locate"
	"github.com/slaterock/slaterock/internal/plat/chat"
	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/plat/httpc"
	"github.com/slaterock/slaterock/internal/plat/kvhttp"
	"github.com/slaterock/slaterock/internal/plat/plain"
	"github.com/slaterock/slaterock/internal/plat/tool"
	"github.com/slaterock/slaterock/internal/plat/vmhttp"
	"github.com/slaterock/slaterock/internal/plat/wthttp"
)

// Connect sets the clients of the platform and the upstreams, with the addresses of the
// settings.
func (d *Daemon) Connect() {
	s := d.Settings
	d.Store = &kvhttp.Client{Endpoint: httpc.Endpoint{Address: s.Platform.Store}, Name: s.Daemon.Name}
	if s.Platform.VMList != "" {
		d.VMs = &vmhttp.Client{Endpoint: httpc.Endpoint{Address: s.Platform.VMList}}
	}
	if s.Platform.Weights != "" {
		d.Weights = &wthttp.Client{Endpoint: httpc.Endpoint{Address: s.Platform.Weights}}
	}
	d.Engine = func(address string) engine.Engine {
		first := d.config.Current().Limits.UpstreamTimeout
		return &chat.Client{Endpoint: httpc.Endpoint{Address: address, FirstByteTimeout: first}}
	}
	d.Tool = func(address string) tool.Tool {
		return &plain.Client{Endpoint: httpc.Endpoint{Address: address}}
	}
}

// Peer is the address for other daemons.
func (d *Daemon) Peer() string { return d.self.Peer }

// Apply applies a configuration, whichever version is in force. It waits until Run has
// assembled the daemon.
func (d *Daemon) Apply(ctx context.Context, text []byte) (err error) {
	defer func() { err = errors.Wrap(err, "daemon: apply") }()
	select {
	case <-d.assembled:
	case <-ctx.Done():
		return ctx.Err()
	}
	_, err = d.config.Apply(ctx, apply.Request{Name: "configuration", Text: text, Base: apply.Newest, By: operatorName})
	return err
}

// Converged reports whether a configuration is in force here and each shard is known to have
// an owner.
func (d *Daemon) Converged() bool {
	select {
	case <-d.assembled:
	default:
		return false
	}
	n := d.shardCount()
	members := d.gossip.Members()
	for shard := range n {
		if _, ok := locate.Owner(members, shard); !ok {
			return false
		}
	}
	return n > 0
}
