// Package watch keeps a daemon on the newest accepted configuration.
//
// Watch is a state machine: Step takes the time and one message and returns the effects to
// carry out. The active version only increases. New versions are learned in three ways: a few
// daemons follow the store closely, by a long watch or by polling; peers announce the version
// they know in their heartbeats; and every daemon reads the head every few minutes in case both
// failed. A text is fetched from the store or from any peer that has it and accepted only if it
// matches its head's digest, so an accepted version spreads even while the store is down.
//
// A daemon that starts queries a few peers as well as the store before it activates a first
// version: a single answer could be stale, and the daemon would return to a version before the
// one it ran earlier. Until then it does not serve callers.
//
// Syncer runs a Watch.
package watch

import (
	"time"

	"github.com/slaterock/slaterock/internal/conf/head"
	"github.com/slaterock/slaterock/internal/plat/store"
)

const (
	// Pollers is the number of daemons that read the head every PollEvery. A watch on a dead
	// connection looks like one without changes, and the cause may affect all watches at once;
	// a read without a response is detected within its timeout.
	Pollers = 2
	// Watchers is the number of further daemons that hold a watch on the store: enough that one
	// is left when a failure domain fails while others are being replaced, and few enough that
	// their calls stay a small share of the store's rate limit.
	Watchers = 6

	// PollEvery is the interval between two reads of a poller.
	PollEvery = 1500 * time.Millisecond

	// WatchWait is the longest duration of one watch. A watch that expires without a change is
	// followed by a read.
	WatchWait = 30 * time.Second
	// ReadEvery is the interval between two reads of all other daemons.
	ReadEvery = 5 * time.Minute

	firstRetry       = 250 * time.Millisecond
	maxRetry         = 15 * time.Second
	maxPeerQueries   = 3               // concurrent queries to peers; a round also ends after this many answers
	maxPeersPerRound = 6               // peers queried in one round at the start
	maxRoundWait     = 5 * time.Second // between two rounds that found no version
	peerRetryDelay   = 500 * time.Millisecond
	readSoonDelay    = time.Second
	minStoreInterval = 200 * time.Millisecond // between calls to the store
)

type (
	// Member is a live daemon. Peer is its address for other daemons.
	Member struct {
		Name string
		Peer string
	}

	// Message is an input of Watch.
	Message interface{ message() }

	// Start identifies this daemon and the peers to query first. Seed seeds the jitter and
	// should differ between daemons.
	Start struct {
		Self  Member
		Seeds []string
		Seed  uint64
	}

	// Members lists the live daemons, with or without this one.
	Members struct{ List []Member }

	// Newer reports that the peer at the address From knows a version.
	Newer struct {
		Version uint64
		From    string
	}

	// StoreHead is the value of the head's key; the zero Head means that the key does not
	// exist.
	StoreHead struct {
		Head head.Head
		Rev  store.Rev
	}

	// NoChange reports that a watch ended without a change.
	NoChange struct{}

	// StoreFailed reports that a call to the store failed or returned a head that can't be
	// decoded.
	StoreFailed struct{}

	// PeerHead is a peer's active head; the zero Head means that it has none.
	PeerHead struct {
		Peer string
		Head head.Head
	}

	// PeerFailed reports that a peer did not answer.
	PeerFailed struct{ Peer string }

	// Adopt reports a head that this daemon wrote itself and whose text it has.
	Adopt struct{ Head head.Head }

	// Loaded reports that the head's text was fetched and verified.
	Loaded struct{ Head head.Head }

	// LoadFailed reports that the text could not be loaded. Unreadable marks a text that
	// matches its digest and that this daemon can't parse.
	LoadFailed struct {
		Head       head.Head
		Unreadable bool
	}

	// Tick advances the time; send one about every 100 ms.
	Tick struct{}

	// Effect is an action that Watch requests.
	Effect interface{ effect() }

	// AwaitHead waits at the store until the head's revision is above Rev, for at most For.
	// Answered by StoreHead, NoChange or StoreFailed.
	AwaitHead struct {
		Rev store.Rev
		For time.Duration
	}

	// ReadHead reads the head from the store. Answered by StoreHead or StoreFailed.
	ReadHead struct{}

	// QueryPeer queries a peer for its active head. Answered by PeerHead or PeerFailed.
	QueryPeer struct{ Peer string }

	// Load fetches a head's text from the peers in order, and from the store before or after
	// them. Answered by Loaded or LoadFailed.
	Load struct {
		Head       head.Head
		Peers      []string
		StoreFirst bool
	}

	// Activate makes a loaded head the active one.
	Activate struct{ Head head.Head }
)

func (Start) message()       {}
func (Members) message()     {}
func (Newer) message()       {}
func (StoreHead) message()   {}
func (NoChange) message()    {}
func (StoreFailed) message() {}
func (PeerHead) message()    {}
func (PeerFailed) message()  {}
func (Adopt) message()       {}
func (Loaded) message()      {}
func (LoadFailed) message()  {}
func (Tick) message()        {}

func (AwaitHead) effect() {}
func (ReadHead) effect()  {}
func (QueryPeer) effect() {}
func (Load) effect()      {}
func (Activate) effect()  {}
