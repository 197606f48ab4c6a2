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
	// Watch decides when a daemon calls the store and its peers, and which version it
	// activates. Its zero value waits for Start.
	Watch struct {
		self    Member
		seeds   []string
		members []Member
		role    role
		jitter  *rand.Rand

		active      head.Head // the active version
		next        head.Head // newest known head, whose text is not loaded yet
		unreadable  uint64    // highest version whose text this daemon can't parse
		highestSeen uint64    // highest version announced by any peer
		source      string    // peer that next came from, empty if it came from the store

		storeCallPending bool
		storeCallEnded   bool // at least one call has ended
		watchCall        bool // the pending or last call is a watch
		watchExpired     bool // the last watch ended without a change
		rev              store.Rev
		storeFails       int
		staleWatches     int // consecutive watches that returned no newer revision
		nextStore        time.Time

		pendingQueries map[string]bool
		queriedPeers   map[string]bool // queried in this round
		answerCount    int             // queries answered in this round
		roundEnded     bool            // a round of queries has ended and no other has started
		roundsEnded    int             // rounds that have ended
		nextRound      time.Time
		versionSeen    map[string]uint64 // versions announced by peers, by address
		nextQuery      time.Time
		loading        bool
		loadFails      int
		nextLoad       time.Time
	}
)

// Step handles one message and returns the effects to carry out.
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

// Version returns the active version, 0 if there is none.
func (w *Watch) Version() uint64 { return w.active.Version }

func (w *Watch) start(m Start) {
	w.self, w.seeds = m.Self, slices.Clone(m.Seeds)
	w.jitter = rand.New(rand.NewPCG(m.Seed, xxhash.Sum64String(m.Self.Name)))
	w.pendingQueries, w.queriedPeers, w.versionSeen = map[string]bool{}, map[string]bool{}, map[string]uint64{}
}

// setMembers sets the live daemons and derives this daemon's role. If the new role makes more
// calls to the store, the next call is brought forward.
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

// newest returns the highest version whose head is known.
func (w *Watch) newest() uint64 { return max(w.active.Version, w.next.Version, w.unreadable) }

// noteHead records a head that is newer than any known. An older one is a stale read or comes
// from a peer that is behind; accepting it would revert a change.
func (w *Watch) noteHead(now time.Time, h head.Head, source string) {
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
		// A watch that returns no newer revision, because the head was deleted or the read is
		// stale, would otherwise be repeated at once in a loop.
		w.storeCallPending = false
		w.nextStore = now.Add(w.retryDelay(w.staleWatches))
		w.staleWatches++
		return
	}
	w.staleWatches = 0
	w.storeDone(now)
	w.rev = max(w.rev, m.Rev)
	w.noteHead(now, m.Head, "")
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
	w.noteHead(now, m.Head, m.Peer)
}

func (w *Watch) peerFailed(now time.Time, m PeerFailed) {
	delete(w.pendingQueries, m.Peer)
	delete(w.versionSeen, m.Peer)
	w.nextQuery = now.Add(w.addJitter(peerRetryDelay))
	if w.highestSeen > w.newest() {
		w.readSoon(now) // the peer that announced the version may be gone
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

// advance starts the calls that are due.
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

// mayActivate delays the first version until the store was tried and a round of peer queries
// has ended, so that a stale answer from one is overruled by the other.
func (w *Watch) mayActivate() bool {
	return w.active.Version > 0 || w.storeCallEnded && w.roundEnded
}

// loadPeers returns the peers to fetch the next text from: the one whose head it is, the one
// that applied it, then a few others.
func (w *Watch) loadPeers() (list []string) {
	for _, peer := range append([]string{w.source, w.next.Source}, firstOf(w.peers(), maxPeerQueries)...) {
		if peer != "" && peer != w.self.Peer && !slices.Contains(list, peer) {
			list = append(list, peer)
		}
	}
	return list
}

// retryDelay returns the exponential back-off after that many failures. Half of it is random,
// so that daemons which failed together do not retry together.
func (w *Watch) retryDelay(fails int) time.Duration {
	d := firstRetry << min(fails, 8)
	d = min(d, maxRetry)
	return d/2 + time.Duration(w.jitter.Int64N(int64(d/2)))
}

// addJitter changes a duration by up to a fifth in either direction.
func (w *Watch) addJitter(d time.Duration) time.Duration {
	return d - d/5 + time.Duration(w.jitter.Int64N(int64(cmp.Or(2*d/5, 1))))
}
