package frontd

import (
	"bytes"
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/mesh"
	"github.com/slaterock/slaterock/internal/node/discov"
)

// A front that starts has no state. In a small system it reads the whole store at once. If
// hundreds did so, after a loss of power, the answers would fill the store's link for half a
// minute. So each first reads which fronts there are, from a replica of the store that may be
// behind. If they are many, the hubs read the store one after the other, and all others get the
// state from the first hub that has it.

const (
	// hubDelay is how long after its start a hub waits for the state for each hub before it.
	// A hub reads the keys of 10,000 upstreams in about 0.4 s.
	hubDelay = 400 * time.Millisecond
	// maxStartDelay is how long a front waits for others at most before it reads by itself.
	maxStartDelay = 4 * time.Second
	// maxSilentStart is how long after its start a front that hears nobody waits for others.
	maxSilentStart = time.Second
	// firstReaders is how many fronts, the first in the order of reads, read all keys when the
	// store is back after an outage in which all of them started.
	firstReaders = 2
	// maxHubsListed is how many fronts HubsKey lists, more than are hubs in a fleet of a thousand,
	// and hubsInterval the shortest interval between two writes.
	maxHubsListed = 64
	hubsInterval  = 2 * time.Second
	// startSpread is the time over which fronts that know of no others spread their reads, and
	// startBias the exponent by which later times are more likely. The first of 8
	// fronts reads after 1.8 s, the first of 900 after 0.6 s, and half a second later a few
	// others. All know their own keys before they would write them again.
	startSpread = 2400 * time.Millisecond
	startBias   = 10.0
)

// starting is what a front knows before it has any state that was read from the store. The zero
// value is ready for use.
type starting struct {
	known     atomic.Bool                   // readFronts has succeeded
	fronts    atomic.Pointer[[]fleet.Entry] // the largest when this front started, if they are many
	first     atomic.Bool                   // no front was listed: the system starts for the first time
	hubWrites throttle                      // of HubsKey by this front

	mu        sync.Mutex
	storeBack time.Time // when the store was first seen to answer while the state was from a backup
}

// awaitsOthers reports whether the store has answered this front, and another one may read it
// for all.
func (s *starting) awaitsOthers() bool { return s.first.Load() || s.fronts.Load() != nil }

// noteStore records that the store answers, and reports whether it did not before.
func (s *starting) noteStore(now time.Time) (first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first = s.storeBack.IsZero()
	if first {
		s.storeBack = now
	}
	return first
}

// sinceStore returns for how long the store is known to answer, 0 if it is not.
func (s *starting) sinceStore(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storeBack.IsZero() {
		return 0
	}
	return now.Sub(s.storeBack)
}

// entries returns the fronts that are listed in the store: as of the view, or as of the start if
// there is no view yet.
func (d *Daemon) entries() []fleet.Entry {
	if v := d.fleet.View(); v.Revision > 0 {
		return v.Entries
	}
	if list := d.starting.fronts.Load(); list != nil {
		return *list
	}
	return nil
}

// readFronts reads which fronts there are, as far as this one needs to know before it has any
// state. If all of them can't send to each other directly, it joins the largest of them, which
// are in one short key: the list of hundreds, read by each of them, would fill the store's link.
func (d *Daemon) readFronts(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "read fronts") }()
	keys, _, err := d.Store.Scan(ctx, discov.HubsKey, true)
	if err != nil {
		return err
	}
	for _, e := range keys {
		hubs, err := discov.Hubs(e.Data)
		if err != nil {
			d.logUnusable(err)
			continue
		}
		if len(hubs) == 0 {
			break // there are few fronts
		}
		d.join(hubs)
		return nil
	}
	list, _, err := d.Store.Scan(ctx, discov.FrontPrefix, true)
	if err != nil {
		return err
	}
	fronts, err := discov.Fronts(list)
	if err != nil {
		d.logUnusable(err)
	}
	d.starting.first.Store(len(list) == 0)
	if len(fronts) > mesh.FullMeshMax {
		d.join(fronts)
		return nil
	}
	d.starting.known.Store(true)
	return nil
}

// join sends to other fronts from now on.
func (d *Daemon) join(fronts []fleet.Entry) {
	d.starting.fronts.Store(&fronts)
	d.starting.known.Store(true)
	d.meshio.Broadcast()
	d.Log.Info().Int("fronts", len(fronts)).Msg("state awaited from other fronts")
}

// publishHubs writes the largest fronts to the store if there are many fronts and the key, as
// this front knows it, has others. Once there are few it empties the key: a front that starts
// would join fronts that are gone.
func (d *Daemon) publishHubs(ctx context.Context, now time.Time) {
	known, hubs := d.discov.State().Hubs, []fleet.Entry(nil)
	switch entries := d.fleet.View().Entries; {
	case len(entries) > mesh.FullMeshMax:
		hubs = largest(entries, maxHubsListed)
	case known == nil:
		return
	}
	data := discov.HubsValue(hubs)
	if bytes.Equal(known, data) || !d.starting.hubWrites.due(now, hubsInterval) {
		return
	}
	if _, err := d.Store.Set(ctx, discov.HubsKey, data, 0); err != nil && ctx.Err() == nil {
		d.Log.Warn().Err(err).Str("dependency", "store").Msg("list of hubs not written")
	}
}

// awaitsState reports whether this front, which has no state yet, goes on waiting for that of
// others. One that hears nobody maxSilentStart and its jitter after its start does not; if the
// system starts for the first time, all wait for their jitter alone.
func (d *Daemon) awaitsState(uptime, spread, jitter time.Duration, now time.Time) bool {
	if d.starting.first.Load() {
		return uptime < jitter
	}
	if uptime > maxSilentStart+jitter && d.meshio.Summary(now).Fronts <= 1 {
		return false
	}
	return uptime < d.startDelay(spread)
}

// awaitsReader reports whether this front, whose state is from a backup and whose store answers,
// goes on waiting for others to read it. After an outage in which a fleet restarted, all fronts
// have such a state.
func (d *Daemon) awaitsReader(turn readTurn, now time.Time) bool {
	since := d.starting.sinceStore(now)
	return since > 0 && since < maxStartDelay && turn.rank >= firstReaders && !turn.alone
}

// startDelay returns how long after its start this front waits for the state of others, 0 if
// there are few others.
func (d *Daemon) startDelay(spread time.Duration) time.Duration {
	if d.starting.fronts.Load() == nil {
		return 0
	}
	place, isHub := d.meshio.HubPlace()
	if !isHub {
		return maxStartDelay + spread
	}
	return min(time.Duration(place)*hubDelay, maxStartDelay+spread)
}

// startJitter returns a random part of startSpread. Later times are more likely, so that few
// fronts read before the first of them can tell the others, however many there are.
func startJitter() time.Duration {
	part := math.Log1p(rand.Float64()*math.Expm1(startBias)) / startBias
	return time.Duration(part * float64(startSpread))
}
