package blobs

import (
	"time"

	"github.com/slaterock/slaterock/internal/peer/swim"
)

const (
	// Interval is the time between two Ticks.
	Interval = time.Second

	replicas      = 2                // copies of a blob, each in a failure domain of its own
	storeTimeout  = 2 * time.Second  // of one attempt
	placeTimeout  = 5 * time.Second  // of all attempts to place a text
	repairTimeout = 30 * time.Second // of one repair copy
	lostAfter     = 2 * time.Minute  // longer than a restart takes
	retryAfter    = time.Minute      // before a repair tries failed holders again
	auditInterval = time.Hour
	auditTimeout  = 30 * time.Second
	maxRepairs    = 4  // repair copies in progress at a time
	maxRepairScan = 64 // queued repairs examined in a tick
)

type (
	// Holders is the state machine that places the blobs of one shard; it
	// runs in the shard's owner. The zero value knows no folder and answers
	// every Store with Inline. It is driven by Step and is not safe for
	// concurrent use.
	Holders struct {
		ownDomain     string // the owner's own failure domain
		journalLoaded bool
		members       map[string]*member // those with a folder, and holders known only from the journal
		blobs         map[Digest]*blob
		placement     map[Digest]*placement // blobs that are being stored or repaired
		repairQueue   []Digest              // blobs with too few durable copies; the first is tried next
		activeRepairs int                   // repair copies in progress
		auditQueue    []string              // holders to be audited
		audit         *audit
		nextFullAudit time.Time // when all holders are queued again
	}

	member struct {
		swim.Member
		downSince time.Time // when it went down; zero while it is up
		lost      bool      // it has been down for lostAfter
		leaving   bool
	}

	// blob is kept small, since an owner has many in memory.
	blob struct {
		size    int
		refs    int      // references from the journal
		holders []string // holders that confirmed a copy or are named by the journal
		queued  bool     // it is in repairQueue
	}

	// placement is the state of storing or repairing one blob.
	placement struct {
		pendingStores int       // Stores that wait for Stored or Inline; 0 in a repair
		deadline      time.Time // of the pending Stores; after it they get Inline
		attempts      []attempt
		failed        []string // holders that are not chosen again; a repair clears them at retryAt
		retryAt       time.Time
	}

	attempt struct {
		to      string
		expires time.Time
		repair  bool
	}

	// audit is the comparison of one holder's list with what it should have.
	audit struct {
		holder   string
		after    Digest
		expires  time.Time
		expected []Digest // sorted; not yet compared
	}

	// Message is an input of Holders.
	Message interface{ message() }

	// Self gives the owner's own failure domain.
	Self struct{ FailureDomain string }

	// Member gives a daemon's current membership state, from heartbeats.
	Member struct{ Member swim.Member }

	// Leaving reports that a daemon's VM is about to be replaced. It is
	// ignored for daemons that are not known yet and ends with the daemon's
	// next incarnation.
	Leaving struct{ Name string }

	// Known reports a reference from the journal to a blob.
	Known struct {
		Digest  Digest
		Size    int
		Holders []string
	}

	// JournalLoaded reports that all references of the journal have been given
	// with Known. Audits and repairs start only after it: a blob whose
	// reference has not been read yet looks unreferenced and would be dropped.
	JournalLoaded struct{}

	// Store asks for copies of a text that the owner has in memory. The answer
	// is Stored or Inline; one answer is for all Stores of the same text that
	// came before it. Stored counts a reference for each of them.
	Store struct {
		Digest Digest
		Size   int
	}

	// Copied reports that a holder has the blob on its disk.
	Copied struct {
		Digest Digest
		To     string
	}

	// CopyFailed reports that a copy was not made.
	CopyFailed struct {
		Digest Digest
		To     string
	}

	// Read asks which holder to read from; Tried are those that failed. The
	// answer is Fetch or Unreadable.
	Read struct {
		Digest Digest
		Tried  []string
	}

	// CopyMissing reports that a holder has no copy of the blob or a corrupt one.
	CopyMissing struct {
		Digest Digest
		From   string
	}

	// Listed is a page of a holder's list: its digests above After, sorted and
	// without gaps. Last is set on the last page.
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

	// Effect is an action that Holders asks for.
	Effect interface{ effect() }

	// Copy has the blob stored at To: from the owner's memory if From is
	// empty, otherwise To fetches it from From. The answer is Copied or
	// CopyFailed.
	Copy struct {
		Digest Digest
		Size   int
		From   string
		To     string
	}

	// Stored gives a blob's holders: the answer to Store, after which the
	// journal may refer to the blob, or a change that the journal must record.
	Stored struct {
		Digest  Digest
		Size    int
		Holders []string
	}

	// Inline reports that the text must be written to the journal itself.
	Inline struct{ Digest Digest }

	// Fetch names the holder to read from.
	Fetch struct {
		Digest Digest
		From   string
	}

	// Unreadable reports that no untried holder can be read at present.
	Unreadable struct{ Digest Digest }

	// List asks a holder for the next page of its list. The answer is Listed;
	// without one the audit times out.
	List struct {
		To    string
		After Digest
	}

	// Drop tells a holder to remove blobs; those younger than Folder.MinAge
	// stay. It may be lost: the next audit finds what is still there.
	Drop struct {
		To      string
		Digests []Digest
	}
)

func (Self) message()          {}
func (Member) message()        {}
func (Leaving) message()       {}
func (Known) message()         {}
func (JournalLoaded) message() {}
func (Store) message()         {}
func (Copied) message()        {}
func (CopyFailed) message()    {}
func (Read) message()          {}
func (CopyMissing) message()   {}
func (Listed) message()        {}
func (Release) message()       {}
func (Tick) message()          {}

func (Copy) effect()       {}
func (Stored) effect()     {}
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
		h.placement = map[Digest]*placement{}
		h.members = map[string]*member{}
	}
	switch m := m.(type) {
	case Self:
		h.ownDomain = m.FailureDomain
	case Member:
		h.updateMember(now, m.Member)
	case Leaving:
		h.markLeaving(m.Name)
	case Known:
		h.addReference(now, m)
	case JournalLoaded:
		h.journalLoaded = true
		h.nextFullAudit = now.Add(auditInterval)
	case Store:
		return h.store(now, m)
	case Copied:
		return h.copied(now, m)
	case CopyFailed:
		return h.copyFailed(now, m.Digest, m.To)
	case Read:
		return h.read(m)
	case CopyMissing:
		h.removeCopy(m.Digest, m.From)
	case Listed:
		return h.listed(now, m)
	case Release:
		return h.release(m.Digest)
	case Tick:
		return h.tick(now)
	}
	return nil
}
