package frontd

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/slaterock/slaterock/internal/disk/memo"
	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/peer/link"
	"github.com/slaterock/slaterock/internal/peer/pause"
)

// A daemon that serves callers has no disk. It has the VMs with a disk keep what
// it read, and asks them if the store gives it nothing at its start. Without
// this, nobody is served from the moment at which all daemons stop while the
// store is away until the store's return.

const (
	// keepPause is the shortest pause between two values that a VM with a disk
	// is sent while upstreams come and go all the time, and keepRate bounds them
	// in bytes a second: a value has 30 kB at a hundred upstreams, 0.3 MB at a
	// thousand.
	minBackupInterval = time.Second
	maxBackupRate     = 64 << 10
	// recallWait is how long the store has to answer at the start, and the pause
	// between questions to a VM with a disk. The store takes some 10 ms where it
	// is well.
	restoreInterval = 100 * time.Millisecond
)

type (
	// kept is which knowledge each VM with a disk was sent last.
	backups struct {
		mu      sync.Mutex
		last    map[string]stamp // by the VM's address
		sending bool             // it is being sent
		size    int              // of the last value, in bytes
	}

	// sent tells two states of knowledge apart.
	stamp struct {
		hash   uint64 // of the fleet
		roster uint64 // its version
		at     time.Time
	}
)

// keep sends what is known to the VMs with a disk that hold something else.
func (d *Daemon) backUp(ctx context.Context) {
	r := d.discov.Roster()
	next := stamp{hash: d.fleet.View().Hash, roster: r.Version, at: time.Now()}
	stale := d.backups.begin(r.Places, next)
	if len(stale) == 0 {
		return
	}
	go func() {
		d.backups.end(d.sendBackup(ctx, stale, next))
	}()
}

// begin returns the addresses of the places that are to be sent the next state.
// End must be called if there are any.
func (k *backups) begin(places []roster.Place, next stamp) (stale []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.sending {
		return nil
	}
	least := max(minBackupInterval, time.Duration(k.size)*time.Second/maxBackupRate)
	for _, p := range places {
		was := k.last[p.Address]
		same := was.hash == next.hash && was.roster == next.roster
		if !same && next.at.Sub(was.at) >= least {
			stale = append(stale, p.Address)
		}
	}
	k.sending = len(stale) > 0
	return stale
}

func (k *backups) end(size int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sending, k.size = false, size
}

// sendMemo sends what is known and returns its size in bytes.
func (d *Daemon) sendBackup(ctx context.Context, addresses []string, next stamp) (size int) {
	k, err := d.backupSnapshot(ctx)
	if err != nil {
		d.Log.Error().Err(err).Msg("knowledge not encoded")
		return 0
	}
	data, err := cbor.Marshal(k)
	if err != nil {
		d.Log.Error().Err(err).Msg("knowledge not encoded")
		return 0
	}
	ctx, stop := context.WithTimeout(ctx, peerTimeout)
	defer stop()
	var work sync.WaitGroup
	for _, address := range addresses {
		work.Go(func() {
			err := link.Ask(ctx, d.link.Peer(address), memo.MethodKeep, memo.Note{Revision: k.Revision, Data: data}, nil)
			d.backups.record(address, next, err == nil)
			if err != nil && ctx.Err() == nil {
				d.Log.Warn().Err(err).Str("peer", address).Msg("knowledge not kept on a disk")
			}
		})
	}
	work.Wait()
	return len(data)
}

// lasting is what is kept on disks. A daemon that recalls it knows nothing else while the
// store is away, so it has the upstreams that are missing, too.
func (d *Daemon) backupSnapshot(ctx context.Context) (k snapshot, err error) {
	k, err = d.serveSnapshot(ctx, baseline{})
	k.Upstreams = d.fleet.View().All()
	return k, err
}

// note remembers what a VM was sent. One that did not confirm is sent the next
// state after the pause, whatever it is.
func (k *backups) record(address string, s stamp, confirmed bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.last == nil {
		k.last = map[string]stamp{}
	}
	if !confirmed {
		s = stamp{at: s.at}
	}
	k.last[address] = s
}

// recall asks the VMs with a disk for the last knowledge, until there is some.
// They may start later than this daemon, each at a time of its own.
func (d *Daemon) restore(ctx context.Context) {
	for _, address := range d.Settings.Seeds {
		go func() {
			var err error
			for pause.For(ctx, restoreInterval) && d.fleet.View().Table == nil {
				err = d.restoreFrom(ctx, address)
			}
			if err != nil && ctx.Err() == nil {
				d.Log.Warn().Err(err).Str("peer", address).Msg("last knowledge not got from a disk")
			}
		}()
	}
}

func (d *Daemon) restoreFrom(ctx context.Context, address string) (err error) {
	ctx, stop := context.WithTimeout(ctx, peerTimeout)
	defer stop()
	var n memo.Note
	if err = link.Ask(ctx, d.link.Peer(address), memo.MethodLast, struct{}{}, &n); err != nil {
		return err
	}
	if len(n.Data) == 0 {
		return errors.New("nothing was kept there")
	}
	d.Log.Info().Str("peer", address).Uint64("revision", n.Revision).Int64("age_ms", n.Age).Msg("last knowledge recalled from a disk")
	var k snapshot
	if err = cbor.Unmarshal(n.Data, &k); err != nil {
		return errors.Wrap(err, "decode last knowledge")
	}
	return d.applySnapshot(k, time.Duration(n.Age)*time.Millisecond)
}
