package fleet

import (
	"time"

	"github.com/slaterock/slaterock/internal/conf/route"
)

type (
	// Upstream is one process of a service, as its last entry describes it.
	Upstream struct {
		ID      string
		Service string
		Address string
		Domain  string // failure domain
		Version string // of its software
		Batch   int    // requests that it runs at a time
		Leaving bool   // it takes no new work
		Cold    time.Duration
		Serial  uint64
		Born    int64 // Unix milliseconds of its start; tells a restart under the same id
	}

	// Entry is a daemon that takes callers.
	Entry struct {
		Node    string
		Address string // for callers
		Peer    string // for other daemons
		Domain  string
		Cores   float64 // of its processor
		Leaving bool
	}

	// News is something that a daemon learns of the system.
	Event interface{ event() }

	// Reading is what the store holds at a revision, read as it is now.
	Snapshot struct {
		Revision  uint64
		Table     *route.Table // nil if there is none yet, or none that can be read
		Upstreams []Upstream
		Entries   []Entry
	}

	// Told is what another daemon read in the store, or was told of it.
	PeerSnapshot struct {
		Snapshot
		Age time.Duration // since the other daemon's knowledge was confirmed
	}

	// Confirmed tells that another daemon knows the same, by a newer reading.
	Confirmed struct {
		Revision uint64
		Age      time.Duration
	}

	// Heard tells that another daemon had news of the store without a gap for so long, up
	// to that long ago. Whether it knows the same doesn't matter.
	PeerAvailability struct{ Age, AvailableFor time.Duration }

	// Slept tells that this daemon did not run for a while. What is known is older than
	// it seems by as much as its steady clock stood still.
	Suspended struct{ For time.Duration }

	// Outage tells that the store did not answer or turned this daemon away.
	Outage struct{}
)

func (Snapshot) event()         {}
func (PeerSnapshot) event()     {}
func (Confirmed) event()        {}
func (PeerAvailability) event() {}
func (Suspended) event()        {}
func (Outage) event()           {}
