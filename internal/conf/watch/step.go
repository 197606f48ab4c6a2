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
		role    role
		jitter  *rand.Rand

		active      head.Head // in force
		next        head.Head // newest head known, its text not loaded yet
		unreadable  uint64    // version of a text that this daemon can't read
		highestSeen uint64    // highest version that anybody told of
		source      string    // the peer that next came from, empty if the store

		storeCallPending bool
		storeCallEnded   bool // one call has ended
		watchCall        bool // the call under way or the last one is a watch
		watchExpired     bool // the last watch ended without a change
		rev              store.Rev
		storeFails       int
		staleWatches     int // watches in a row that ended at once with nothing new
		nextStore        time.Time

		pendingQueries map[string]bool
		queriedPeers   map[string]bool // in this round
		answerCount    int             // in this round
		roundEnded     bool            // a round of questions has ended
		roundsEnded    int             // of questions that have ended
		nextRound      time.Time
		versionSeen    map[string]uint64 // what peers said that they know
		nextQuery      time.Time
		loading        bool
		loadFails      int
		nextLoad       time.Time
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
		w.noteVersion(m)
	case StoreHead:
		w.storeHead(now, m)
	case NoChange:
		w.storeDone(now)
		w.watchExpired, w.staleWatches = true, 0
	case StoreFailed:
		w.storeFailed(now)
	case PeerHead:
		w.peerHead(now, m)
	case PeerFailed:
		w.peerFailed(now, m)
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
func (w *Watch) Version() uint64 { return w.active.Version }

func (w *Watch) start(m Start) {
	w.self, w.seeds = m.Self, slices.Clone(m.Seeds)
	w.jitter = rand.New(rand.NewPCG(m.Seed, xxhash.Sum64String(m.Self.Name)))
	w.pendingQueries, w.queriedPeers, w.versionSeen = map[string]bool{}, map[string]bool{}, map[string]uint64{}
}

// setMembers calls the store soon where a daemon that watched it went and this
// one steps in.
func (w *Watch) setMembers(now time.Time, m Members) {
	before := w.role
	w.members = slices.Clone(m.List)
	w.role = roleOf(w.self, w.members)
	if w.jitter != nil && w.role < before {
		w.readSoon(now)
	}
}

func (w *Watch) readSoon(now time.Time) {
	soon := now.Add(w.addJitter(readSoonDelay))
	if soon.Before(w.nextStore) && w.storeFails == 0 {
		w.nextStore = soon
	}
}

func (w *Watch) noteVersion(m Newer) {
	w.highestSeen = max(w.highestSeen, m.Version)
	if m.From != "" && m.From != w.self.Peer && m.Version > w.newest() {
		w.versionSeen[m.From] = max(w.versionSeen[m.From], m.Version)
	}
}

// newest is the highest version whose head is known.
func (w *Watch) newest() uint64 { return max(w.active.Version, w.next.Version, w.unreadable) }

// consider takes a head that is newer than any known. An older one is a stale
// read, or a peer that is behind; taking it would turn a change back.
func (w *Watch) consider(now time.Time, h head.Head, source string) {
	if h.Version <= w.newest() {
		return
	}
	w.next, w.source = h, source
	w.loadFails, w.nextLoad = 0, now
	for peer, v := range w.versionSeen {
		if v <= h.Version {
			delete(w.versionSeen, peer)
		}
	}
}

func (w *Watch) storeDone(now time.Time) {
	w.storeCallPending, w.storeCallEnded, w.watchExpired = false, true, false
	w.storeFails = 0
	w.nextStore = now.Add(w.storeInterval())
}

func (w *Watch) storeHead(now time.Time, m StoreHead) {
	if w.watchCall && m.Rev <= w.rev {
		// A watch that answers with nothing new, because the head is gone or
		// the answer stale, would be asked again at once, and again.
		w.storeCallPending = false
		w.nextStore = now.Add(w.retryDelay(w.staleWatches))
		w.staleWatches++
		return
	}
	w.staleWatches = 0
	w.storeDone(now)
	w.rev = max(w.rev, m.Rev)
	w.consider(now, m.Head, "")
}

