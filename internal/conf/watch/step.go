package watch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/slaterock/slaterock/internal/conf/head"
	"github.com/slaterock/slaterock/internal/plat/store"
)

type (
	// Watch decides what one daemon asks whom, and what comes in force. Its
	// zero value waits for Start.
	Watch struct {
		self    Member
		seeds   []string
		members []Member
		duty    duty
		jitter  *rand.Rand

		force  head.Head // in force
		next   head.Head // newest head known, its text not loaded yet
		unfit  uint64    // version of a text that this daemon can't read
		wanted uint64    // highest version that anybody told of
		holder string    // the peer that next came from, empty if the store

		storeBusy  bool
		storeTried bool // one call has ended
		waiting    bool // the call under way or the last one is a watch
		quiet      bool // the last watch ended without a change
		rev        store.Rev
		storeFails int
		useless    int // watches in a row that ended at once with nothing new
		nextStore  time.Time

		asking    map[string]bool
		asked     map[string]bool // in this round
		answers   int             // in this round
		round     bool            // a round of questions has ended
		rounds    int             // of questions that have ended
		nextRound time.Time
		told      map[string]uint64 // what peers said that they know
		nextAsk   time.Time
		loading   bool
		loadFail  int
		nextLoad  time.Time
	}
)

// Step reacts to one message.
func (w *Watch) Step(now time.Time, m Message) []Effect {
	switch m := m.(type) {
	case Start:
		w.start(m)
	case Members:
		w.setMembers(now, m)
	case Newer:
		w.newer(m)
	case StoreHead:
		w.storeHead(now, m)
	case StoreQuiet:
		w.storeDone(now)
		w.quiet, w.useless = true, 0
	case StoreFailed:
		w.storeFailed(now)
	case Answered:
		w.answered(now, m)
	case AskFailed:
		w.askFailed(now, m)
	case Adopt:
		return w.loaded(now, Loaded(m))
	case Loaded:
		w.loading = false
		return w.loaded(now, m)
	case LoadFailed:
		w.loadFailed(now, m)
	case Tick:
	}
	return w.advance(now)
}

// Version returns the version in force, 0 if none is.
func (w *Watch) Version() uint64 { return w.force.Version }

func (w *Watch) start(m Start) {
	w.self, w.seeds = m.Self, slices.Clone(m.Seeds)
	w.jitter = rand.New(rand.NewPCG(m.Seed, xxhash.Sum64String(m.Self.Name)))
	w.asking, w.asked, w.told = map[string]bool{}, map[string]bool{}, map[string]uint64{}
}

// setMembers calls the store soon where a daemon that watched it went and this
// one steps in.
func (w *Watch) setMembers(now time.Time, m Members) {
	before := w.duty
	w.members = slices.Clone(m.List)
	w.duty = dutyOf(w.self, w.members)
	if w.jitter != nil && w.duty < before {
		w.readSoon(now)
	}
}

func (w *Watch) readSoon(now time.Time) {
	soon := now.Add(w.spread(soonRead))
	if soon.Before(w.nextStore) && w.storeFails == 0 {
		w.nextStore = soon
	}
}

func (w *Watch) newer(m Newer) {
	w.wanted = max(w.wanted, m.Version)
	if m.From != "" && m.From != w.self.Peer && m.Version > w.newest() {
		w.told[m.From] = max(w.told[m.From], m.Version)
	}
}

// newest is the highest version whose head is known.
func (w *Watch) newest() uint64 { return max(w.force.Version, w.next.Version, w.unfit) }

// consider takes a head that is newer than any known. An older one is a stale
// read, or a peer that is behind; taking it would turn a change back.
func (w *Watch) consider(now time.Time, h head.Head, holder string) {
	if h.Version <= w.newest() {
		return
	}
	w.next, w.holder = h, holder
	w.loadFail, w.nextLoad = 0, now
	for peer, v := range w.told {
		if v <= h.Version {
			delete(w.told, peer)
		}
	}
}

func (w *Watch) storeDone(now time.Time) {
	w.storeBusy, w.storeTried, w.quiet = false, true, false
	w.storeFails = 0
	w.nextStore = now.Add(w.gap())
}

