package daemon

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/shard/blobs"
	"github.com/slaterock/slaterock/internal/shard/xfer"
)

var errNoPeer = errors.New("daemon: no such daemon is known")

// assembleFolder offers this daemon's data folder to the others, if it has one,
// and reaches theirs.
func (d *Daemon) assembleFolder() {
	d.xfer = xfer.Endpoint{Name: d.self.Name, Invoke: d.invoke}
	if dir := d.Settings.Daemon.DataFolder; dir != "" {
		d.xfer.Folder = &blobs.Folder{Dir: dir}
	}
	d.link.Handle(xfer.Method, d.xfer.Serve)
}

// invoke calls a method at the daemon of that name.
func (d *Daemon) invoke(ctx context.Context, to, method string, params, out any) error {
	for _, m := range d.gossip.Members() {
		if m.Name == to {
			return d.link.Peer(m.Peer).Invoke(ctx, method, params, out)
		}
	}
	return errNoPeer
}
