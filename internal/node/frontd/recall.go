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

// A daemon that serves callers has no disk. It has the VMs with a disk keep what
// it read, and asks them if the store gives it nothing at its start. Without
// this, nobody is served from the moment at which all daemons stop while the
// store is away until the store's return.

const (
	// keepPause is the shortest pause between two values that a VM with a disk
	// is sent while upstreams come and go all the time, and keepRate bounds them
	// in bytes a second: a value has 30 kB at a hundred upstreams, 0.3 MB at a
	// thousand.
	keepPause = time.Second
	keepRate  = 64 << 10
	// recallWait is how long the store has to answer at the start, and the pause
	// between questions to a VM with a disk. The store takes some 10 ms where it
	// is well.
	recallWait = 100 * time.Millisecond
)

type (
	// kept is which knowledge each VM with a disk was sent last.
	kept struct {
		mu   sync.Mutex
		of   map[string]sent // by the VM's address
		now  bool            // it is being sent
		size int             // of the last value, in bytes
	}

	// sent tells two states of knowledge apart.
	sent struct {
		hash   uint64 // of the fleet
		roster uint64 // its version
		at     time.Time
	}
)

// keep sends what is known to the VMs with a disk that hold something else.
func (d *Daemon) keep(ctx context.Context) {
	r := d.scout.Roster()
	next := sent{hash: d.fleet.View().Hash, roster: r.Version, at: time.Now()}
	stale := d.kept.begin(r.Replicas, next)
	if len(stale) == 0 {
		return
	}
	go func() {
		d.kept.end(d.sendMemo(ctx, stale, next))
	}()
}

// begin returns the addresses of the places that are to be sent the next state.
// End must be called if there are any.
func (k *kept) begin(places []roster.Replica, next sent) (stale []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.now {
		return nil
	}
	least := max(keepPause, time.Duration(k.size)*time.Second/keepRate)
	for _, p := range places {
		was := k.of[p.Address]
		same := was.hash == next.hash && was.roster == next.roster
		if !same && next.at.Sub(was.at) >= least {
			stale = append(stale, p.Address)
		}
	}
	k.now = len(stale) > 0
	return stale
}

func (k *kept) end(size int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.now, k.size = false, size
}

// sendMemo sends what is known and returns its size in bytes.
func (d *Daemon) sendMemo(ctx context.Context, addresses []string, next sent) (size int) {
	k, err := d.lasting(ctx)
	if err != nil {
		d.Log.Error().Err(err).Msg("knowledge not encoded")
		return 0
	}
	data, err := cbor.Marshal(k)
	if err != nil {
		d.Log.Error().Err(err).Msg("knowledge not encoded")
		return 0
	}
	ctx, stop := context.WithTimeout(ctx, askTime)
	defer stop()
	var work sync.WaitGroup
	for _, address := range addresses {
		work.Go(func() {
			err := link.Ask(ctx, d.link.Peer(address), snap.MethodSave, snap.Snapshot{Revision: k.Revision, Data: data}, nil)
			d.kept.note(address, next, err == nil)
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
func (d *Daemon) lasting(ctx context.Context) (k known, err error) {
	k, err = d.tellKnown(ctx, have{})
	k.Upstreams = d.fleet.View().All()
	return k, err
}

// note remembers what a VM was sent. One that did not confirm is sent the next
// state after the pause, whatever it is.
func (k *kept) note(address string, s sent, confirmed bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.of == nil {
		k.of = map[string]sent{}
	}
	if !confirmed {
		s = sent{at: s.at}
	}
	k.of[address] = s
}

// recall asks the VMs with a disk for the last knowledge, until there is some.
// They may start later than this daemon, each at a time of its own.
func (d *Daemon) recall(ctx context.Context) {
	for _, address := range d.Settings.Seeds {
		go func() {
			var err error
			for pause.For(ctx, recallWait) && d.fleet.View().Table == nil {
				err = d.recallFrom(ctx, address)
			}
			if err != nil && ctx.Err() == nil {
				d.Log.Warn().Err(err).Str("peer", address).Msg("last knowledge not got from a disk")
			}
		}()
	}
}

func (d *Daemon) recallFrom(ctx context.Context, address string) (err error) {
	ctx, stop := context.WithTimeout(ctx, askTime)
	defer stop()
	var n snap.Snapshot
	if err = link.Ask(ctx, d.link.Peer(address), snap.MethodLoad, struct{}{}, &n); err != nil {
		return err
	}
	if len(n.Data) == 0 {
		return errors.New("nothing was kept there")
	}
	d.Log.Info().Str("peer", address).Uint64("revision", n.Revision).Int64("age_ms", n.Age).Msg("last knowledge recalled from a disk")
	var k known
	if err = cbor.Unmarshal(n.Data, &k); err != nil {
		return errors.Wrap(err, "decode last knowledge")
	}
	return d.takeKnown(k, time.Duration(n.Age)*time.Millisecond)
}
