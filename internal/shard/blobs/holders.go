package blobs

import (
	"time"

	"github.com/slaterock/slaterock/internal/peer/swim"
)

const (
	// Interval is how often a Tick is due.
	Interval = time.Second

	wanted       = 2 // copies, each in a failure domain of its own
	storeTimeout = 2 * time.Second
	storeLimit   = 5 * time.Second // of all tries to place a text
	copyTimeout  = 30 * time.Second
	grace        = 2 * time.Minute // a restart is over by then
	retryAfter   = time.Minute
	auditEvery   = time.Hour
	auditTimeout = 30 * time.Second
	maxRepairs   = 4  // copies made again at a time
	maxLook      = 64 // weak blobs looked at in a tick
)

type (
	// Holders is the machine that places the blobs of one shard; it runs in
	// the shard's owner. The zero value knows no folder and answers every
	// Store with Inline. It is driven by Step and is not safe for concurrent
	// use.
	Holders struct {
		domain  string // the owner's own failure domain
		ready   bool
		members map[string]*member // those with a folder, and holders not met yet
		blobs   map[Digest]*blob
		work    map[Digest]*work // blobs that are being placed
		repairs []Digest         // weak blobs, in the order in which they are tried
		flying  int              // repairs under way
		audits  []string         // holders whose list is due
		audit   *audit
		nextAll time.Time // when all lists are due again
	}

	member struct {
		swim.Member
		since   time.Time // when it went down; zero while it is up
		lost    bool      // it has been down for longer than a restart takes
		leaving bool
	}

	// blob is small, since an owner knows many.
	blob struct {
		size   int
		refs   int      // references from the journal
		copies []string // holders that have said so
		queued bool     // for repair
	}

	// work is the placing of one blob.
	work struct {
		stores int       // askers that wait for Kept or Inline; 0 in a repair
		limit  time.Time // when they are told Inline
		tries  []try
		failed []string  // holders not to be tried before again
		again  time.Time // when failed is forgotten
	}

	try struct {
		to     string
		until  time.Time
		repair bool
	}

	// audit compares one holder's list with what it should have.
	audit struct {
		holder string
		after  Digest
		until  time.Time
		expect []Digest // sorted; what has not been compared yet
	}

	// Message is what Holders reacts to.
	Message interface{ message() }

	// Self tells the owner's own failure domain.
	Self struct{ FailureDomain string }

	// Member brings the picture of a daemon, as heartbeats change it.
	Member struct{ Member swim.Member }

	// Leaving tells that a daemon's VM is going to be replaced. It is ignored
	// before the daemon's Member and ends with its next start.
	Leaving struct{ Name string }

	// Known brings a reference from the journal to a blob.
	Known struct {
		Digest  Digest
		Size    int
		Holders []string
	}

	// Ready tells that all blobs of the journal are known. Before it nothing
	// is dropped: a blob not known yet looks like one that nobody needs.
	Ready struct{}

	// Store asks for places for a text that the owner has in memory. The
	// answer is Kept or Inline; where the same text is asked for again before
	// it, one answer is for all. Kept counts a reference for each.
	Store struct {
		Digest Digest
		Size   int
	}

	// Copied tells that a holder has the blob on its disk.
	Copied struct {
		Digest Digest
		To     string
	}

	// Failed tells that a copy did not come about.
	Failed struct {
		Digest Digest
		To     string
	}

	// Read asks which holder to read from. Tried are those that failed.
	Read struct {
		Digest Digest
		Tried  []string
	}

	// Gone tells that a holder does not have the blob, or has it spoilt.
	Gone struct {
		Digest Digest
		From   string
	}

	// Listed is a page of a holder's list: its digests above After in order,
	// up to the last one, or up to the end if Last is set.
	Listed struct {
		From    string
		After   Digest
		Digests []Digest
		Last    bool
	}

	// Release ends one reference to the blob.
	Release struct{ Digest Digest }

	// Tick is due every Interval.
	Tick struct{}

	// Effect is what Holders wants done.
	Effect interface{ effect() }

	// Copy has the blob stored at To: from the owner's memory if From is
	// empty, otherwise To fetches it from From. It ends with Copied or
	// Failed.
	Copy struct {
		Digest Digest
		Size   int
		From   string
		To     string
	}

	// Kept tells where the blob is: the journal may refer to it now, or must
	// be told of the new holders.
	Kept struct {
		Digest  Digest
		Size    int
		Holders []string
	}

	// Inline tells that the text must go into the journal itself.
	Inline struct{ Digest Digest }

	// Fetch tells where to read.
	Fetch struct {
		Digest Digest
		From   string
	}

	// Unreadable tells that no holder is left to read from now.
	Unreadable struct{ Digest Digest }

	// List asks a holder for the next page of its list; it ends with Listed.
	List struct {
		To    string
		After Digest
	}

	// Drop tells a holder to remove blobs; it does so when they are old
	// enough. It may be lost: what stays shows in the next list.
	Drop struct {
		To      string
		Digests []Digest
	}
)

func (Self) message()    {}
func (Member) message()  {}
func (Leaving) message() {}
func (Known) message()   {}
func (Ready) message()   {}
func (Store) message()   {}
func (Copied) message()  {}
func (Failed) message()  {}
func (Read) message()    {}
func (Gone) message()    {}
func (Listed) message()  {}
func (Release) message() {}
func (Tick) message()    {}

func (Copy) effect()       {}
func (Kept) effect()       {}
func (Inline) effect()     {}
func (Fetch) effect()      {}
func (Unreadable) effect() {}
func (List) effect()       {}
func (Drop) effect()       {}

// Step applies one message and returns the effects in the order in which they
// must be carried out.
func (h *Holders) Step(now time.Time, m Message) []Effect {
	if h.blobs == nil {
		h.blobs = map[Digest]*blob{}
		h.work = map[Digest]*work{}
		h.members = map[string]*member{}
	}
	switch m := m.(type) {
	case Self:
		h.domain = m.FailureDomain
	case Member:
		h.meet(now, m.Member)
	case Leaving:
		h.leave(m.Name)
	case Known:
		h.known(now, m)
	case Ready:
		h.ready = true
		h.nextAll = now.Add(auditEvery)
	case Store:
		return h.store(now, m)
	case Copied:
		return h.copied(now, m)
	case Failed:
		return h.fail(now, m.Digest, m.To)
	case Read:
		return h.read(m)
	case Gone:
		h.gone(m.Digest, m.From)
	case Listed:
		return h.listed(now, m)
	case Release:
		return h.release(m.Digest)
	case Tick:
		return h.tick(now)
	}
	return nil
}
