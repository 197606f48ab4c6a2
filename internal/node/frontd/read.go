package frontd

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/slaterock/slaterock/internal/conf/route"
	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/rumor"
	"github.com/slaterock/slaterock/internal/peer/link"
	"github.com/slaterock/slaterock/internal/plat/store"
)

const (
	// readEvery is the age at which knowledge is read anew, by one daemon for
	// all. A leaving upstream may get requests for two seconds, which must
	// hold the age, the call and two exchanges between daemons. Each call a
	// second costs as much as 0.1 VMs.
	readEvery = 500 * time.Millisecond
	// readRank is added for each daemon that comes before this one, so that the
	// next one reads only if the first did not.
	readRank = 130 * time.Millisecond
	readLook = 40 * time.Millisecond
	// backOff bounds the pause after failed reads; others may reach the store.
	backOffLeast = 300 * time.Millisecond
	backOffMost  = 1500 * time.Millisecond
	// oldAge is the age from which a request without a route has everything
	// read anew before its caller is told that there is none. An added route
	// must be served within two seconds.
	oldAge = time.Second
	// freshPause is the shortest pause between reads that requests ask for.
	freshPause = 250 * time.Millisecond
	// askTime bounds what is asked of another daemon.
	askTime = 700 * time.Millisecond

	methodKnown = "fleet.known"
)

type (
	// Source reads what the operator and the upstreams write.
	Source interface {
		// Read also returns keys that are the system's own, and an error for
		// each entry that can't be used.
		Read(ctx context.Context) (fleet.Reading, []store.Entry, []error, error)
		// Decode reads a configuration that another daemon has passed on.
		Decode(text []byte, revision uint64) (*route.Table, error)
	}

	// reads is what is kept between reads.
	reads struct {
		mu    sync.Mutex
		asked time.Time // last read for a request's sake
		bad   map[string]bool
		busy  map[string]bool // daemons that are being asked
	}

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
)

// read keeps knowledge new until ctx ends.
func (d *Daemon) read(ctx context.Context) {
	wait := time.Duration(0)
	for {
		if time.Since(d.fleet.View().Confirmed) < readEvery+time.Duration(d.rank())*readRank {
			wait = 0
		} else if err := d.readStore(ctx); err != nil {
			wait = min(max(2*wait, backOffLeast), backOffMost)
		} else {
			wait = 0
		}
		if !pause(ctx, readLook+wait/2+rand.N(wait/2+1)) {
			return
		}
	}
}

// rank is how many live daemons come before this one.
func (d *Daemon) rank() int {
	n := 0
	for _, w := range d.rumor.Live(time.Now()) {
		if w.Node < d.Settings.Node {
			n++
		}
	}
	return n
}

func (d *Daemon) readStore(ctx context.Context) error {
	n, others, bad, err := d.Source.Read(ctx)
	if err != nil {
		d.learn(fleet.Outage{}, err)
		return err
	}
	for _, e := range bad {
		d.tellBad(e)
	}
	if err = d.scout.Take(others, store.Rev(n.Revision)); err != nil {
		d.tellBad(err)
	}
	n.Entries = d.scout.State().Entries
	d.learn(n, nil)
	d.rumor.Tell() // at once, so that the next in rank need not read
	d.keep(ctx)
	return nil
}

// tellBad logs an entry that can't be used, once for each fault.
func (d *Daemon) tellBad(err error) {
	d.reads.mu.Lock()
	defer d.reads.mu.Unlock()
	if d.reads.bad == nil || len(d.reads.bad) > 1000 {
		d.reads.bad = map[string]bool{}
	}
	if text := err.Error(); !d.reads.bad[text] {
		d.reads.bad[text] = true
		d.Log.Warn().Err(err).Msg("entry can't be used")
	}
}

// refreshConfig reads everything for a request without a route, if what is known
// is old and that was not tried a moment ago.
func (d *Daemon) refreshConfig(ctx context.Context) {
	if time.Since(d.fleet.View().Confirmed) < oldAge {
		return
	}
	d.reads.mu.Lock()
	soon := time.Since(d.reads.asked) < freshPause
	if !soon {
		d.reads.asked = time.Now()
	}
	d.reads.mu.Unlock()
	if !soon {
		_ = d.readStore(ctx) // the request goes on with what is known
	}
}

// word is what this daemon says to the others.
func (d *Daemon) word() rumor.Word {
	v := d.fleet.View()
	return rumor.Word{
		Node: d.Settings.Node, Load: d.picker.Own(), Leaving: !d.ready(),
		Revision: v.Revision, Hash: v.Hash, Age: time.Since(v.Confirmed).Milliseconds(),
		Peer: d.Settings.Peer, Callers: d.Settings.Callers, Unwell: d.pulse.Down(time.Now()),
	}
}

