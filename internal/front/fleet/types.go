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
		Leaving bool
	}

	// News is something that a daemon learns of the system.
	News interface{ news() }

	// Config is the operator's configuration.
	Config struct{ Table *route.Table }

	// Upstreams is the list of all upstreams at a revision of the store.
	Upstreams struct {
		Revision uint64
		List     []Upstream
	}

	// Entries is the list of all daemons that take callers.
	Entries struct {
		Revision uint64
		List     []Entry
	}

	// Outage tells that the store did not answer or turned this daemon away.
	Outage struct{}
)

func (Config) news()    {}
func (Upstreams) news() {}
func (Entries) news()   {}
func (Outage) news()    {}
