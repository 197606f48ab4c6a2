package sched

import (
	"maps"
	"slices"
	"time"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/place/brkr"
	"github.com/slaterock/slaterock/internal/place/limit"
	"github.com/slaterock/slaterock/internal/place/load"
	"github.com/slaterock/slaterock/internal/place/queue"
	"github.com/slaterock/slaterock/internal/place/score"
	"github.com/slaterock/slaterock/internal/place/slope"
	"github.com/slaterock/slaterock/internal/place/speed"
	"github.com/slaterock/slaterock/internal/plat/vmlist"
)

const (
	// One request may queue inside an upstream, so that the upstream is not idle
	// while the end of another request is being reported.
	upstreamBacklog = 1
	// Weights of the newest value in exponential moving averages.
	busyAlpha  = 0.02
	callsAlpha = 0.05
)

type (
	upstream struct {
		name          string
		conf          file.Upstream
		group         *group
		load          load.Load
		limit         limit.Limit
		breaker       brkr.Breaker
		speed         speed.Speed
		listed        bool // was in the platform's list
		leavingByList bool // marked as leaving in the list, or no longer in it
		undeclared    bool // not in the current configuration
		leaveHandled  bool // handleLeaving has run
	}

	group struct {
		name         string
		conf         file.Group
		ups          []int
		queue        queue.Queue
		speed        speed.Speed
		capacity     float64     // concurrent requests that its usable upstreams accept
		answerTokens float64     // mean tokens of an answer
		programCalls float64     // mean calls of a program
		busyShare    float64     // mean share of its lifetime that a program has a call in flight
		tokenTime    slope.Slope // seconds per output token, by concurrent requests
		callTime     slope.Slope // seconds per service call, by concurrent requests
	}
)

func (u *upstream) isEngine() bool { return !u.undeclared && u.group.conf.Kind != file.Services }

func (u *upstream) leaving() bool { return u.leavingByList || u.undeclared || u.load.Leaving() }

func (u *upstream) usable(now time.Time) bool { return !u.leaving() && u.breaker.Allow(now) }

func (u *upstream) serves(model string) bool {
	return model == "" || len(u.conf.Models) == 0 || slices.Contains(u.conf.Models, model)
}

// hasRoom reports whether one more request may be sent. The configured limit
// counts the requests of all owners. One request of this owner is always
// admitted, or the others could starve it.
func (u *upstream) hasRoom(now time.Time) bool {
	own := u.load.Inflight()
	if own == 0 {
		return true
	}
	if own >= u.limit.Value() {
		return false
	}
	total := float64(own) + u.load.Others(now)
	if slots := u.load.Slots(); slots > 0 && total >= slots+upstreamBacklog {
		return false
	}
	most := u.group.conf.MaxInflight
	return most == 0 || total < float64(most)
}

// configure applies the configuration. It keeps the state of each upstream whose
// address is unchanged, and marks those no longer configured as undeclared.
func (s *Sched) configure(now time.Time, f file.File) {
	s.cfg = f
	s.weights = score.Weights{Latency: f.System.LatencyWeight, Cache: f.System.CacheWeight}
	s.retries.Share, s.hedges.Share = budgetShare(f.Limits.RetryShare), budgetShare(f.Limits.HedgeShare)
	for _, g := range s.groups {
		g.ups = g.ups[:0]
	}
	for _, u := range s.ups {
		u.undeclared = true
	}
	for _, name := range slices.Sorted(maps.Keys(f.Upstreams)) {
		s.register(name, f.Upstreams[name])
	}
	s.engines = s.engines[:0]
	for i, u := range s.ups {
		if u.isEngine() {
			s.engines = append(s.engines, i)
		}
	}
	for _, name := range s.groupNames() {
		s.groups[name].measure(s, now)
		s.dispatch(now, s.groups[name])
	}
	for i, u := range s.ups {
		s.handleLeaving(now, i, u)
	}
}

// budgetShare maps a configured share of 0, which disables further attempts,
// to a negative value: retry.Budget takes 0 for its default.
func budgetShare(v float64) float64 {
	if v == 0 {
		return -1
	}
	return v
}

func (s *Sched) register(name string, conf file.Upstream) {
	i, ok := s.byName[name]
	if !ok {
		i = len(s.ups)
		s.ups = append(s.ups, &upstream{name: name})
		s.byName[name] = i
	}
	u := s.ups[i]
	if u.conf.Address != conf.Address {
		s.ups[i] = &upstream{name: name} // a new process under the same name
		u = s.ups[i]
		s.index.Reset(i)
	}
	u.conf, u.undeclared = conf, false
	u.group = s.group(conf.Group)
	u.limit.Max = u.group.conf.MaxInflight
	u.group.ups = append(u.group.ups, i)
}

func (s *Sched) group(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{name: name, busyShare: defaultBusyShare}
		s.groups[name] = g
	}
	g.conf = s.cfg.Groups[name]
	return g
}

func (s *Sched) groupNames() []string { return slices.Sorted(maps.Keys(s.groups)) }

// measure updates the group's capacity and busyShare and, for a group of engines, the
// index's OwnShare: this owner's part of the requests in flight in the group.
func (g *group) measure(s *Sched, now time.Time) {
	g.capacity = 0
	homes, inflight, others := 0, 0, 0.0
	for _, i := range g.ups {
		u := s.ups[i]
		homes += s.index.Homes(i)
		inflight += u.load.Inflight()
		others += u.load.AverageOthers(now)
		if u.usable(now) {
			g.capacity += u.capacity()
		}
	}
	if g.conf.Kind != file.Services && float64(inflight)+others > 0 {
		if s.index.OwnShare == 0 {
			s.index.OwnShare = 1
		}
		s.index.OwnShare += busyAlpha * (float64(inflight)/(float64(inflight)+others) - s.index.OwnShare)
	}
	if homes > 0 {
		g.busyShare += busyAlpha * (min(float64(inflight)/float64(homes), 1) - g.busyShare)
	}
}

// capacity returns the concurrent requests that this owner may send.
func (u *upstream) capacity() float64 { return float64(u.limit.Value()) }

func (s *Sched) load(now time.Time, m Load) {
	i, ok := s.byName[m.Upstream]
	if !ok {
		return
	}
	u := s.ups[i]
	u.limit.SetWaiting(m.Report.Waiting)
	if u.load.Report(now, m.Report) {
		s.handleLeaving(now, i, u)
	}
}

// vms applies the platform's list. The list lags: a VM that is no longer
// listed is treated as leaving, while one that was never listed stays usable,
// as the list may not contain it yet.
func (s *Sched) vms(now time.Time, m VMs) {
	states := make(map[string]vmlist.State, 2*len(m.List))
	for _, vm := range m.List {
		states[vm.Name], states[vm.Address] = vm.State, vm.State
	}
	for i, u := range s.ups {
		state, ok := states[u.conf.Address]
		if !ok {
			state, ok = states[u.name]
		}
		u.leavingByList = ok && state == vmlist.Leaving || !ok && u.listed
		u.listed = u.listed || ok
		s.handleLeaving(now, i, u)
	}
}

// programEnded records how many calls a program made in total.
func (g *group) programEnded(calls float64) {
	if g.programCalls == 0 {
		g.programCalls = defaultCalls
	}
	g.programCalls += callsAlpha * (calls - g.programCalls)
}
