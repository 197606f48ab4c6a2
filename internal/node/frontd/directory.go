package frontd

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/mesh"
)

// directoryTTL is how long callers keep an answer. Some keep it three times as
// long; with this they leave a VM within three seconds after it began to stop.
const directoryTTL = time.Second

const (
	// namedMost is how many daemons callers are sent to at most: as many as an
	// answer holds.
	namedMost = 64
	// namedLeast is how many are named however little is asked: the loss of one
	// then breaks off a twenty-fourth of what is under way.
	namedLeast = 24
	// underEach is how many requests one daemon should have under way. They take
	// some 0.2 s and 0.6 ms of processor each, so it is an eighth of a VM with a
	// fifth of a core: enough is left for a burst until more are named.
	underEach = 8
	// narrowAfter is how long fewer daemons must be enough before fewer are named:
	// callers open new connections when the answer changes.
	narrowAfter = 10 * time.Second
)

// breadth is to how many daemons callers are sent: few while little is asked, more
// as it grows. Each daemon opens connections of its own to the upstreams that it uses;
// 171 daemons before 96 upstreams opened 5,100 on a quiet day with 64 of them named,
// 3,250 with 32. The zero value is ready.
type breadth struct {
	mu sync.Mutex
	n  int
	at time.Time // when so many were needed last
}

// wide returns how many daemons to name while so many requests are under way.
func (b *breadth) wide(now time.Time, under int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	need := min(max((under+underEach-1)/underEach, namedLeast), namedMost)
	if need >= b.n || now.Sub(b.at) > narrowAfter {
		b.n, b.at = need, now
	}
	return b.n
}

// resolve tells a caller where to connect.
func (d *Daemon) resolve(w http.ResponseWriter, _ *http.Request) {
	list := d.named()
	if len(list) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	text, err := json.Marshal(d.Names.Directory(list, min(directoryTTL, positive(d.Settings.AnswerTTL, directoryTTL))))
	if err != nil {
		d.Log.Error().Err(err).Msg("directory's answer not encoded")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = w.Write(text) // a caller that left asks another daemon
}

// named returns the daemons that callers are sent to: those that are not leaving
// and can serve, or all that are not leaving if none can.
func (d *Daemon) named() (well []fleet.Entry) {
	now := time.Now()
	p := d.meshio.Summary(now)
	self := d.self()
	var all []fleet.Entry
	if d.ready() {
		all = append(all, self)
	}
	others := d.others(p)
	trusted := p.ReachesHalf(len(others))
	for _, e := range others {
		_, alive := p.Alive[mesh.IDOf(e.Node)]
		if !e.Leaving && (alive || !trusted) {
			all = append(all, e)
		}
	}
	for _, e := range all {
		unwell := p.Alive[mesh.IDOf(e.Node)]&mesh.Unhealthy != 0
		if e.Node == self.Node {
			unwell = d.reach.Down(now)
		}
		if !unwell {
			well = append(well, e)
		}
	}
	if len(well) == 0 {
		well = all
	}
	return foremost(well, d.breadth.wide(now, underWay(p, d.picker.OwnInFlight())))
}

// underWay is how many requests all daemons have under way.
func underWay(p mesh.Summary, own map[string]int) (n int) {
	for _, load := range p.Load {
		n += load
	}
	for _, load := range own {
		n += load
	}
	return n
}

// foremost returns so many daemons at most, those with the most processor first.
// All daemons choose the same, over all failure domains: the first by name would be
// those of one or two domains, whose loss would take half of all callers with it.
func foremost(list []fleet.Entry, most int) []fleet.Entry {
	if len(list) <= most {
		return list
	}
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b fleet.Entry) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(mesh.IDOf(a.Node), mesh.IDOf(b.Node)))
	})
	return list[:most]
}
