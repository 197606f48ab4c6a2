package swim

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Interval is the time between two Ticks.
	Interval = time.Second

	aloneAfter      = 5 * Interval
	pausedAfter     = 3 * Interval // time between two Ticks that counts as a pause of this process
	removeDownAfter = 30 * time.Minute
	pushFanout      = 3 // daemons that an own change is sent to at once
)

type (
	// Membership is one daemon's view of all daemons. RandomSeed and the daemon's
	// name seed the generator of its random choices.
	Membership struct {
		RandomSeed uint64

		rng            *rand.Rand
		self           Member
		seeds          []string // peer addresses
		names          []string // sorted, without self
		records        map[string]*record
		byPeer         map[string]string // names by peer address
		toProbe        []string          // names, in order
		round          uint64            // number of the last request sent
		probes         []probe
		indirect       []indirectProbe
		updates        updates
		ticks          int
		lastTick       time.Time
		lastReceived   time.Time
		storeReached   time.Time            // by any daemon
		lastCall       StoreCall            // the call at storeReached; zero if an earlier release reported it
		storeCalls     map[string]StoreCall // the newest that is known of each daemon, by its name
		rejoined       time.Time            // last newer entry of a daemon under a Down claim, or first packet after Alone
		configChanged  time.Time            // last change of configuration seen in any entry
		newestConfig   uint64               // highest version reported by Newer
		newestReported time.Time            // last Newer
	}

	// record is one other daemon: its own entry and what others claim.
	record struct {
		reported    Member
		claim       State // empty, Suspect or Down
		claimSerial uint64
		since       time.Time // of the claim, or of its own report of Down
	}
)

// Step handles one message and returns the effects to carry out, in order.
func (ms *Membership) Step(now time.Time, m Message) []Effect {
	var out effects
	switch m := m.(type) {
	case Self:
		ms.setSelf(now, m, &out)
	case Reached:
		ms.noteOwnCall(m.At)
	case Tick:
		ms.tick(now, &out)
	case Packet:
		ms.handlePacket(now, m, &out)
	}
	return out
}

// Members returns all known daemons including this one, sorted by name.
func (ms *Membership) Members() []Member {
	all := make([]Member, 0, len(ms.names)+1)
	ms.each(func(m *Member, s State) {
		all = append(all, *m)
		all[len(all)-1].State = s
	})
	return all
}

// each visits all daemons sorted by name, each with its effective state:
// claims included.
func (ms *Membership) each(visit func(m *Member, s State)) {
	if ms.self.Name == "" {
		return
	}
	own, _ := slices.BinarySearch(ms.names, ms.self.Name)
	for i, name := range ms.names {
		if i == own {
			visit(&ms.self, ms.self.State)
		}
		visit(&ms.records[name].reported, ms.records[name].state())
	}
	if own == len(ms.names) {
		visit(&ms.self, ms.self.State)
	}
}

// StoreAge returns the time since the last successful call of any daemon to the
// store that is known here, -1 if none is. It does not include the transit times of
// the packets that first reported the call, so a delayed packet makes it too small.
func (ms *Membership) StoreAge(now time.Time) time.Duration {
	if ms.storeReached.IsZero() {
		return -1
	}
	return max(0, now.Sub(ms.storeReached))
}

// Alone reports whether no packet came from any other daemon within the last
// five intervals.
func (ms *Membership) Alone(now time.Time) bool {
	return ms.lastReceived.IsZero() || now.Sub(ms.lastReceived) > aloneAfter
}

func (ms *Membership) setSelf(now time.Time, m Self, out *effects) {
	first := ms.self.Name == ""
	ms.seeds = m.Seeds
	if first {
		ms.rng = rand.New(rand.NewPCG(ms.RandomSeed, xxhash.Sum64String(m.Member.Name)))
		ms.records = map[string]*record{}
		ms.byPeer = map[string]string{}
	}
	if m.Member.State == "" {
		m.Member.State = Alive
	}
	next := m.Member
	next.Incarnation = max(next.Incarnation, ms.self.Incarnation)
	next.Config = max(next.Config, ms.self.Config)
	next.Serial = ms.self.Serial
	changed := !first && !equalBySerial(next, ms.self)
	if changed {
		next.Serial++
	}
	next.Serial = max(next.Serial, m.Member.Serial)
	newer := next.Config > ms.self.Config
	ms.self = next
	if changed || first {
		ms.updates.add(next.Name, memberUpdate)
	}
	if newer && !first {
		ms.configChanged = now
		ms.updates.add(next.Name, configUpdate)
	}
	if (changed || newer) && !first {
		ms.pushNow(now, out)
	}
}

// equalBySerial compares the fields whose changes raise the Serial.
func equalBySerial(x, y Member) bool {
	return x.Name == y.Name && x.Address == y.Address && x.Peer == y.Peer &&
		x.FailureDomain == y.FailureDomain && x.Disk == y.Disk && x.State == y.State &&
		x.Incarnation == y.Incarnation && slices.Equal(x.Shards, y.Shards)
}

// pushNow sends the queued updates to a few random daemons at once instead of at
// the next tick. Each daemon does so when it applies a new configuration, so that
// a configuration version spreads within a few round trips.
func (ms *Membership) pushNow(now time.Time, out *effects) {
	for _, name := range ms.sample(pushFanout, ms.notDown) {
		ms.send(now, ms.records[name].reported.Peer, Packet{}, out)
	}
}

// sample returns the names of up to n different random daemons that accept
// admits.
func (ms *Membership) sample(n int, accept func(*record) bool) []string {
	var all []string
	for _, name := range ms.names {
		if accept(ms.records[name]) {
			all = append(all, name)
		}
	}
	ms.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

func (ms *Membership) notDown(r *record) bool { return r.state() != Down }

func (ms *Membership) isDown(r *record) bool { return r.state() == Down }

// spreadTicks estimates the ticks that an update needs to reach all daemons:
// the binary logarithm of their number.
func (ms *Membership) spreadTicks() int {
	return bits.Len(uint(len(ms.names) + 1))
}

func (r *record) state() State {
	if r.claim != "" {
		return r.claim
	}
	return r.reported.State
}

func (r *record) member() Member {
	m := r.reported
	m.State = r.state()
	return m
}