// heard takes what another daemon says. If it knows something newer, that is
// asked for. If it knows the same by a later reading, this one need not read: a
// store that does not change keeps its revision, and daemons that went by newer
// revisions only read 10 times a second in all where 2 are enough (eight daemons,
// a quiet day).
func (d *Daemon) heard(now time.Time, w rumor.Word) {
	d.picker.Heard(now, w.Node, w.Load)
	v := d.fleet.View()
	if w.Revision < v.Revision || w.Revision == v.Revision && w.Hash != v.Hash {
		return
	}
	if w.Hash == v.Hash {
		d.learn(fleet.Confirmed{Revision: w.Revision, Age: time.Duration(w.Age) * time.Millisecond}, nil)
		return
	}
	d.reads.mu.Lock()
	defer d.reads.mu.Unlock()
	if d.reads.busy == nil {
		d.reads.busy = map[string]bool{}
	}
	if d.reads.busy[w.Node] {
		return
	}
	d.reads.busy[w.Node] = true
	go d.askPeer(w)
}

func (d *Daemon) askPeer(e rumor.Word) {
	ctx, stop := context.WithTimeout(d.entry.Stop, askTime)
	defer stop()
	var raw link.Raw
	ask, err := cbor.Marshal(d.have())
	if err == nil {
		err = d.link.Peer(e.Peer).Invoke(ctx, methodKnown, link.Raw(ask), &raw)
	}
	d.reads.mu.Lock()
	delete(d.reads.busy, e.Node)
	d.reads.mu.Unlock()
	if err == nil {
		err = d.takeKnown(raw, 0)
	}
	if err != nil && d.entry.Stop.Err() == nil {
		d.Log.Warn().Err(err).Str("peer", e.Node).Msg("newer knowledge not got from a daemon")
	}
}

// takeKnown learns what another daemon knew, some time ago.
func (d *Daemon) takeKnown(raw []byte, ago time.Duration) error {
	var k known
	if err := cbor.Unmarshal(raw, &k); err != nil {
		return errors.Wrap(err, "decode")
	}
	t := fleet.Told{Age: time.Duration(k.Age)*time.Millisecond + ago}
	if k.Delta != nil {
		var ok bool
		if t.Reading, ok = d.fleet.View().Apply(*k.Delta); !ok {
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

// tellKnown answers another daemon.
//
// It tells differences where it can: with a thousand upstreams the whole is 0.2 MB,
// and a hundred daemons that ask for it at every change fill the links.
func (d *Daemon) tellKnown(_ context.Context, params json.RawMessage) (any, error) {
	var h have
	if err := cbor.Unmarshal(params, &h); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	data, err := d.encodeKnown(h)
	return link.Raw(data), err
}

func (d *Daemon) have() have {
	v := d.fleet.View()
	h := have{Hash: v.Hash}
	if v.Table != nil {
		h.Version = v.Table.Version
	}
	return h
}

func (d *Daemon) encodeKnown(h have) ([]byte, error) {
	delta, ok := d.fleet.Since(h.Hash)
	v := d.fleet.View()
	k := known{Revision: v.Revision, Age: time.Since(v.Confirmed).Milliseconds()}
	if ok && delta.Hash == v.Hash {
		k.Delta = &delta
	} else {
		k.Upstreams, k.Entries = v.Upstreams, v.Entries
	}
	if v.Table != nil && v.Table.Version != h.Version {
		k.Config, k.ConfigRev = v.Table.Text, v.Table.Revision
	}
	if r := d.scout.Roster(); r.Version > 0 {
		var err error
		if k.Roster, err = r.Encode(); err != nil {
			return nil, err
		}
	}
	return cbor.Marshal(k)
}

// learn takes news and logs what changed.
func (d *Daemon) learn(n fleet.News, cause error) {
	for _, c := range d.fleet.Take(time.Now(), n) {
		line := d.Log.Info()
		switch c.What {
		case "outage":
			line = d.Log.Warn().Err(cause).Str("dependency", "store")
		case "regained":
			line = line.Str("dependency", "store")
		case "config":
			t := d.fleet.View().Table
			line = line.Int64("version", t.Version).Uint64("config_revision", t.Revision).Int("routes", t.Len())
		default:
			line = line.Str("upstream", c.ID).Str("from", c.From).Str("to", c.To)
		}
		line.Str("by", source(n)).Uint64("revision", d.fleet.View().Revision).Msg("learnt: " + c.What)
	}
}

func source(n fleet.News) string {
	switch n.(type) {
	case fleet.Reading:
		return "store"
	case fleet.Told, fleet.Confirmed:
		return "peer"
	default:
		return ""
	}
}

// silent drops the HTTP server's own log lines: a caller that breaks off is no
// event of the daemon's.
func silent() *log.Logger { return log.New(io.Discard, "", 0) }
