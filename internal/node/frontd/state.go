package frontd

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/conf/route"
	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/mesh"
	"github.com/slaterock/slaterock/internal/peer/link"
)

const (
	// peerTimeout bounds a call to another daemon.
	peerTimeout = 700 * time.Millisecond
	// firstFetchTimeout bounds the fetch of the whole state, of a few hundred KB, which a hub
	// may send to dozens of others at the same time.
	firstFetchTimeout = 3 * time.Second
	// maxFetches bounds concurrent fetches of newer state from other fronts: a second
	// one in case the first peer is about to stop.
	maxFetches = 2

	methodSnapshot = "fleet.known"
)

type (
	// snapshot is the state that a front sends to another, and that is backed up on disks.
	snapshot struct {
		Revision  uint64           `cbor:"1,keyasint"`
		Age       int64            `cbor:"2,keyasint"` // milliseconds since the store was read
		Config    []byte           `cbor:"3,keyasint"`
		ConfigRev uint64           `cbor:"4,keyasint"`
		Upstreams []fleet.Upstream `cbor:"5,keyasint"`
		Entries   []fleet.Entry    `cbor:"6,keyasint"`
		Roster    []byte           `cbor:"7,keyasint"`
		// Delta replaces the lists of upstreams and entries if the sender still has the
		// state that the receiver starts from.
		Delta  *fleet.Delta `cbor:"8,keyasint,omitempty"`
		Reader uint32       `cbor:"9,keyasint,omitempty"`  // as in mesh.State
		Read   uint64       `cbor:"10,keyasint,omitempty"` // as in mesh.State
		// Restored is as in fleet.View.
		Restored bool `cbor:"11,keyasint,omitempty"`
		// Packed replaces the lists of upstreams and entries: they are encoded and compressed.
		Packed []byte `cbor:"12,keyasint,omitempty"`
		// Listed is the version of the roster that the store holds; Roster may be a newer one.
		Listed uint64 `cbor:"13,keyasint,omitempty"`
	}

	// baseline identifies the state that a front already has, in its request for a snapshot.
	baseline struct {
		Hash    uint64 `cbor:"1,keyasint"` // of its state
		Version int64  `cbor:"2,keyasint"` // of its configuration
		Unpacks bool   `cbor:"3,keyasint"` // it accepts packed lists
	}

	// fetches tracks which fronts a snapshot is being fetched from. The zero value is
	// ready for use.
	fetches struct {
		mu   sync.Mutex
		busy map[string]bool
	}
)

// ownTick returns this front's own load, usage and state, for the other fronts.
func (d *Daemon) ownTick() mesh.Tick {
	v := d.fleet.View()
	now := time.Now()
	return mesh.Tick{
		Idle: d.proxy.Idle(now), Load: toIDs(d.picker.OwnInFlight()), Used: toIDs(d.limits.Used(now)),
		Demand: d.ownDemand(now), Cached: d.proxy.Parts.TakeNew(), State: d.ownState(now, v),
	}
}

// ownState returns this front's state, for the other fronts.
func (d *Daemon) ownState(now time.Time, v *fleet.View) mesh.State {
	return mesh.State{
		Node: d.Settings.Node, Peer: d.Settings.Peer, Callers: d.Settings.Callers,
		Leaving:   !d.ready(), // also before there is a configuration: it can't serve callers then
		Unhealthy: d.reach.Down(now),
		Revision:  v.Revision, Hash: v.Hash, Age: time.Since(v.Confirmed).Milliseconds(), AvailableFor: v.AvailableFor().Milliseconds(),
		Reader: v.Read.By, Read: v.Read.Number,
	}
}

// toIDs replaces names by their hashes.
func toIDs(counts map[string]int) map[mesh.ID]int {
	out := make(map[mesh.ID]int, len(counts))
	for name, n := range counts {
		out[mesh.IDOf(name)] = n
	}
	return out
}

// toNames replaces hashes by their names. Names that this front does not know yet are left
// out: it sends no requests to such an upstream and accepts none from such an account.
func toNames(counts map[mesh.ID]int, names map[mesh.ID]string) map[string]int {
	out := make(map[string]int, len(counts))
	for id, n := range counts {
		if name, known := names[id]; known {
			out[name] = n
		}
	}
	return out
}

// upstreamNames replaces the hashed ids of upstreams by the ids, as toNames does.
func upstreamNames(counts map[mesh.ID]int, v *fleet.View) map[string]int {
	out := make(map[string]int, len(counts))
	for id, n := range counts {
		if u, known := v.FindByID(id); known {
			out[u.ID] = n
		}
	}
	return out
}

// onPeersChanged updates the limits and the picker with the numbers of requests that the other
// fronts have accepted and have in flight, and has the queue of waiting requests check the load.
func (d *Daemon) onPeersChanged(p mesh.Summary) {
	d.updateLimits(p)
	v := d.fleet.View()
	d.picker.PeersUpdated(upstreamNames(p.Load, v), p.Fronts-1)
	d.proxy.Parts.Update(time.Now(), v)
	d.proxy.SetPeerDemand(d.peerDemand(p.Demand))
	d.proxy.PeersUpdated()
}

