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

// directoryTTL is the TTL of the directory's answers. Some callers cache them for three
// times as long; with one second, callers leave a draining VM within three seconds.
const directoryTTL = time.Second

const (
	// maxEntries is how many fronts an answer names at most: the platform's limit.
	maxEntries = 64
	// minEntries is how many fronts are named at low load: the loss of one then aborts
	// a twenty-fourth of the requests in flight.
	minEntries = 24
	// requestsPerFront is the target number of requests in flight at one front. A request
	// takes about 0.2 s and 0.6 ms of processor time, so these use an eighth of the
	// processor time of a VM with a fifth of a core. The rest is for a burst until more
	// fronts are named.
	requestsPerFront = 8
	// shrinkDelay is how long fewer fronts must be sufficient before fewer are named:
	// callers open new connections when the answer changes.
	shrinkDelay = 10 * time.Second
)

// fanout decides how many fronts the directory names: few at low load, more as load grows,
// since each front opens its own connections to the upstreams that it uses. For example, at
// low load 171 fronts opened 5,100 connections to 96 upstreams when 64 fronts were named, and
// 3,250 when 32 were. The zero value is ready for use.
type fanout struct {
	mu sync.Mutex
	n  int
	at time.Time // when at least n were needed last
}

// size returns how many fronts to name for the number of requests in flight.
func (f *fanout) size(now time.Time, inFlight int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	need := min(max((inFlight+requestsPerFront-1)/requestsPerFront, minEntries), maxEntries)
	if need >= f.n || now.Sub(f.at) > shrinkDelay {
		f.n, f.at = need, now
	}
	return f.n
}

// resolve answers a caller with the addresses to connect to, or 503 if there are none or if
// this front is cut off: the caller then asks another one, or keeps the answer that it has.
func (d *Daemon) resolve(w http.ResponseWriter, _ *http.Request) {
	list := d.directoryEntries()
	if len(list) == 0 || d.cutOff(time.Now()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	text, err := json.Marshal(d.Endpoints.Directory(list, min(directoryTTL, positive(d.Settings.AnswerTTL, directoryTTL))))
	if err != nil {
		d.Log.Error().Err(err).Msg("directory answer not encoded")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = w.Write(text) // on failure the caller has disconnected and retries at another front
}

// directoryEntries returns the fronts that the directory names, fanout.size of them at most:
// those that are alive, not leaving and reach the record servers; if none reaches them, all
// that are alive and not leaving. A front that hears from less than half of the others may be
// partitioned itself and takes them as alive, but for those that it has not heard for deadAfter while it reached the
// record servers: many may have been removed while the store, which lists them, was away.
func (d *Daemon) directoryEntries() (healthy []fleet.Entry) {
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
		_, alive := p.Status(mesh.IDOf(e.Node))
		if !e.Leaving && (alive || !trusted && !d.unheard.isDead(now, e.Node)) {
			all = append(all, e)
		}
	}
	for _, e := range all {
		status, _ := p.Status(mesh.IDOf(e.Node))
		unhealthy := status&mesh.Unhealthy != 0
		if e.Node == self.Node {
			unhealthy = d.reach.Down(now)
		}
		if !unhealthy {
			healthy = append(healthy, e)
		}
	}
	if len(healthy) == 0 {
		healthy = all
	}
	return largest(healthy, d.fanout.size(now, totalInFlight(p, d.picker.OwnInFlight())))
}

// cutOff reports whether this front reaches neither the record servers nor half of the other
// fronts. It would name fronts that are cut off like itself, since it can't tell which are.
func (d *Daemon) cutOff(now time.Time) bool {
	p := d.meshio.Summary(now)
	return d.reach.Down(now) && !p.ReachesHalf(len(d.others(p)))
}

// othersServe reports whether most other fronts are likely to reach the record servers while
// this one does not: most live ones report so, or this front hears less than half of them and
// is cut off itself.
func (d *Daemon) othersServe() bool {
	p := d.meshio.Summary(time.Now())
	return !p.ReachesHalf(len(d.others(p))) || 2*p.Unhealthy() < p.Fronts-1
}

// totalInFlight returns the number of requests in flight at all fronts.
func totalInFlight(p mesh.Summary, own map[string]int) (n int) {
	for _, load := range p.Load {
		n += load
	}
	for _, load := range own {
		n += load
	}
	return n
}

// largest returns at most that many fronts, those with the most processor cores first.
// Ties are broken by hashed name, so every front chooses the same ones, from all failure
// domains: an order by name would choose one or two domains, and the loss of one would
// disconnect half of all callers.
func largest(list []fleet.Entry, most int) []fleet.Entry {
	if len(list) <= most {
		return list
	}
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b fleet.Entry) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(mesh.IDOf(a.Node), mesh.IDOf(b.Node)))
	})
	return list[:most]
}
