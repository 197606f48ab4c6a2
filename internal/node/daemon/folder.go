package daemon

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/shard/blobs"
	"github.com/slaterock/slaterock/internal/shard/xfer"
)

var errNoPeer = errors.New("daemon: no daemon of that name is known")

// assembleFolder serves this daemon's data folder, if it has one, to the other daemons, and
// connects the client of theirs.
func (d *Daemon) assembleFolder() {
	d.xfer = xfer.Endpoint{Name: d.self.Name, Invoke: d.invoke}
	if dir := d.Settings.Daemon.DataFolder; dir != "" {
		d.xfer.Folder = &blobs.Folder{Dir: dir}
	}
	d.link.Handle(xfer.Method, d.xfer.Serve)
}

// invoke calls a method of the daemon named to.
func (d *Daemon) invoke(ctx context.Context, to, method string, params, out any) error {
	for _, m := range d.gossip.Members() {
		if m.Name == to {
			return d.link.Peer(m.Peer).Invoke(ctx, method, params, out)
		}
	}
	return errNoPeer
}
