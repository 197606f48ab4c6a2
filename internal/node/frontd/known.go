package frontd

import (
	"context"
	"sync"
	"time"

	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/mesh"
	"github.com/slaterock/slaterock/internal/peer/link"
)

const (
	// askTime bounds what is asked of another daemon.
	askTime = 700 * time.Millisecond
	// asksMost is how many daemons are asked at a time for the same news: a
	// second one in case the first is about to stop.
	asksMost = 2

	methodKnown = "fleet.known"
)

type (
	// known is what a daemon tells another.
	known struct {
		Revision  uint64           `cbor:"1,keyasint"`
		Age       int64            `cbor:"2,keyasint"` // milliseconds
		Config    []byte           `cbor:"3,keyasint"`
		ConfigRev uint64           `cbor:"4,keyasint"`
		Upstreams []fleet.Upstream `cbor:"5,keyasint"`
		Entries   []fleet.Entry    `cbor:"6,keyasint"`
		Roster    []byte           `cbor:"7,keyasint"`
		// Delta has the upstreams and entries in place of the two lists if the
		// asker's state is known.
		Delta *fleet.Delta `cbor:"8,keyasint,omitempty"`
	}

	// have is what a daemon that asks another knows already.
	have struct {
		Hash    uint64 `cbor:"1,keyasint"` // of its state
		Version int64  `cbor:"2,keyasint"` // of its configuration
	}

	// asks keeps which daemons are being asked. The zero value is ready.
	asks struct {
		mu   sync.Mutex
		busy map[string]bool
	}

	// upstreamNames has the ids of upstreams by their short forms.
	upstreamNames struct {
		hash   uint64 // of the knowledge that they are from
		lapsed int    // how many of them the store did not list
		of     map[mesh.ID]string
	}
)

// told is what this daemon tells the others.
func (d *Daemon) told() mesh.Tick {
	v := d.fleet.View()
	return mesh.Tick{Load: short(d.picker.OwnInFlight()), Used: short(d.allow.Used(time.Now())), State: mesh.State{
		Node: d.Settings.Node, Peer: d.Settings.Peer, Callers: d.Settings.Callers,
		Leaving: !d.ready(), Unhealthy: d.reach.Down(time.Now()),
		Revision: v.Revision, Hash: v.Hash, Age: time.Since(v.Confirmed).Milliseconds(), AvailableFor: v.AvailableFor().Milliseconds(),
	}}
}

// short has short forms in place of names.
func short(counts map[string]int) map[mesh.ID]int {
	out := make(map[mesh.ID]int, len(counts))
	for name, n := range counts {
		out[mesh.IDOf(name)] = n
	}
	return out
}

// named has names in place of their short forms. What this daemon doesn't know yet is
// left out: it gets nothing from it either.
func named(counts map[mesh.ID]int, names map[mesh.ID]string) map[string]int {
	out := make(map[string]int, len(counts))
	for id, n := range counts {
		if name, known := names[id]; known {
			out[name] = n
		}
	}
	return out
}

// changed takes what all other daemons have under way and let in.
func (d *Daemon) changed(p mesh.Summary) {
	d.hearUse(p)
	d.picker.PeersUpdated(named(p.Load, d.upstreamNames().of), p.Fronts-1)
	d.entry.PeersUpdated()
}

// upstreamNames returns the ids of the upstreams that are known now.
func (d *Daemon) upstreamNames() *upstreamNames {
	v := d.fleet.View()
	if n := d.names.Load(); n != nil && n.hash == v.Hash && n.lapsed == len(v.Retained) {
		return n
	}
	n := &upstreamNames{hash: v.Hash, lapsed: len(v.Retained), of: make(map[mesh.ID]string, len(v.Upstreams))}
	for _, u := range v.All() {
		n.of[mesh.IDOf(u.ID)] = u.ID
	}
	d.names.Store(n)
	return n
}

