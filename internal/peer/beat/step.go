package beat

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

	aloneAfter  = 5 * Interval
	pausedAfter = 3 * Interval
	forgetAfter = 30 * time.Minute // daemons that are down
	pushes      = 3                // daemons told at once of a change of one's own
)

type (
	// Beat is the membership as one daemon sees it. Seed makes its random
	// choices differ between deployments; daemons differ by their names.
	Beat struct {
		Seed uint64

		rng     *rand.Rand
		self    Member
		seeds   []string
		names   []string // sorted, without self
		records map[string]*record
		byPeer  map[string]string // names
		ring    []string          // who is probed next
		round   uint64
		probes  []probe
		helps   []help
		news    news
		rounds  int
		ticked  time.Time
		heard   time.Time
		reached time.Time // by anybody
		healed  time.Time // somebody down came back
		settled time.Time // last change of the configuration seen anywhere
		newest  uint64    // configuration told by Newer
		newerAt time.Time
	}

	// record is one other daemon: its own words and what others claim.
	record struct {
		words  Member
		claim  State // empty, Suspect or Down
		serial uint64
		since  time.Time // of the claim
	}
)

// Step takes one message and returns what to do about it.
func (b *Beat) Step(now time.Time, m Message) []Effect {
	var out effects
	switch m := m.(type) {
	case Self:
		b.takeSelf(now, m, &out)
	case Reached:
		b.reached = latest(b.reached, m.At)
	case Tick:
		b.tick(now, &out)
	case Packet:
		b.take(now, m, &out)
	}
	return out
}

// Members returns all known daemons, itself too, in the order of their names.
func (b *Beat) Members() []Member {
	all := make([]Member, 0, len(b.names)+1)
	b.each(func(m *Member, s State) {
		all = append(all, *m)
		all[len(all)-1].State = s
	})
	return all
}

// each visits all daemons in the order of their names, each with the state
// that holds.
func (b *Beat) each(visit func(m *Member, s State)) {
	if b.self.Name == "" {
		return
	}
	own, _ := slices.BinarySearch(b.names, b.self.Name)
	for i, name := range b.names {
		if i == own {
			visit(&b.self, b.self.State)
		}
		visit(&b.records[name].words, b.records[name].state())
	}
	if own == len(b.names) {
		visit(&b.self, b.self.State)
	}
}

// StoreAge returns the time since anybody is known to have reached the store;
// negative is never. A packet that was long under way makes it too small.
func (b *Beat) StoreAge(now time.Time) time.Duration {
	if b.reached.IsZero() {
		return -1
	}
	return max(0, now.Sub(b.reached))
}

// Alone reports whether no other daemon has been heard lately.
func (b *Beat) Alone(now time.Time) bool {
	return b.heard.IsZero() || now.Sub(b.heard) > aloneAfter
}

func (b *Beat) takeSelf(now time.Time, m Self, out *effects) {
	first := b.self.Name == ""
	b.seeds = m.Seeds
	if first {
		b.rng = rand.New(rand.NewPCG(b.Seed, xxhash.Sum64String(m.Member.Name)))
		b.records = map[string]*record{}
		b.byPeer = map[string]string{}
	}
	if m.Member.State == "" {
		m.Member.State = Alive
	}
	next := m.Member
	next.Incarnation = max(next.Incarnation, b.self.Incarnation)
	next.Config = max(next.Config, b.self.Config)
	next.Serial = b.self.Serial
	changed := !first && !same(next, b.self)
	if changed {
		next.Serial++
	}
	next.Serial = max(next.Serial, m.Member.Serial)
	newer := next.Config > b.self.Config
	b.self = next
	if changed || first {
		b.news.add(next.Name, lifeNews)
	}
	if newer && !first {
		b.settled = now
		b.news.add(next.Name, markNews)
	}
	if (changed || newer) && !first {
		b.push(now, out)
	}
}

// same compares what a Serial stands for.
func same(x, y Member) bool {
	return x.Name == y.Name && x.Address == y.Address && x.Peer == y.Peer &&
		x.FailureDomain == y.FailureDomain && x.Disk == y.Disk && x.State == y.State &&
		x.Incarnation == y.Incarnation && slices.Equal(x.Shards, y.Shards)
}

// push tells a few others at once instead of at the next round. With each that
// a new configuration reaches doing the same, it spreads within round trips.
func (b *Beat) push(now time.Time, out *effects) {
	for _, name := range b.choose(pushes, b.answering) {
		b.send(now, b.records[name].words.Peer, Packet{}, out)
	}
}

// choose returns up to n different daemons that ok accepts, at random.
func (b *Beat) choose(n int, ok func(*record) bool) []string {
	var all []string
	for _, name := range b.names {
		if ok(b.records[name]) {
			all = append(all, name)
		}
	}
	b.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

func (b *Beat) answering(r *record) bool { return r.state() != Down }

func (b *Beat) down(r *record) bool { return r.state() == Down }

// logarithm returns how many rounds news needs to reach the fleet, roughly.
func (b *Beat) logarithm() int {
	return bits.Len(uint(len(b.names) + 1))
}

func (r *record) state() State {
	if r.claim != "" {
		return r.claim
	}
	return r.words.State
}

func (r *record) member() Member {
	m := r.words
	m.State = r.state()
	return m
}

func latest(x, y time.Time) time.Time {
	if y.After(x) {
		return y
	}
	return x
}