func (w *Watch) storeHead(now time.Time, m StoreHead) {
	if w.waiting && m.Rev <= w.rev {
		// A watch that answers with nothing new, because the head is gone or
		// the answer stale, would be asked again at once, and again.
		w.storeBusy = false
		w.nextStore = now.Add(w.backOff(w.useless))
		w.useless++
		return
	}
	w.useless = 0
	w.storeDone(now)
	w.rev = max(w.rev, m.Rev)
	w.consider(now, m.Head, "")
}

func (w *Watch) storeFailed(now time.Time) {
	w.storeBusy, w.storeTried = false, true
	w.nextStore = now.Add(w.backOff(w.storeFails))
	w.storeFails++
}

func (w *Watch) answered(now time.Time, m Answered) {
	delete(w.asking, m.Peer)
	w.answers++
	delete(w.told, m.Peer)
	w.consider(now, m.Head, m.Peer)
}

func (w *Watch) askFailed(now time.Time, m AskFailed) {
	delete(w.asking, m.Peer)
	delete(w.told, m.Peer)
	w.nextAsk = now.Add(w.spread(askRetry))
	if w.wanted > w.newest() {
		w.readSoon(now) // the peer may be gone with what it knew
	}
}

func (w *Watch) loaded(now time.Time, m Loaded) []Effect {
	if m.Head.Version <= w.force.Version {
		return w.advance(now)
	}
	w.force, w.loadFail = m.Head, 0
	if w.next.Version <= m.Head.Version {
		w.next = head.Head{}
	}
	return append([]Effect{Force(m)}, w.advance(now)...)
}

func (w *Watch) loadFailed(now time.Time, m LoadFailed) {
	w.loading = false
	if m.Unfit {
		w.unfit = max(w.unfit, m.Head.Version)
	}
	if w.next.Version <= w.unfit {
		w.next = head.Head{}
	}
	if m.Unfit || m.Head.Version != w.next.Version {
		return
	}
	w.nextLoad = now.Add(w.backOff(w.loadFail))
	w.loadFail++
}

// advance starts what is due.
func (w *Watch) advance(now time.Time) (effects []Effect) {
	if w.jitter == nil {
		return nil
	}
	effects = append(effects, w.askStore(now)...)
	effects = append(effects, w.askPeers(now)...)
	return append(effects, w.load(now)...)
}

func (w *Watch) askStore(now time.Time) []Effect {
	if w.storeBusy || now.Before(w.nextStore) {
		return nil
	}
	w.storeBusy = true
	w.waiting = w.duty == watching && w.storeTried && !w.quiet && w.storeFails == 0
	if !w.waiting {
		return []Effect{Read{}}
	}
	return []Effect{Wait{Rev: w.rev, For: w.spread(WatchWait)}}
}

func (w *Watch) load(now time.Time) []Effect {
	if w.loading || w.next.Version <= w.force.Version || now.Before(w.nextLoad) || !w.mayForce() {
		return nil
	}
	w.loading = true
	return []Effect{Load{Head: w.next, Peers: w.holders(), StoreFirst: w.holder == ""}}
}

// mayForce holds a first version back until the store was tried and peers were
// asked, so that a stale answer from one side is overruled by the other.
func (w *Watch) mayForce() bool {
	return w.force.Version > 0 || w.storeTried && w.round
}

// holders returns the peers to fetch the next text from: the one that has it
// in force, the one that applied it, then a few others.
func (w *Watch) holders() (list []string) {
	for _, peer := range append([]string{w.holder, w.next.Source}, firstOf(w.peers(), maxAsk)...) {
		if peer != "" && peer != w.self.Peer && !slices.Contains(list, peer) {
			list = append(list, peer)
		}
	}
	return list
}

// backOff is the wait after so many failures, half of it left to chance, so
// that daemons which failed together do not come back together.
func (w *Watch) backOff(fails int) time.Duration {
	d := firstRetry << min(fails, 8)
	d = min(d, maxRetry)
	return d/2 + time.Duration(w.jitter.Int64N(int64(d/2)))
}

// spread moves a duration by up to a fifth either way.
func (w *Watch) spread(d time.Duration) time.Duration {
	return d - d/5 + time.Duration(w.jitter.Int64N(int64(cmp.Or(2*d/5, 1))))
}