// heard takes what another daemon tells of its knowledge. If it knows something
// newer, that is asked for. If it knows the same by a later reading, this one need
// not read: a store that does not change keeps its revision, and daemons that went
// by newer revisions only read 10 times a second in all where 2 are enough (eight
// daemons, a quiet day).
//
// Hundreds of daemons may tell of something newer at once. One or two are asked, so
// that a start of all doesn't fill memory and links with answers that say the same; if
// none answers, the next one heard is asked.
func (d *Daemon) heard(_ time.Time, s mesh.State) {
	if s.Revision == 0 {
		return // it has just started and knows nothing
	}
	v := d.fleet.View()
	age := time.Duration(s.Age) * time.Millisecond
	d.learn(fleet.PeerAvailability{Age: age, AvailableFor: time.Duration(s.AvailableFor) * time.Millisecond}, nil)
	if s.Revision < v.Revision || s.Revision == v.Revision && s.Hash != v.Hash {
		return
	}
	if s.Hash == v.Hash {
		d.learn(fleet.Confirmed{Revision: s.Revision, Age: age}, nil)
		return
	}
	if d.asks.begin(s.Node) {
		go d.askPeer(s)
	}
}

// begin is true if the daemon is to be asked now. End must be called then.
func (a *asks) begin(node string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.busy[node] || len(a.busy) >= asksMost {
		return false
	}
	if a.busy == nil {
		a.busy = map[string]bool{}
	}
	a.busy[node] = true
	return true
}

func (a *asks) end(node string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.busy, node)
}

func (d *Daemon) askPeer(e mesh.State) {
	ctx, stop := context.WithTimeout(d.entry.Stop, askTime)
	defer stop()
	var k known
	err := link.Ask(ctx, d.link.Peer(e.Peer), methodKnown, d.have(), &k)
	d.asks.end(e.Node)
	if err == nil {
		err = d.takeKnown(k, 0)
	}
	if err != nil && d.entry.Stop.Err() == nil {
		d.Log.Warn().Err(err).Str("peer", e.Node).Msg("newer knowledge not got from a daemon")
	}
}

// takeKnown learns what another daemon knew, some time ago.
func (d *Daemon) takeKnown(k known, ago time.Duration) error {
	t := fleet.PeerSnapshot{Age: time.Duration(k.Age)*time.Millisecond + ago}
	if k.Delta != nil {
		var ok bool
		if t.Snapshot, ok = d.fleet.View().Apply(*k.Delta); !ok {
			return nil // something else was learnt meanwhile; the next word tells
		}
	} else {
		t.Upstreams, t.Entries = k.Upstreams, k.Entries
	}
	t.Revision = k.Revision
	if len(k.Config) > 0 {
		var err error
		if t.Table, err = d.Source.Decode(k.Config, k.ConfigRev); err != nil {
			return err
		}
	}
	if len(k.Roster) > 0 {
		d.scout.Learn(k.Roster)
	}
	d.learn(t, nil)
	return nil
}

func (d *Daemon) have() have {
	v := d.fleet.View()
	h := have{Hash: v.Hash}
	if v.Table != nil {
		h.Version = v.Table.Version
	}
	return h
}

// tellKnown answers another daemon.
//
// It tells differences where it can: with a thousand upstreams the whole is 0.2 MB,
// and a hundred daemons that ask for it at every change fill the links.
func (d *Daemon) tellKnown(_ context.Context, h have) (k known, err error) {
	delta, ok := d.fleet.DeltaSince(h.Hash)
	v := d.fleet.View()
	k.Revision, k.Age = v.Revision, time.Since(v.Confirmed).Milliseconds()
	if ok && delta.Hash == v.Hash {
		k.Delta = &delta
	} else {
		k.Upstreams, k.Entries = v.Upstreams, v.Entries
	}
	if v.Table != nil && v.Table.Version != h.Version {
		k.Config, k.ConfigRev = v.Table.Text, v.Table.Revision
	}
	if r := d.scout.Roster(); r.Version > 0 {
		k.Roster, err = r.Encode()
	}
	return k, err
}