// onPeerState compares another front's state with this one's. Newer state is fetched. The
// same state from a later read confirms this front's, which then need not read the store.
// A newer revision must not be required for that, since the store's revision does not change
// while nothing is written: eight fronts at low load would read 10 times a second in all,
// where 2 are enough.
//
// Hundreds of fronts may announce newer state at once, as when all of them start. At most
// maxFetches are asked, so that identical answers do not fill memory and links; if none
// answers, the next front that announces newer state is asked.
func (d *Daemon) onPeerState(_ time.Time, s mesh.State) {
	if s.Revision == 0 {
		return // just started, no state yet
	}
	v := d.fleet.View()
	age, read := time.Duration(s.Age)*time.Millisecond, fleet.Read{By: s.Reader, Number: s.Read}
	d.apply(fleet.PeerAvailability{Read: read, Age: age, AvailableFor: time.Duration(s.AvailableFor) * time.Millisecond}, nil)
	if s.Revision < v.Revision || s.Revision == v.Revision && s.Hash != v.Hash {
		return
	}
	if s.Hash == v.Hash {
		d.apply(fleet.Confirmed{Read: read, Revision: s.Revision, Age: age}, nil)
		return
	}
	if d.fetches.begin(s.Node) {
		go d.fetchSnapshot(s)
	}
}

// begin reports whether to fetch from the front now; if so, end must be called afterwards.
func (f *fetches) begin(node string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy[node] || len(f.busy) >= maxFetches {
		return false
	}
	if f.busy == nil {
		f.busy = map[string]bool{}
	}
	f.busy[node] = true
	return true
}

func (f *fetches) end(node string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.busy, node)
}

func (d *Daemon) fetchSnapshot(e mesh.State) {
	base, timeout := d.baseline(), peerTimeout
	if base.Hash == 0 {
		timeout = firstFetchTimeout
	}
	ctx, stop := context.WithTimeout(d.proxy.Stop, timeout)
	defer stop()
	var s snapshot
	err := link.InvokeTyped(ctx, d.link.Peer(e.Peer), methodSnapshot, base, &s)
	d.fetches.end(e.Node)
	if err == nil {
		err = d.applySnapshot(s, 0)
	}
	if err != nil && d.proxy.Stop.Err() == nil {
		d.Log.Warn().Err(err).Str("peer", e.Node).Msg("newer state not fetched from another front")
	}
}

// applySnapshot applies a snapshot of a front; ago is the time since it was taken. A delta
// whose base has been replaced meanwhile is ignored: the next datagram shows whether to
// fetch again.
func (d *Daemon) applySnapshot(s snapshot, ago time.Duration) (err error) {
	read, age := fleet.Read{By: s.Reader, Number: s.Read}, time.Duration(s.Age)*time.Millisecond+ago
	var table *route.Table
	if len(s.Config) > 0 {
		if table, err = d.Source.Decode(s.Config, s.ConfigRev); err != nil {
			return err
		}
	}
	if len(s.Roster) > 0 {
		d.discov.Learn(s.Roster)
	}
	if s.Delta != nil {
		d.apply(fleet.PeerDelta{Delta: *s.Delta, Read: read, Revision: s.Revision, Table: table, Age: age}, nil)
		return nil
	}
	if err = s.unpack(); err != nil {
		return err
	}
	d.apply(fleet.PeerSnapshot{Age: age, Snapshot: fleet.Snapshot{
		Read: read, Revision: s.Revision, Table: table, Upstreams: s.Upstreams, Entries: s.Entries, Roster: s.Listed, Restored: s.Restored,
	}}, nil)
	return nil
}

func (d *Daemon) baseline() baseline {
	v := d.fleet.View()
	b := baseline{Hash: v.Hash, Unpacks: true}
	if v.Table != nil {
		b.Version = v.Table.Version
	}
	return b
}

// serveSnapshot answers another front's request for a snapshot, with a delta where possible:
// with a thousand upstreams the lists take 0.2 MB, and a hundred fronts that fetch them at
// every change saturate the links.
func (d *Daemon) serveSnapshot(_ context.Context, b baseline) (s snapshot, err error) {
	delta, ok := d.fleet.DeltaSince(b.Hash)
	v := d.fleet.View()
	s.Revision, s.Age = v.Revision, time.Since(v.Confirmed).Milliseconds()
	s.Reader, s.Read, s.Listed = v.Read.By, v.Read.Number, v.Roster
	if ok && delta.Hash == v.Hash {
		s.Delta = &delta
	} else if s.Restored = v.Restored; b.Unpacks {
		s.Packed, err = d.packs.pack(v)
	} else {
		s.Upstreams, s.Entries = v.Listed.List(), v.Entries
	}
	if v.Table != nil && v.Table.Version != b.Version {
		s.Config, s.ConfigRev = v.Table.Text, v.Table.Revision
	}
	if r := d.discov.Roster(); r.Version > 0 {
		var invalid error
		s.Roster, invalid = r.Encode()
		err = errors.CombineErrors(err, invalid)
	}
	return s, err
}
