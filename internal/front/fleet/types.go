package fleet

import (
	"time"

	"github.com/slaterock/slaterock/internal/conf/route"
)

type (
	// Upstream is one process of a service, as its latest entry in the store describes it.
	Upstream struct {
		ID      string
		Service string
		Address string
		Domain  string        // failure domain
		Version string        // of its software
		Batch   int           // requests that it runs concurrently
		Leaving bool          // accepts no new work
		Cold    time.Duration // reported remaining time of its cold start
		Serial  uint64        // sequence number of the report
		Born    int64         // start time in Unix milliseconds; changes if it restarts under the same id
	}

	// Entry is a front, a daemon that serves callers, as listed in the store.
	Entry struct {
		Node    string
		Address string // for callers
		Peer    string // for other daemons
		Domain  string
		Cores   float64 // processor cores
		Leaving bool
	}

	// Event is an input of Fleet.Update.
	Event interface{ event() }

	// Snapshot is the content of the store at a revision. As an event it is what this daemon
	// has just read.
	Snapshot struct {
		Read      Read // that the content stems from
		Revision  uint64
		Table     *route.Table // nil if there is no valid configuration
		Upstreams []Upstream
		Entries   []Entry
		Roster    uint64 // version of the roster; 0 if there is none
		Restored  bool   // from a backup, as in View
	}

	// Changes are the changes of the store after the revision Since, up to Revision, as this
	// daemon has just read them. They only apply to a view of that revision.
	Changes struct {
		Read            Read
		Since, Revision uint64
		Table           *route.Table // nil if the configuration did not change, or is invalid now
		Delta           Delta        // without the hashes
	}

	// PeerSnapshot is a snapshot received from another daemon, which may itself have
	// received it from a peer.
	PeerSnapshot struct {
		Snapshot
		Age time.Duration // since the other daemon's view was confirmed
	}

	// PeerDelta is a delta received from another daemon. It only applies to a view with the
	// hash of its base.
	PeerDelta struct {
		Delta
		Read     Read
		Revision uint64
		Table    *route.Table // nil if the configuration did not change
		Age      time.Duration
	}

	// Confirmed reports that another daemon has the same view at the given revision,
	// confirmed Age ago by a read.
	Confirmed struct {
		Read     Read
		Revision uint64
		Age      time.Duration
	}

	// PeerAvailability reports that the store was available to another daemon for
	// AvailableFor without a gap, up to a read Age ago. Its view may differ from this one.
	PeerAvailability struct {
		Read              Read
		Age, AvailableFor time.Duration
	}

	// Suspended reports that this daemon did not run for a while. The view is older than
	// it seems by For, the time for which the monotonic clock stood still.
	Suspended struct{ For time.Duration }

	// Outage reports that the store did not answer this daemon or refused it.
	Outage struct{}
)

func (Snapshot) event()         {}
func (PeerSnapshot) event()     {}
func (PeerDelta) event()        {}
func (Changes) event()          {}
func (Confirmed) event()        {}
func (PeerAvailability) event() {}
func (Suspended) event()        {}
func (Outage) event()           {}
