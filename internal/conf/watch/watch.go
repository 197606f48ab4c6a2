// Package watch keeps the newest configuration in force at one daemon.
//
// Watch is a state machine: Step takes the time and one message and returns
// the effects to carry out. Versions only rise. News comes from three sides: a
// few daemons follow the store closely, by a long watch or by polling; peers
// tell with their heartbeats which version they know; and every daemon reads
// the head now and then in case both were silent. A text is fetched from the store or from any peer
// that has it and counts only if it matches its head's digest, so that what
// was accepted spreads while the store is down.
//
// A daemon that starts asks a few peers as well as the store before it puts a
// first version in force: one answer could be stale, and the daemon would go
// back behind what it ran before. Until then it serves nobody.
//
// Keeper runs a Watch.
package watch

import (
	"time"

	"github.com/slaterock/slaterock/internal/conf/head"
	"github.com/slaterock/slaterock/internal/plat/store"
)

const (
	// Pollers is how many daemons read the head every PollEvery. A watch
	// whose connection went silent looks like a quiet one, and what makes one
	// silent may hit all of them at once; a read that gets no answer is found
	// out within its timeout.
	Pollers = 2
	// Watchers is how many daemons hold a watch on the store beside them:
	// enough that one is left when a failure domain goes and others are
	// replaced, and few enough that their calls stay a small share of the
	// store's.
	Watchers = 6

	// PollEvery is the time between two reads of a poller.
	PollEvery = 1500 * time.Millisecond

	// WatchWait is how long one watch waits. Each quiet one is followed by a
	// read.
	WatchWait = 30 * time.Second
	// ReadEvery is the time between two reads of all other daemons.
	ReadEvery = 5 * time.Minute

	firstRetry       = 250 * time.Millisecond
	maxRetry         = 15 * time.Second
	maxPeerQueries   = 3               // peers asked at a time
	maxPeersPerRound = 6               // peers asked in one round at the start
	maxRoundWait     = 5 * time.Second // between two rounds that found nothing
	peerRetryDelay   = 500 * time.Millisecond
	readSoonDelay    = time.Second
	minStoreInterval = 200 * time.Millisecond // between calls to the store
)

type (
	// Member is a daemon that is alive. Peer is its address for peers.
	Member struct {
		Name string
		Peer string
	}

	// Message is what Watch reacts to.
	Message interface{ message() }

	// Start tells who this daemon is and which peers to ask first. Seed makes
	// the jitter, and should differ from daemon to daemon.
	Start struct {
		Self  Member
		Seeds []string
		Seed  uint64
	}

	// Members tells which daemons are alive, this one among them or not.
	Members struct{ List []Member }

	// Newer tells that a peer knows a version.
	Newer struct {
		Version uint64
		From    string
	}

	// StoreHead is what stands under the head's key; the zero Head is none.
	StoreHead struct {
		Head head.Head
		Rev  store.Rev
	}

	// StoreQuiet tells that a watch ended without a change.
	NoChange struct{}

	// StoreFailed tells that a call to the store failed.
	StoreFailed struct{}

	// Answered is a peer's newest head; the zero Head is none.
	PeerHead struct {
		Peer string
		Head head.Head
	}

	// AskFailed tells that a peer gave no answer.
	PeerFailed struct{ Peer string }

	// Adopt tells of a head that this daemon itself got accepted, and whose
	// text it holds.
	Adopt struct{ Head head.Head }

	// Loaded tells that the head's text was fetched and is right.
	Loaded struct{ Head head.Head }

	// LoadFailed tells that the text could not be fetched. Unfit marks a text
	// that is the one accepted and that this daemon can't read.
	LoadFailed struct {
		Head       head.Head
		Unreadable bool
	}

	// Tick lets time pass; one is due every 100 ms or so.
	Tick struct{}

	// Effect is what Watch wants done.
	Effect interface{ effect() }

	// Wait waits at the store until the head's revision is above Rev, for at
	// most For. Answered by StoreHead, StoreQuiet or StoreFailed.
	AwaitHead struct {
		Rev store.Rev
		For time.Duration
	}

	// Read reads the head from the store. Answered by StoreHead or StoreFailed.
	ReadHead struct{}

	// Ask asks a peer for its newest head. Answered by Answered or AskFailed.
	QueryPeer struct{ Peer string }

	// Load fetches a head's text, from the peers in order, and before or
	// after them from the store. Answered by Loaded or LoadFailed.
	Load struct {
		Head       head.Head
		Peers      []string
		StoreFirst bool
	}

	// Force puts a loaded head in force.
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