func (w *Watch) storeFailed(now time.Time) {
	w.storeCallPending, w.storeCallEnded = false, true
	w.nextStore = now.Add(w.retryDelay(w.storeFails))
	w.storeFails++
}

func (w *Watch) peerHead(now time.Time, m PeerHead) {
	delete(w.pendingQueries, m.Peer)
	w.answerCount++
	delete(w.versionSeen, m.Peer)
	w.consider(now, m.Head, m.Peer)
}

func (w *Watch) peerFailed(now time.Time, m PeerFailed) {
	delete(w.pendingQueries, m.Peer)
	delete(w.versionSeen, m.Peer)
	w.nextQuery = now.Add(w.addJitter(peerRetryDelay))
	if w.highestSeen > w.newest() {
		w.readSoon(now) // the peer may be gone with what it knew
	}
}

func (w *Watch) loaded(now time.Time, m Loaded) []Effect {
	if m.Head.Version <= w.active.Version {
		return w.advance(now)
	}
	w.active, w.loadFails = m.Head, 0
	if w.next.Version <= m.Head.Version {
		w.next = head.Head{}
	}
	return append([]Effect{Activate(m)}, w.advance(now)...)
}

func (w *Watch) loadFailed(now time.Time, m LoadFailed) {
	w.loading = false
	if m.Unreadable {
		w.unreadable = max(w.unreadable, m.Head.Version)
	}
	if w.next.Version <= w.unreadable {
		w.next = head.Head{}
	}
	if m.Unreadable || m.Head.Version != w.next.Version {
		return
	}
	w.nextLoad = now.Add(w.retryDelay(w.loadFails))
	w.loadFails++
}

// advance starts what is due.
func (w *Watch) advance(now time.Time) (effects []Effect) {
	if w.jitter == nil {
		return nil
	}
	effects = append(effects, w.callStore(now)...)
	effects = append(effects, w.queryPeers(now)...)
	return append(effects, w.load(now)...)
}

func (w *Watch) callStore(now time.Time) []Effect {
	if w.storeCallPending || now.Before(w.nextStore) {
		return nil
	}
	w.storeCallPending = true
	w.watchCall = w.role == watching && w.storeCallEnded && !w.watchExpired && w.storeFails == 0
	if !w.watchCall {
		return []Effect{ReadHead{}}
	}
	return []Effect{AwaitHead{Rev: w.rev, For: w.addJitter(WatchWait)}}
}

func (w *Watch) load(now time.Time) []Effect {
	if w.loading || w.next.Version <= w.active.Version || now.Before(w.nextLoad) || !w.mayActivate() {
		return nil
	}
	w.loading = true
	return []Effect{Load{Head: w.next, Peers: w.loadPeers(), StoreFirst: w.source == ""}}
}

// mayForce holds a first version back until the store was tried and peers were
// asked, so that a stale answer from one side is overruled by the other.
func (w *Watch) mayActivate() bool {
	return w.active.Version > 0 || w.storeCallEnded && w.roundEnded
}

// holders returns the peers to fetch the next text from: the one that has it
// in force, the one that applied it, then a few others.
func (w *Watch) loadPeers() (list []string) {
	for _, peer := range append([]string{w.source, w.next.Source}, firstOf(w.peers(), maxPeerQueries)...) {
		if peer != "" && peer != w.self.Peer && !slices.Contains(list, peer) {
			list = append(list, peer)
		}
	}
	return list
}

// backOff is the wait after so many failures, half of it left to chance, so
// that daemons which failed together do not come back together.
func (w *Watch) retryDelay(fails int) time.Duration {
	d := firstRetry << min(fails, 8)
	d = min(d, maxRetry)
	return d/2 + time.Duration(w.jitter.Int64N(int64(d/2)))
}

// spread moves a duration by up to a fifth either way.
func (w *Watch) addJitter(d time.Duration) time.Duration {
	return d - d/5 + time.Duration(w.jitter.Int64N(int64(cmp.Or(2*d/5, 1))))
}
