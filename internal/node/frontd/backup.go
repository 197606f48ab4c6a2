package frontd

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/disk/snap"
	"github.com/slaterock/slaterock/internal/peer/link"
	"github.com/slaterock/slaterock/internal/peer/pause"
)

// A front has no disk. It backs its state up on the VMs of the roster's replicas, and
// restores it from its seeds if the store does not answer at its start. Without this, if all
// fronts restart during an outage of the store, no caller is served until the store is
// available again.

const (
	// minBackupInterval is the shortest interval between two backups on one VM while
	// upstreams change constantly, and maxBackupRate bounds the backups in bytes per second:
	// a backup takes 0.2 MB with ten thousand upstreams.
	minBackupInterval = time.Second
	maxBackupRate     = 64 << 10
	// restoreInterval is how long the store has to answer at the start, and the pause
	// between requests for the backup to a seed. The store normally answers within about
	// 10 ms.
	restoreInterval = 100 * time.Millisecond
)

type (
	// backups tracks which state each VM was sent last. The zero value is ready for use.
	backups struct {
		mu      sync.Mutex
		last    map[string]stamp // by the VM's address
		sending bool             // a backup is being sent
		size    int              // of the last backup, in bytes
	}

	// stamp identifies a state, and has the time at which it was sent.
	stamp struct {
		hash   uint64 // of the fleet's state
		roster uint64 // version of the roster
		at     time.Time
	}
)

// backUp sends the present state to the replicas' VMs whose backup differs.
func (d *Daemon) backUp(ctx context.Context) {
	r := d.discov.Roster()
	next := stamp{hash: d.fleet.View().Hash, roster: r.Version, at: time.Now()}
	stale := d.backups.begin(r.Replicas, next)
	if len(stale) == 0 {
		return
	}
	go func() {
		d.backups.end(d.sendBackup(ctx, stale, next))
	}()
}

// begin returns the addresses of the replicas that the next state is to be sent to. If there
// are any, end must be called afterwards.
func (b *backups) begin(replicas []roster.Replica, next stamp) (stale []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sending {
		return nil
	}
	least := max(minBackupInterval, time.Duration(b.size)*time.Second/maxBackupRate)
	for _, p := range replicas {
		was := b.last[p.Address]
		same := was.hash == next.hash && was.roster == next.roster
		if !same && next.at.Sub(was.at) >= least {
			stale = append(stale, p.Address)
		}
	}
	b.sending = len(stale) > 0
	return stale
}

func (b *backups) end(size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sending, b.size = false, size
}

// sendBackup sends the present state and returns its size in bytes, 0 if it can't be encoded.
func (d *Daemon) sendBackup(ctx context.Context, addresses []string, next stamp) (size int) {
	s, err := d.backupSnapshot(ctx)
	if err != nil {
		d.Log.Error().Err(err).Msg("backup not encoded")
		return 0
	}
	data, err := s.encode()
	if err != nil {
		d.Log.Error().Err(err).Msg("backup not encoded")
		return 0
	}
	ctx, stop := context.WithTimeout(ctx, peerTimeout)
	defer stop()
	var work sync.WaitGroup
	for _, address := range addresses {
		work.Go(func() {
			err := link.InvokeTyped(ctx, d.link.Peer(address), snap.MethodSave, snap.Snapshot{Revision: s.Revision, Data: data}, nil)
			d.backups.record(address, next, err == nil)
			if err != nil && ctx.Err() == nil {
				d.Log.Warn().Err(err).Str("peer", address).Msg("state not backed up on a disk")
			}
		})
	}
	work.Wait()
	return len(data)
}

// encode returns the encoding of a backup, with its lists packed.
func (s snapshot) encode() (data []byte, err error) {
	if s.Packed, err = packLists(lists{Upstreams: s.Upstreams, Entries: s.Entries}); err != nil {
		return nil, err
	}
	s.Upstreams, s.Entries = nil, nil
	data, err = cbor.Marshal(s)
	return data, errors.Wrap(err, "encode backup")
}

// backupSnapshot returns the state for the backup. A front that restores it has no other
// source during an outage of the store, so it includes the upstreams that are kept although
// the store does not list them.
func (d *Daemon) backupSnapshot(ctx context.Context) (s snapshot, err error) {
	s, err = d.serveSnapshot(ctx, baseline{})
	s.Upstreams = d.fleet.View().All()
	return s, err
}

// record records what a VM was sent. One that did not confirm is sent the state again after
// the interval, even if it has not changed.
func (b *backups) record(address string, s stamp, confirmed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.last == nil {
		b.last = map[string]stamp{}
	}
	if !confirmed {
		s = stamp{at: s.at}
	}
	b.last[address] = s
}

// restore requests the last backup from each seed until a configuration is known. Seeds may
// start later than this front, at different times.
func (d *Daemon) restore(ctx context.Context) {
	began := time.Now()
	for _, address := range d.Settings.Seeds {
		go func() {
			var err error
			for pause.For(ctx, restoreInterval) && d.fleet.View().Table == nil {
				if d.starting.awaitsOthers() && time.Since(began) < maxStartDelay {
					continue // the store answers: a front reads it for all
				}
				err = d.restoreFrom(ctx, address)
			}
			if err != nil && ctx.Err() == nil {
				d.Log.Warn().Err(err).Str("peer", address).Msg("backup not restored from a disk")
			}
		}()
	}
}

func (d *Daemon) restoreFrom(ctx context.Context, address string) (err error) {
	ctx, stop := context.WithTimeout(ctx, firstFetchTimeout)
	defer stop()
	var n snap.Snapshot
	if err = link.InvokeTyped(ctx, d.link.Peer(address), snap.MethodLoad, struct{}{}, &n); err != nil {
		return err
	}
	if len(n.Data) == 0 {
		return errors.New("no backup on that disk")
	}
	d.Log.Info().Str("peer", address).Uint64("revision", n.Revision).Int64("age_ms", n.Age).Msg("backup read from a disk")
	var s snapshot
	if err = cbor.Unmarshal(n.Data, &s); err != nil {
		return errors.Wrap(err, "decode backup")
	}
	// one revision older, so that the state of a front that has read the store replaces it
	s.Revision, s.Restored = max(s.Revision, 1)-1, true
	return d.applySnapshot(s, time.Duration(n.Age)*time.Millisecond)
}
