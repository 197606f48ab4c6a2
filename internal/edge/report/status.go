package report

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/slaterock/slaterock/internal/edge/locate"
	"github.com/slaterock/slaterock/internal/peer/swim"
	"github.com/slaterock/slaterock/internal/plat/meter"
)

// Status is the state of the system as one daemon knows it.
type Status struct {
	Daemon  string        `json:"daemon"`
	Version uint64        `json:"config_version"`
	Shards  int           `json:"shards"`
	Members []swim.Member `json:"members"`
	Store   meter.Counts  `json:"store"`
	Age     time.Duration `json:"store_age"` // since any daemon last reached the store; negative if never
}

// Status writes the daemons with the shards they own, and warnings.
func (r *Report) Status(s Status) {
	r.printf("as seen by %s: configuration version %d, %d shards, store reached %s\n", s.Daemon, s.Version, s.Shards, age(s.Age))
	r.printf("store calls of this daemon: %d reads, %d writes, %d watches, %d failed, %s waited\n\n",
		s.Store.Reads, s.Store.Writes, s.Store.Watches, s.Store.Failed, s.Store.Waited.Round(time.Millisecond))
	members := slices.SortedFunc(slices.Values(s.Members), func(a, b swim.Member) int { return strings.Compare(a.Name, b.Name) })
	t := r.table("daemon", "state", "failure domain", "address", "configuration", "shards (epoch)")
	for _, m := range members {
		t.row(m.Name, m.State, m.FailureDomain, m.Address, fmt.Sprintf("version %d", m.Config), owned(m))
	}
	t.flush()
	r.warnings(s, members)
}

// warnings lists what is hard to see in the table: shards without an owner, and
// alive daemons that run an older configuration.
func (r *Report) warnings(s Status, members []swim.Member) {
	for shard := range s.Shards {
		if _, found := locate.Owner(members, shard); !found {
			r.printf("shard %d has no owner: its programs wait\n", shard)
		}
	}
	newest := s.Version
	for _, m := range members {
		newest = max(newest, m.Config)
	}
	for _, m := range members {
		if m.Config < newest && m.State == swim.Alive {
			r.printf("%s runs configuration version %d, behind version %d\n", m.Name, m.Config, newest)
		}
	}
}

func owned(m swim.Member) string {
	if len(m.Shards) == 0 {
		return none
	}
	parts := make([]string, len(m.Shards))
	for i, s := range m.Shards {
		parts[i] = fmt.Sprintf("%d (%d)", s.Shard, s.Epoch)
	}
	return strings.Join(parts, ", ")
}

func age(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return d.Round(10*time.Millisecond).String() + " ago"
}
